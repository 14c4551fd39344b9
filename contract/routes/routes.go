// Package routes holds the configuration of a site whose operator publishes
// routes: the service and the contract behind each database name, and the rate
// limits of each customer.
package routes

import (
	"time"
)

// Freshness is the set of commits that a read must see.
type Freshness uint8

// The kinds of freshness. The zero value is the strictest.
const (
	Current        Freshness = iota // every commit acknowledged before the read was sent
	ReadYourWrites                  // the session's own commits, and all commits that are older than MaxAge
	Bounded                         // all commits that are older than MaxAge
)

// Route is the contract of one database name.
type Route struct {
	Name      string // name that callers connect to
	Service   string
	Freshness Freshness
	MaxAge    time.Duration // greatest age of the data that a read may return; unset for Current
	Timeout   time.Duration // of one statement
	Objective time.Duration // latency objective of a whole operation
	Urgency   int           // 0 is the most urgent
	Open      bool          // callers connect without a key
}

// Service is a group of databases with the same data.
type Service struct {
	Name         string
	MaxConns     int // connections to one database, summed over all hosts
	SyncReplicas int // replicas that hold a commit before it is acknowledged
	// ColdRate limits the requests per second that all hosts together send to one
	// database while it is cold after its start; 0 for no limit.
	ColdRate float64
	// ColdStart is for how long a database is cold after its start.
	ColdStart time.Duration
}

// Customer is a holder of keys, with its limits over all hosts.
type Customer struct {
	Name  string
	Keys  []string
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Configuration is one published version of the operator's configuration. It is
// immutable after IndexKeys.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route // by database name
	Services        map[string]Service
	Customers       map[string]Customer
	IdleTransaction time.Duration // a transaction that is idle for longer may be ended

	holders map[string]string // customer name by key
}

// IndexKeys builds the index that Holder reads. It must be called once, before
// the configuration is used.
func (c *Configuration) IndexKeys() {
	c.holders = map[string]string{}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.holders[key] = customer.Name
		}
	}
}

// Holder returns the name of the customer that holds a key, and false if none does.
func (c *Configuration) Holder(key string) (string, bool) {
	name, ok := c.holders[key]
	return name, ok
}

// HasService reports whether the configuration has a service or a route to it.
func (c *Configuration) HasService(name string) bool {
	if _, ok := c.Services[name]; ok {
		return true
	}
	for _, route := range c.Routes {
		if route.Service == name {
			return true
		}
	}
	return false
}

// Database is a database server's own announcement.
type Database struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Slots       int   // statements that it runs concurrently
	Leaving     bool  // it accepts no new work and will shut down
	Primary     bool  // it reports itself as the primary of its service; may be out of date
	StartMillis int64 // start time of its process, Unix milliseconds; a different value means that it restarted
	// ColdFor is how long it remained cold after its start when it wrote its entry.
	ColdFor time.Duration
}
