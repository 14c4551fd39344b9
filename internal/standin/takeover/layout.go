package main

import (
	"fmt"
	"time"
)

// layout is what a site consists of.
type layout struct {
	services  []string
	zones     []string // the data centres
	databases []string // data centre of each database of a service
	hosts     []string // data centre of each host
	tenants   int
	timeoutMs int // of the routes that read the primary
	oneCore   bool
	// Each client pauses between its operations for a time between these.
	pauseLeast, pauseMost time.Duration
	heartbeat             time.Duration // of the databases
	clients               []string      // kinds of routes that are used, on each host for each service
	plan                  string
	with                  variants
	faults                *faults // nil for none
	judgesConfirmed       bool    // a commit that was confirmed to a host must not be lost
}

// services are the names of the services.
var services = []string{"orders-db", "stock-db", "vans-db"}

// layouts are the sites by name.
var layouts = map[string]func() layout{"small": smallLayout, "large": largeLayout}

const heartbeat = 1200 * time.Millisecond

func smallLayout() layout {
	return layout{
		services:  services,
		zones:     []string{"zone-a", "zone-b", "zone-c"},
		databases: []string{"zone-a", "zone-b", "zone-c"},
		hosts:     []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"},
		tenants:   3, timeoutMs: 2000, heartbeat: heartbeat,
		clients: []string{kindPrimary}, pauseLeast: 15 * time.Millisecond, pauseMost: 50 * time.Millisecond,
	}
}

// largeLayout is a head office with 14 hosts in four data centres.
func largeLayout() layout {
	l := layout{
		services:  services,
		zones:     []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		databases: []string{"zone-a", "zone-b", "zone-c"},
		tenants:   8, timeoutMs: 1000, oneCore: true, heartbeat: heartbeat,
		clients: []string{kindPrimary, kindOwn, kindBounded}, pauseLeast: 60 * time.Millisecond, pauseMost: 200 * time.Millisecond,
	}
	for i, n := range []int{4, 4, 3, 3} {
		for range n {
			l.hosts = append(l.hosts, l.zones[i])
		}
	}
	return l
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
	l.plan, l.with, l.faults = plan, with, newFaults(rec, seed)
	rec.logf("seed %d", seed)
	return l, nil
}
