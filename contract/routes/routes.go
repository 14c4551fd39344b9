// Package routes holds the configuration of a site whose operator publishes
// routes: which service a database name leads to, under which contract, and
// which customers may send what.
package routes

import (
	"time"
)

// Freshness says which commits a read must see.
type Freshness uint8

// The kinds of freshness. The zero value is the strictest.
const (
	Current        Freshness = iota // every commit acknowledged before the read was sent
	ReadYourWrites                  // the session's own commits, and all that are older than MaxAge
	Bounded                         // all commits that are older than MaxAge
)

// Route is the contract of one database name.
type Route struct {
	Database  string // name that callers connect to
	Service   string
	Freshness Freshness
	MaxAge    time.Duration // of data; Current routes have none
	Timeout   time.Duration // for one statement
	Objective time.Duration // aim for a whole operation
	Urgency   int           // 0 is the most urgent
	Open      bool          // callers need no key
}

// Service is a group of databases with the same data.
type Service struct {
	Name         string
	MaxConns     int // of one database, from all hosts
	SyncReplicas int // replicas that hold a commit before it is acknowledged
}

// Customer is who holds keys and what it may send over all hosts.
type Customer struct {
	Name  string
	Keys  []string
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Configuration is one version of what the operator published. It is immutable.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route // by database name
	Services        map[string]Service
	Customers       map[string]Customer
	IdleTransaction time.Duration // a transaction may be ended after resting that long

	holders map[string]string // customer's name by key
}

// Index prepares the look-up of keys. It is called once, before use.
func (c *Configuration) Index() {
	c.holders = map[string]string{}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.holders[key] = customer.Name
		}
	}
}

// Holder returns the customer that holds a key.
func (c *Configuration) Holder(key string) (string, bool) {
	name, ok := c.holders[key]
	return name, ok
}

// Database is one database server as it announces itself.
type Database struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int   // statements that it runs at once
	Leaving    bool  // it takes no new work and ends soon
	Primary    bool  // it believes that it leads its service
	Born       int64 // start of its process, Unix milliseconds; another value is another life
}
