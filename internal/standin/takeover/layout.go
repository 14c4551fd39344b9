package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// layout is what a site consists of.
type layout struct {
	services  []string
	zones     []string // the data centres
	databases []string // data centre of each database of a service
	hosts     []hostLayout
	tenants   int
	timeoutMs int // of the routes that read the primary
	oneCore   bool
	// Each client pauses between its operations for a time between these.
	pauseLeast, pauseMost time.Duration
	heartbeat             time.Duration // of the databases
	drain                 time.Duration // from the announcement of a database's leave to its exit
	clients               []string      // kinds of routes that are used, on each host for each of its services
	servicesPerHost       int           // that clients use
	database              databaseLayout
	plan                  string
	with                  variants
	faults                *faults // nil for none
	judgesConfirmed       bool    // a commit that was confirmed to a host must not be lost
}

// hostLayout is the size of a host.
type hostLayout struct {
	zone     string
	memoryMB int
	cpuShare float64
}

// databaseLayout is the size of the databases, and their times.
type databaseLayout struct {
	Slots       int
	Connections int           // at most
	Connect     time.Duration // time for which a new connection occupies a slot
	Lag         time.Duration // from the receipt of a commit to its application
	promotion   time.Duration // from a promotion call to its effect
}

// services are the names of the services of most sites.
var services = []string{"orders-db", "stock-db", "vans-db"}

// layouts are the sites by name.
var layouts = map[string]func() layout{"small": smallLayout, "large": largeLayout, "pluta-hq": largeLayout, "krkt-forum-grown": forumLayout}

func layoutNames() string { return strings.Join(slices.Sorted(maps.Keys(layouts)), ", ") }

const heartbeat = 1200 * time.Millisecond

// usualDatabase is that of a head office.
var usualDatabase = databaseLayout{Slots: 5, Connections: 66, Connect: 12 * time.Millisecond, Lag: 20 * time.Millisecond, promotion: time.Second}

// Sizes of hosts.
const (
	usualMemoryMB = 206
	usualCPUShare = 0.272
)

// addHosts adds hosts of one size to each data centre.
func (l *layout) addHosts(memoryMB int, cpuShare float64, perZone ...int) {
	for i, n := range perZone {
		for range n {
			l.hosts = append(l.hosts, hostLayout{l.zones[i], memoryMB, cpuShare})
		}
	}
}

func smallLayout() layout {
	l := layout{
		services:  services,
		zones:     []string{"zone-a", "zone-b", "zone-c"},
		databases: []string{"zone-a", "zone-b", "zone-c"},
		tenants:   3, timeoutMs: 2000, heartbeat: heartbeat, database: usualDatabase,
		clients: []string{kindPrimary}, servicesPerHost: len(services), pauseLeast: 15 * time.Millisecond, pauseMost: 50 * time.Millisecond,
	}
	l.addHosts(usualMemoryMB, usualCPUShare, 2, 2, 2)
	return l
}

// largeLayout is the head office of the records of issues 30, 33 and 36, with 14 hosts in four data centres.
func largeLayout() layout {
	l := layout{
		services:  services,
		zones:     []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		databases: []string{"zone-a", "zone-b", "zone-c"},
		tenants:   8, timeoutMs: 1000, oneCore: true, heartbeat: heartbeat, database: usualDatabase,
		clients: []string{kindPrimary, kindOwn, kindBounded}, servicesPerHost: len(services), pauseLeast: 60 * time.Millisecond, pauseMost: 200 * time.Millisecond,
	}
	l.addHosts(usualMemoryMB, usualCPUShare, 4, 4, 3, 3)
	return l
}

// forumLayout is a forum of eight services with 121 hosts in four data centres, two of
// which in each are larger. Few clients come to each host.
func forumLayout() layout {
	l := layout{
		zones:     []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		databases: []string{"zone-a", "zone-b", "zone-c"},
		tenants:   80, timeoutMs: 1000, oneCore: true, heartbeat: heartbeat,
		database: databaseLayout{Slots: 5, Connections: 465, Connect: 27 * time.Millisecond, Lag: 60 * time.Millisecond, promotion: 300 * time.Millisecond},
		clients:  []string{kindPrimary, kindOwn}, servicesPerHost: 1, pauseLeast: 200 * time.Millisecond, pauseMost: 800 * time.Millisecond,
	}
	for i := range 8 {
		l.services = append(l.services, fmt.Sprintf("forum-%d-db", i+1))
	}
	l.addHosts(536, 0.8, 2, 2, 2, 2)
	l.addHosts(136, 0.134, 30, 28, 30, 25)
	return l
}

// servicesOf returns the services that the clients of a host use, by its index.
func (l layout) servicesOf(host int) []string {
	var out []string
	for i := range l.servicesPerHost {
		out = append(out, l.services[(host+i)%len(l.services)])
	}
	return out
}

// newLayout returns the layout of a play.
func newLayout(rec *record, name, plan string, with variants, seed uint64) (layout, error) {
	layoutOf := layouts[name]
	if layoutOf == nil {
		return layout{}, fmt.Errorf("unknown layout %q", name)
	}
	if _, ok := plans[plan]; !ok {
		return layout{}, fmt.Errorf("unknown plan %q", plan)
	}
	l := layoutOf()
	if name == "small" && seed%3 == 0 {
		l.databases = append(l.databases, "zone-b")
	}
	l.plan, l.with, l.drain, l.faults = plan, with, drainTime, newFaults(rec, seed)
	rec.logf("seed %d", seed)
	return l, nil
}
