package contract

import (
	"fmt"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// Defaults for the optional settings of a customer.
const (
	DefaultWeight       = 1
	DefaultAvailability = 0.999
)

// customers reads CustomersFile. The file holds no keys: keys are issued and
// withdrawn in the published snapshot.
func (c *compiler) customers(root *tomlread.Table) {
	for _, t := range root.Tables("customer") {
		cust := Customer{
			ID:     t.Required("id", nameText),
			Rate:   required(t, "rate", 0.01, MaxRate),
			Burst:  required(t, "burst", 1, MaxRate),
			Weight: t.Int("weight", DefaultWeight, 1, MaxWeight),
		}
		cust.Objective = objective(t.Table("objective"))
		c.recordOrigin(customerKey(cust.ID), t.Line(""))
		t.Close()
		c.snap.Customers = append(c.snap.Customers, cust)
	}
	root.Close()
}

func required(t *tomlread.Table, key string, lo, hi float64) float64 {
	if !t.Has(key) {
		t.Fault(key, "nothing", fmt.Sprintf("a number from %g to %g", lo, hi))
	}
	return t.Float(key, lo, lo, hi)
}

func objective(t *tomlread.Table) Objective {
	o := Objective{
		Availability: t.Float("availability", DefaultAvailability, 0, MaxObjectiveShare),
		Latency:      t.Duration("latency", 0, 0, MaxLatencyTarget),
		LatencyShare: t.Float("latency_share", 0, 0, MaxObjectiveShare),
		Freshness:    t.Float("freshness", 0, 0, MaxObjectiveShare),
		Admission:    t.Float("admission", 0, 0, MaxObjectiveShare),
	}
	if o.LatencyShare > 0 && o.Latency == 0 {
		t.Fault("latency", "nothing", "a duration, since latency_share is set")
	}
	t.Close()
	return o
}

// fleet reads FleetFile: data centres, database groups and the roster.
func (c *compiler) fleet(root *tomlread.Table) {
	c.snap.DataCentres = root.Strings("data_centres", nameText)
	if len(c.snap.DataCentres) == 0 {
		root.Fault("data_centres", "nothing", "the names of one or more data centres")
	}
	for _, t := range root.Tables("group") {
		c.group(t)
	}
	for _, t := range root.Tables("host") {
		h := RosterHost{Address: t.Required("address", addressText), DataCentre: c.dataCentre(t)}
		c.recordOrigin(hostKey(h.Address), t.Line(""))
		t.Close()
		c.snap.Roster.Hosts = append(c.snap.Roster.Hosts, h)
	}
	root.Close()
}

// dataCentre reads the data centre of t, which must be one of those that the file
// declares.
func (c *compiler) dataCentre(t *tomlread.Table) string {
	return t.Required("data_centre", tomlread.OneOf(c.snap.DataCentres...))
}

func (c *compiler) group(t *tomlread.Table) {
	name := t.Required("name", nameText)
	g := &group{
		slots:    t.Int("slots", 1, 1, MaxSlots),
		maxConns: t.Int("max_connections", 1, 1, MaxConnections),
		origin:   origin{file: c.doc.File, line: t.Line("")},
	}
	for _, key := range []string{"slots", "max_connections"} {
		if !t.Has(key) {
			t.Fault(key, "nothing", "a whole number")
		}
	}
	for _, dt := range t.Tables("database") {
		g.databases = append(g.databases, c.database(dt))
	}
	t.Close()
	if _, duplicate := c.groups[name]; duplicate {
		t.Fault("name", fmt.Sprintf("%q a second time", name), "a different name for each group")
		return
	}
	c.groups[name] = g
}

func (c *compiler) database(t *tomlread.Table) Database {
	d := Database{
		ID:         t.Required("id", nameText),
		Address:    t.Required("address", addressText),
		DataCentre: c.dataCentre(t),
		Leaving:    t.Bool("leaving", false),
	}
	c.recordOrigin(databaseKey(d.ID), t.Line(""))
	t.Close()
	return d
}
