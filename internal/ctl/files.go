package ctl

import (
	"github.com/bronzeloft/bronzeloft/contract"
)

// files are the directories of team files that a command reads.
type files struct {
	Dirs []string `positional-arg-name:"DIR" required:"1" description:"directory of team files"`
}

// load compiles the files. It prints the faults and returns errRefused when
// there are any.
func (a *app) load(f files) (*contract.Snapshot, error) {
	snap, faults := contract.Load(f.Dirs...)
	if len(faults) == 0 {
		return snap, nil
	}
	if a.JSON {
		if err := a.printJSON(checkResult{Faults: faults}); err != nil {
			return nil, err
		}
		return nil, errRefused
	}
	for _, fault := range faults {
		a.printf("%s", fault.Error())
	}
	a.printf("%d faults", len(faults))
	return nil, errRefused
}

// checkCommand checks files without the platform.
type checkCommand struct {
	app  *app
	Args files `positional-args:"yes"`
}

// checkResult is the JSON output of check.
type checkResult struct {
	Faults    []contract.Fault `json:"faults"`
	Services  int              `json:"services"`
	Customers int              `json:"customers"`
	Hosts     int              `json:"hosts"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	snap, err := c.app.load(c.Args)
	if err != nil {
		return err
	}
	res := checkResult{
		Faults:    []contract.Fault{},
		Services:  len(snap.Services),
		Customers: len(snap.Customers),
		Hosts:     len(snap.Roster.Hosts),
	}
	if c.app.JSON {
		return c.app.printJSON(res)
	}
	c.app.printf("no faults: %d services, %d customers, %d hosts", res.Services, res.Customers, res.Hosts)
	return nil
}

// diffCommand shows what publishing would change.
type diffCommand struct {
	app  *app
	Args files `positional-args:"yes"`
}

// diffResult is the JSON output of diff.
type diffResult struct {
	Base    uint64            `json:"base"` // version in force
	Changes []contract.Change `json:"changes"`
}

// Execute runs the command.
func (c *diffCommand) Execute([]string) error {
	snap, err := c.app.load(c.Args)
	if err != nil {
		return err
	}
	res, err := c.app.diff(snap)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(res)
	}
	printLines(c.app, res.Changes)
	c.app.printf("%d changes on top of version %d; publish them with --base %d", len(res.Changes), res.Base, res.Base)
	return nil
}

// diff compares snap with the snapshot in force.
func (a *app) diff(snap *contract.Snapshot) (diffResult, error) {
	_, inForce, err := a.published()
	if err != nil {
		return diffResult{}, err
	}
	res := diffResult{Changes: contract.Diff(inForce, contract.Preview(inForce, snap))}
	if inForce != nil {
		res.Base = inForce.Version
	}
	return res, nil
}

// publishCommand publishes files.
type publishCommand struct {
	app   *app
	Base  *uint64 `long:"base" value-name:"VERSION" description:"version that diff compared with; publishing is refused when somebody else has changed more than keys since" required:"true"`
	Above uint64  `long:"above" value-name:"VERSION" description:"publish a version above this one, also when nothing changes; for when the platform came back older than the hosts"`
	Args  files   `positional-args:"yes"`
}

// Execute runs the command.
func (c *publishCommand) Execute([]string) error {
	snap, err := c.app.load(c.Args)
	if err != nil {
		return err
	}
	api, err := c.app.api()
	if err != nil {
		return err
	}
	opts := c.app.publishOptions(*c.Base)
	opts.Above = c.Above
	res, err := contract.Publish(c.app.ctx, api, snap, opts)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(res)
	}
	printLines(c.app, res.Changes)
	if res.PublishID == "" {
		c.app.printf("nothing changes: version %d stays in force", res.Version)
		return nil
	}
	c.app.printf("version %d is published, with %d changes", res.Version, len(res.Changes))
	return nil
}
