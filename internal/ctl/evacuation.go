package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/platform"
)

// SiteStore is the metadata store of a platform site.
type SiteStore interface {
	objectapi.Objects
	// Delete removes an object, or returns objectapi.ErrNotFound.
	Delete(ctx context.Context, kind, name string) error
}

// Refusals to start or end an evacuation.
var (
	errUnknownCentre = errors.New("no listed database is in the data centre; --force requests it all the same")
	errNotEvacuated  = errors.New("the data centre is not to be evacuated")
)

// evacuationCommand groups the commands for evacuated data centres of a platform site.
type evacuationCommand struct{}

func (a *app) registerEvacuations(p *flags.Parser) error {
	group, err := p.AddCommand("evacuation", "Show, start and end evacuations of data centres", "", &evacuationCommand{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"list", "List the evacuated data centres and what still is there", &evacuationListCommand{app: a}},
		{"start", "Request that nothing more is sent to the databases of a data centre", &evacuationStartCommand{app: a}},
		{"end", "Take back such a request", &evacuationEndCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := group.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// evacuatedCentre is one evacuated data centre as the store has it.
type evacuatedCentre struct {
	DataCentre string              `json:"dataCentre"`
	Since      string              `json:"since"` // as the store states it; empty if it does not
	Version    uint64              `json:"version"`
	Services   []evacuatingService `json:"services"` // those with databases in the data centre
}

// evacuatingService is what the databases' entries say of a service of an evacuated data centre.
type evacuatingService struct {
	Service   string   `json:"service"`
	Databases []string `json:"databases"` // in the data centre
	Primary   string   `json:"primary"`   // if it is in the data centre
	Elsewhere []string `json:"elsewhere"` // databases that may serve instead: in no evacuated data centre, and not leaving
}

// state says in words what holds up the evacuation of a service.
func (s evacuatingService) state() string {
	switch {
	case len(s.Elsewhere) == 0:
		return "refused: no database elsewhere"
	case s.Primary != "":
		return "primary " + s.Primary + " is to be replaced by one of " + strings.Join(s.Elsewhere, ", ")
	}
	return "served elsewhere"
}

// readEvacuations reads the requests and the databases' entries.
func (a *app) readEvacuations() (SiteStore, []evacuatedCentre, []routes.Database, error) {
	store, err := a.siteStore()
	if err != nil {
		return nil, nil, nil, err
	}
	requests, _, err := store.List(a.ctx, platform.KindEvacuations)
	if err != nil {
		return nil, nil, nil, eris.Wrap(err, "list the evacuations")
	}
	entries, _, err := store.List(a.ctx, platform.KindDatabases)
	if err != nil {
		return nil, nil, nil, eris.Wrap(err, "list the databases")
	}
	var databases []routes.Database
	for _, o := range entries {
		// One that cannot be decoded is another writer's and names no database.
		if db, err := platform.DecodeDatabase(o.Name, o.Value); err == nil {
			databases = append(databases, db)
		}
	}
	centres := []evacuatedCentre{}
	for _, o := range requests {
		if err := platform.CheckDataCentre(o.Name); err != nil {
			fmt.Fprintf(a.env.Err, "bronzeloftctl: a request to evacuate is ignored: %v\n", err)
			continue
		}
		centres = append(centres, evacuatedCentre{DataCentre: o.Name, Since: sinceText(o.Created), Version: o.Version})
	}
	slices.SortFunc(centres, func(x, y evacuatedCentre) int { return strings.Compare(x.DataCentre, y.DataCentre) })
	for i := range centres {
		centres[i].Services = evacuating(centres, centres[i].DataCentre, databases)
	}
	return store, centres, databases, nil
}

// sinceText formats the store's time of an object, Unix milliseconds or a text.
func sinceText(created string) string {
	if ms, err := strconv.ParseInt(created, 10, 64); err == nil {
		return time.UnixMilli(ms).UTC().Format(time.RFC3339)
	}
	return created
}

// evacuating returns the services with databases in an evacuated data centre.
func evacuating(centres []evacuatedCentre, dataCentre string, databases []routes.Database) []evacuatingService {
	byName := map[string]*evacuatingService{}
	for _, db := range databases {
		if db.DataCentre != dataCentre {
			continue
		}
		s := byName[db.Service]
		if s == nil {
			s = &evacuatingService{Service: db.Service, Elsewhere: []string{}}
			byName[db.Service] = s
		}
		s.Databases = append(s.Databases, db.ID)
		if db.Primary {
			s.Primary = db.ID
		}
	}
	out := []evacuatingService{}
	for name, s := range byName {
		for _, db := range databases {
			evacuated := slices.ContainsFunc(centres, func(c evacuatedCentre) bool { return c.DataCentre == db.DataCentre })
			if db.Service == name && !db.Leaving && !evacuated {
				s.Elsewhere = append(s.Elsewhere, db.ID)
			}
		}
		slices.Sort(s.Databases)
		slices.Sort(s.Elsewhere)
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b evacuatingService) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

type evacuationListCommand struct{ app *app }

// Execute runs the command.
func (c *evacuationListCommand) Execute([]string) error {
	_, centres, _, err := c.app.readEvacuations()
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(centres)
	}
	return c.app.evacuationTable(centres)
}

func (a *app) evacuationTable(centres []evacuatedCentre) error {
	var rows [][]string
	for _, centre := range centres {
		head := []string{centre.DataCentre, cmp.Or(centre.Since, "-"), strconv.FormatUint(centre.Version, 10)}
		if len(centre.Services) == 0 {
			rows = append(rows, append(head, "-", "-", "no listed database is there"))
		}
		for _, s := range centre.Services {
			rows = append(rows, append(slices.Clone(head), s.Service, strings.Join(s.Databases, ","), s.state()))
		}
	}
	return a.table([]string{"DATA CENTRE", "SINCE", "VERSION", "SERVICE", "DATABASES THERE", "STATE"}, rows)
}

type evacuationStartCommand struct {
	app        *app
	DataCentre string `long:"data-centre" required:"yes" description:"data centre to evacuate"`
	Force      bool   `long:"force" description:"also if no listed database is there"`
}

// Execute runs the command.
func (c *evacuationStartCommand) Execute([]string) error {
	if err := platform.CheckDataCentre(c.DataCentre); err != nil {
		return usageError{err.Error()}
	}
	store, _, databases, err := c.app.readEvacuations()
	if err != nil {
		return err
	}
	if !c.Force && !slices.ContainsFunc(databases, func(db routes.Database) bool { return db.DataCentre == c.DataCentre }) {
		return eris.Wrapf(errUnknownCentre, "data centre %q", c.DataCentre)
	}
	_, err = store.Create(c.app.ctx, platform.KindEvacuations, c.DataCentre, []byte("{}"))
	if err != nil && !errors.Is(err, objectapi.ErrExists) {
		return eris.Wrapf(err, "request the evacuation of data centre %q", c.DataCentre)
	}
	return (&evacuationListCommand{app: c.app}).Execute(nil)
}

type evacuationEndCommand struct {
	app        *app
	DataCentre string `long:"data-centre" required:"yes" description:"data centre whose databases are to be used again"`
}

// Execute runs the command.
func (c *evacuationEndCommand) Execute([]string) error {
	store, err := c.app.siteStore()
	if err != nil {
		return err
	}
	err = store.Delete(c.app.ctx, platform.KindEvacuations, c.DataCentre)
	if errors.Is(err, objectapi.ErrNotFound) {
		return eris.Wrapf(errNotEvacuated, "data centre %q", c.DataCentre)
	}
	if err != nil {
		return eris.Wrapf(err, "end the evacuation of data centre %q", c.DataCentre)
	}
	return (&evacuationListCommand{app: c.app}).Execute(nil)
}
