package ctl

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/report"
)

// drainPollInterval is the time between checks of a draining host.
const drainPollInterval = 100 * time.Millisecond

// hostsFlag lists hosts by the addresses of their admin listeners.
type hostsFlag struct {
	Hosts []string `long:"host" value-name:"IP:PORT" description:"admin address of a host; may be repeated"`
}

// statusCommand shows the published version and the state of hosts.
type statusCommand struct {
	app *app
	hostsFlag
}

// statusResult is the JSON output of status.
type statusResult struct {
	Published *publication `json:"published,omitempty"`
	Hosts     []hostLine   `json:"hosts"`
}

// publication describes the published version in force.
type publication struct {
	Version   uint64                 `json:"version"`
	Operator  string                 `json:"operator"`
	PublishID string                 `json:"publishId"`
	Recent    []contract.Publication `json:"recent"`
}

// hostLine is one host's status, or the error in its place.
type hostLine struct {
	Admin  string      `json:"admin"`
	Status *hostStatus `json:"status,omitempty"`
	Error  string      `json:"error,omitempty"`
}

// Execute runs the command. It prints the answers received and returns the errors
// of all failed calls.
func (c *statusCommand) Execute([]string) error {
	if c.app.Platform == "" && len(c.Hosts) == 0 {
		return usageError{"neither a platform nor a host is given"}
	}
	res, callErrs := c.collect()
	if c.app.JSON {
		return errors.Join(c.app.printJSON(res), callErrs)
	}
	if p := res.Published; p != nil {
		c.app.printf("version %d, published by %s as %s", p.Version, p.Operator, p.PublishID)
	}
	if len(res.Hosts) == 0 {
		return callErrs
	}
	return errors.Join(c.printHosts(res.Hosts), callErrs)
}

func (c *statusCommand) collect() (res statusResult, callErrs error) {
	res.Hosts = []hostLine{}
	if c.app.Platform != "" {
		res.Published, callErrs = c.publication()
	}
	for _, ans := range queryAll[hostStatus](c.app, c.Hosts, pathStatus) {
		line := hostLine{Admin: ans.host, Status: &ans.value}
		if ans.err != nil {
			line.Status, line.Error = nil, ans.err.Error()
			callErrs = errors.Join(callErrs, ans.err)
		}
		res.Hosts = append(res.Hosts, line)
	}
	return res, callErrs
}

func (c *statusCommand) publication() (*publication, error) {
	api, err := c.app.api()
	if err != nil {
		return nil, err
	}
	head, _, err := contract.ReadHead(c.app.ctx, api)
	if err != nil {
		return nil, err
	}
	return &publication{Version: head.Version, Operator: head.Operator, PublishID: head.PublishID, Recent: head.Recent}, nil
}

func (c *statusCommand) printHosts(hosts []hostLine) error {
	var rows [][]string
	for _, h := range hosts {
		if h.Status == nil {
			rows = append(rows, []string{h.Admin, "-", "-", "no answer", "-", "-", "-"})
			continue
		}
		s := h.Status
		rows = append(rows, []string{h.Admin, s.Host, s.DataCentre, s.state(), strconv.FormatUint(s.ConfigVersion, 10), s.ConfigAge, strconv.Itoa(s.Callers)})
	}
	return c.app.table([]string{"ADMIN", "HOST", "DATA CENTRE", "STATE", "VERSION", "CONFIRMED", "CALLERS"}, rows)
}

// drainCommand stops a host gracefully.
type drainCommand struct {
	app  *app
	Wait bool `long:"wait" description:"wait until the host has stopped"`
	Args struct {
		Host string `positional-arg-name:"IP:PORT" required:"yes" description:"admin address of the host"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *drainCommand) Execute([]string) error {
	if err := c.app.call(c.app.ctx, http.MethodPost, c.Args.Host, pathDrain, nil); err != nil {
		return err
	}
	if !c.Wait {
		c.app.printf("%s is draining", c.Args.Host)
		return nil
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !c.app.hasStopped(c.Args.Host) {
		select {
		case <-c.app.ctx.Done():
			return eris.Wrapf(errHost, "%s: still draining", c.Args.Host)
		case <-ticker.C:
		}
	}
	c.app.printf("%s has stopped", c.Args.Host)
	return nil
}

// reportCommand shows how much of the service-level error budgets is used up.
type reportCommand struct {
	app *app
	hostsFlag
	Files  []string `long:"files" value-name:"DIR" description:"take objectives from team files instead of the platform; may be repeated"`
	Format string   `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"form of the report"`
	Output string   `long:"output" value-name:"FILE" description:"write the report to a file"`
}

// Execute runs the command. The report names the hosts that do not answer. If none
// answers, it is written nevertheless, and Execute returns an error.
func (c *reportCommand) Execute([]string) error {
	if len(c.Hosts) == 0 {
		return usageError{"--host must name one or more hosts"}
	}
	objectives, err := c.objectives()
	if err != nil {
		return err
	}
	counts, unreached := c.app.fetchCounts(c.Hosts)
	rep := report.Burn(report.Merge(counts), objectives, c.app.env.Now())
	rep.Unreached = unreached
	if err := c.write(rep); err != nil {
		return err
	}
	if len(counts) == 0 {
		return eris.Wrap(errHost, "no host returned counts")
	}
	return nil
}

func (c *reportCommand) objectives() (report.Objectives, error) {
	if len(c.Files) > 0 {
		snap, err := c.app.load(files{Dirs: c.Files})
		if err != nil {
			return nil, err
		}
		return report.ObjectivesOf(snap), nil
	}
	_, snap, err := c.app.published()
	if err != nil {
		return nil, err
	}
	if snap == nil {
		return nil, contract.ErrNotPublished
	}
	return report.ObjectivesOf(snap), nil
}

func (c *reportCommand) write(rep report.Report) error {
	out := c.app.env.Out
	if c.Output != "" {
		f, err := os.Create(c.Output)
		if err != nil {
			return usageError{err.Error()}
		}
		defer f.Close()
		out = f
	}
	switch {
	case c.Format == "html":
		return report.WriteHTML(out, rep)
	case c.Format == "json" || c.app.JSON:
		return report.WriteJSON(out, rep)
	default:
		return report.WriteText(out, rep)
	}
}
