package ctl

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/platform"
	"github.com/bronzeloft/bronzeloft/position"
)

// Refusals to abandon a log.
var (
	errNoRoster     = errors.New("the platform has no roster of the service")
	errNotRecorded  = errors.New("the database is not on the roster of the service")
	errOtherStart   = errors.New("the roster has another start of the database")
	errEarlierFirst = errors.New("it has earlier processes, whose logs are to be abandoned first")
	errStillListed  = errors.New("the database is in the platform's list, so that it runs; its log can be read once hosts reach it")
)

// logCommand groups the commands for the logs that takeovers must read, of services of a
// platform site.
type logCommand struct{}

func (a *app) registerLogs(p *flags.Parser) error {
	group, err := p.AddCommand("log", "Show and abandon the logs that a takeover must read", "", &logCommand{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"list", "List the databases whose logs a takeover of their service must read", &logListCommand{app: a}},
		{"abandon", "Give up what only the log of a database that never returns may hold", &logAbandonCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := group.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// siteStore returns the client of the metadata store of a platform site, or a usageError if
// the command line names none.
func (a *app) siteStore() (SiteStore, error) {
	if a.Platform == "" {
		return nil, usageError{"--platform or BRONZELOFT_PLATFORM must name the platform's store"}
	}
	return a.env.Store(a.Platform), nil
}

// recordedLog is one database of a service's roster.
type recordedLog struct {
	Service     string `json:"service"`
	Database    string `json:"database"`
	StartMillis int64  `json:"startMillis"` // start time of its process, Unix milliseconds
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Primary     bool   `json:"primary"` // it was the last one that proved to be the primary
	Listed      bool   `json:"listed"`  // the platform's list has it with this start
	Former      bool   `json:"former"`  // of an earlier process under the id of the database
	Retiring    bool   `json:"retiring"`
	Abandoned   bool   `json:"abandoned"`
}

// state describes a recorded log in words.
func (l recordedLog) state() string {
	out := "not listed"
	if l.Listed {
		out = "listed"
	}
	for _, flag := range []struct {
		name string
		set  bool
	}{{"primary", l.Primary}, {"earlier process", l.Former}, {"retiring", l.Retiring}, {"abandoned", l.Abandoned}} {
		if flag.set {
			out += ", " + flag.name
		}
	}
	return out
}

// siteLogs is what the store has on the logs of a site's services.
type siteLogs struct {
	store   objectapi.Objects
	rosters map[string]storedRoster
	listed  []routes.Database
}

type storedRoster struct {
	succession.Roster
	version uint64
}

// readLogs reads the rosters and the platform's list of databases.
func (a *app) readLogs() (*siteLogs, error) {
	store, err := a.siteStore()
	if err != nil {
		return nil, err
	}
	out := &siteLogs{store: store, rosters: map[string]storedRoster{}}
	objects, _, err := store.List(a.ctx, succession.KindRosters)
	if err != nil {
		return nil, eris.Wrap(err, "list the rosters")
	}
	for _, o := range objects {
		var roster succession.Roster
		if err := json.Unmarshal(o.Value, &roster); err != nil {
			fmt.Fprintf(a.env.Err, "bronzeloftctl: the roster of service %q cannot be decoded: %v\n", o.Name, err)
			continue
		}
		out.rosters[o.Name] = storedRoster{roster, o.Version}
	}
	entries, _, err := store.List(a.ctx, platform.KindDatabases)
	if err != nil {
		return nil, eris.Wrap(err, "list the databases")
	}
	for _, o := range entries {
		// One that cannot be decoded is another writer's and names no database.
		if db, err := platform.DecodeDatabase(o.Name, o.Value); err == nil {
			out.listed = append(out.listed, db)
		}
	}
	return out, nil
}

// of returns the recorded logs of a service, or of all if service is empty, sorted.
func (l *siteLogs) of(service string) []recordedLog {
	out := []recordedLog{}
	for name, roster := range l.rosters {
		if service != "" && name != service {
			continue
		}
		for id, place := range roster.Databases {
			listed := slices.ContainsFunc(l.listed, func(db routes.Database) bool {
				return db.ID == id && db.Service == name && db.StartMillis == place.StartMillis
			})
			log := recordedLog{Service: name, Database: id, StartMillis: place.StartMillis, Address: place.Address, DataCentre: place.DataCentre,
				Primary: id == roster.Primary, Listed: listed, Retiring: place.Retiring, Abandoned: place.GivenUp(place.StartMillis)}
			out = append(out, log)
			for _, start := range place.FormerStarts {
				log.StartMillis, log.Listed, log.Primary, log.Former, log.Abandoned = start, false, false, true, place.GivenUp(start)
				out = append(out, log)
			}
		}
	}
	slices.SortFunc(out, func(a, b recordedLog) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Database, b.Database), cmp.Compare(b.StartMillis, a.StartMillis))
	})
	return out
}

func (a *app) logTable(logs []recordedLog) error {
	var rows [][]string
	for _, l := range logs {
		rows = append(rows, []string{l.Service, l.Database, strconv.FormatInt(l.StartMillis, 10), l.Address, l.DataCentre, l.state()})
	}
	return a.table([]string{"SERVICE", "DATABASE", "START", "ADDRESS", "DATA CENTRE", "STATE"}, rows)
}

type logListCommand struct {
	app     *app
	Service string `long:"service" description:"databases of this service only"`
}

// Execute runs the command.
func (c *logListCommand) Execute([]string) error {
	logs, err := c.app.readLogs()
	if err != nil {
		return err
	}
	found := logs.of(c.Service)
	if c.Service != "" && len(found) == 0 {
		return eris.Wrapf(errNoRoster, "service %q", c.Service)
	}
	if c.app.JSON {
		return c.app.printJSON(found)
	}
	return c.app.logTable(found)
}

type logAbandonCommand struct {
	app      *app
	Service  string `long:"service" required:"yes" description:"service of the database"`
	Database string `long:"database" required:"yes" description:"id of the database"`
	Start    int64  `long:"start" value-name:"MS" description:"START of the database as log list shows it; required with --confirm"`
	Confirm  bool   `long:"confirm" description:"abandon the log; without it the command only shows what would be given up"`
}

// abandonment is the JSON output of log abandon.
type abandonment struct {
	Service   string            `json:"service"`
	Database  string            `json:"database"`
	Start     int64             `json:"startMillis"` // of the process; all earlier ones are given up together
	Floor     position.Position `json:"floor"`       // a position that every later successor reaches
	Term      uint64            `json:"term"`
	Needed    []string          `json:"needed"` // the other databases whose logs a takeover must still read
	Abandoned bool              `json:"abandoned"`
}

// Execute runs the command.
func (c *logAbandonCommand) Execute([]string) error {
	if c.Confirm && c.Start == 0 {
		return usageError{"--confirm needs --start, the START of the database that log list shows"}
	}
	logs, err := c.app.readLogs()
	if err != nil {
		return err
	}
	roster, place, err := c.find(logs)
	if err != nil {
		return err
	}
	out := abandonment{Service: c.Service, Database: c.Database, Start: place.StartMillis, Term: roster.Term, Needed: []string{}}
	if c.Start != 0 {
		out.Start = c.Start
	} else if len(place.FormerStarts) > 0 && !place.Abandoned {
		out.Start = place.FormerStarts[0]
	}
	out.Abandoned = place.GivenUp(out.Start)
	if err := c.readFloor(logs, &out); err != nil {
		return err
	}
	for _, l := range logs.of(c.Service) {
		if l.Database != c.Database && !l.Abandoned && !slices.Contains(out.Needed, l.Database) {
			out.Needed = append(out.Needed, l.Database)
		}
	}
	if c.Confirm && !out.Abandoned {
		if place.Abandoned {
			place.FormerStarts = nil // they were given up before
		}
		place.Abandoned = true
		roster.Databases[c.Database] = place
		value, err := json.Marshal(roster.Roster)
		if err != nil {
			return err
		}
		if _, err := logs.store.Update(c.app.ctx, succession.KindRosters, c.Service, roster.version, value); err != nil {
			return eris.Wrapf(err, "update the roster of service %q", c.Service)
		}
		out.Abandoned = true
	}
	if c.app.JSON {
		return c.app.printJSON(out)
	}
	return c.print(logs, out)
}

// find returns the roster of the service and the place of the database on it, unless its log
// must not be abandoned.
func (c *logAbandonCommand) find(logs *siteLogs) (storedRoster, succession.Place, error) {
	roster, ok := logs.rosters[c.Service]
	if !ok {
		return roster, succession.Place{}, eris.Wrapf(errNoRoster, "service %q", c.Service)
	}
	place, ok := roster.Databases[c.Database]
	switch {
	case !ok:
		return roster, place, eris.Wrapf(errNotRecorded, "service %q, database %q", c.Service, c.Database)
	case c.Start != 0 && c.Start != place.StartMillis && !slices.Contains(place.FormerStarts, c.Start):
		return roster, place, eris.Wrapf(errOtherStart, "service %q, database %q: %d, not %d", c.Service, c.Database, place.StartMillis, c.Start)
	case c.Start == place.StartMillis && len(place.FormerStarts) > 0 && !place.Abandoned:
		return roster, place, eris.Wrapf(errEarlierFirst, "service %q, database %q", c.Service, c.Database)
	case c.runs(place) && slices.ContainsFunc(logs.listed, func(db routes.Database) bool { return db.ID == c.Database && db.StartMillis == place.StartMillis }):
		return roster, place, eris.Wrapf(errStillListed, "service %q, database %q", c.Service, c.Database)
	}
	return roster, place, nil
}

// runs reports whether the command is for the newest process of a database, which runs if it is
// listed.
func (c *logAbandonCommand) runs(place succession.Place) bool {
	return len(place.FormerStarts) == 0 || c.Start == place.StartMillis || c.Start == 0 && place.Abandoned
}

// readFloor reads the position and the term that the lease of the service keeps.
func (c *logAbandonCommand) readFloor(logs *siteLogs, out *abandonment) error {
	object, err := logs.store.Get(c.app.ctx, succession.KindLeases, c.Service)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil // the primary has never been replaced
	}
	if err != nil {
		return eris.Wrapf(err, "read the lease of service %q", c.Service)
	}
	var lease succession.Lease
	if err := json.Unmarshal(object.Value, &lease); err != nil {
		return nil // hosts treat it as held, and take it over when it has expired
	}
	out.Floor, out.Term = lease.Floor, max(out.Term, lease.Term)
	return nil
}

func (c *logAbandonCommand) print(logs *siteLogs, out abandonment) error {
	if err := c.app.logTable(logs.of(c.Service)); err != nil {
		return err
	}
	c.app.printf("newest known term %d; every later successor's log reaches %s", out.Term, out.Floor)
	switch {
	case out.Abandoned && c.Confirm:
		c.app.printf("the log of %s is abandoned: what only it holds is lost when a successor leads; its return before that makes it count again", out.Database)
	case out.Abandoned:
		c.app.printf("the log of %s has been abandoned already", out.Database)
	default:
		c.app.printf("would be lost: every commit, acknowledged ones included, that only the log of %s holds", out.Database)
		c.app.printf("nothing was changed; to abandon it: bronzeloftctl log abandon --service %s --database %s --start %d --confirm", out.Service, out.Database, out.Start)
	}
	if len(out.Needed) > 0 {
		c.app.printf("a takeover must still read %s, except the primary that it replaces unless an acknowledged commit is missing elsewhere", strings.Join(out.Needed, ", "))
	}
	return nil
}
