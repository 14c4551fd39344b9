// Package contract compiles the files that teams and operators write into one
// snapshot, checks and publishes the snapshot, and reads published ones. Every host
// takes its configuration from the published snapshot.
package contract

import "time"

// Snapshot is one published configuration. It is immutable after publishing,
// because all code of a host shares one pointer to it. Version rises with every
// publication, and a host accepts only a higher one.
type Snapshot struct {
	Version     uint64     `json:"version"`
	DataCentres []string   `json:"dataCentres,omitempty"` // every data centre that databases and hosts may be in
	Services    []Service  `json:"services"`
	Customers   []Customer `json:"customers"`
	Roster      Roster     `json:"roster"`
}

// Service is one team's database service: its database group and its requests.
type Service struct {
	Name      string     `json:"name"`  // the database name that callers connect to
	Group     string     `json:"group"` // name of its database group
	Databases []Database `json:"databases"`
	Slots     int        `json:"slots"`    // concurrent statements per database, over the whole fleet
	MaxConns  int        `json:"maxConns"` // connections per database, over the whole fleet
	Requests  []Request  `json:"requests"`
}

// Database is one database server of a group.
type Database struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // IP:port
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving,omitempty"` // gets no new work
}

// Access is the type of access that a request needs.
type Access string

// The kinds of access. A request that no contract declares is a Write.
const (
	Read  Access = "read"
	Write Access = "write"
)

// Request is what a contract declares for one named request.
type Request struct {
	Name       string        `json:"name"` // such as "order.place"
	Access     Access        `json:"access"`
	MaxAge     time.Duration `json:"maxAge"`     // greatest age of the data that a read accepts; 0: it sees every commit acknowledged before its arrival
	Idempotent bool          `json:"idempotent"` // may be repeated after an unknown outcome
	Deadline   time.Duration `json:"deadline"`   // from arrival to answer
	Urgent     bool          `json:"urgent"`     // served before the customer's other requests
	Open       bool          `json:"open"`       // runs without a key
}

// Customer holds a customer's limits, its objectives and the keys that identify it.
type Customer struct {
	ID        string    `json:"id"`
	Rate      float64   `json:"rate"`   // requests per second over all hosts
	Burst     float64   `json:"burst"`  // largest burst, in requests over all hosts
	Weight    int       `json:"weight"` // fair-share weight at each database
	Keys      []Key     `json:"keys"`
	Objective Objective `json:"objective"`
}

// Key is the stored form of a caller's key. It never contains the secret.
type Key struct {
	ID        string `json:"id"`   // public part, shown in logs
	Salt      []byte `json:"salt"` // random, per key
	Hash      []byte `json:"hash"` // SHA-256 of salt and secret; secrets hold 256 random bits
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Objective is a customer's service-level objective. Each share lies between 0
// and 1; a share of 0 sets no objective.
type Objective struct {
	Availability float64       `json:"availability"`           // share of requests answered, such as 0.999
	Latency      time.Duration `json:"latency"`                // a slower answer counts as bad
	LatencyShare float64       `json:"latencyShare,omitempty"` // share of answers within Latency
	Freshness    float64       `json:"freshness,omitempty"`    // share of requests not refused as too stale
	Admission    float64       `json:"admission,omitempty"`    // share of requests not refused for rate
}

// Roster lists the hosts over which each customer's rate and burst and each
// database's connections and slots are divided as standing shares. Its Version rises
// when the list changes.
type Roster struct {
	Version uint64       `json:"version"`
	Hosts   []RosterHost `json:"hosts"`
	// Former lists hosts of earlier rosters that may still hold shares. Hosts that
	// start later also query these before they use a share.
	Former []RosterHost `json:"former,omitempty"`
}

// RosterHost is one address of the roster.
type RosterHost struct {
	Address    string `json:"address"` // IP:port of the peer listener
	DataCentre string `json:"dataCentre"`
	// Left is when a former host left the roster, in Unix seconds by the clock
	// of the operator who published that change; 0 for a current host.
	Left int64 `json:"left,omitempty"`
}

// DefaultDeadline is the deadline of a request whose contract sets none, and of one
// that no contract declares.
const DefaultDeadline = 5 * time.Second

// Unnamed returns the properties of a request that no contract declares: it is a
// write, which goes to the primary, and it is never repeated.
func Unnamed() Request {
	return Request{Access: Write, Deadline: DefaultDeadline}
}

// Service returns the service called name, or nil.
func (s *Snapshot) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Customer returns the customer with the given id, or nil.
func (s *Snapshot) Customer(id string) *Customer {
	for i := range s.Customers {
		if s.Customers[i].ID == id {
			return &s.Customers[i]
		}
	}
	return nil
}

// Request returns the declared request called name, or Unnamed if there is none.
func (s *Service) Request(name string) Request {
	for i := range s.Requests {
		if s.Requests[i].Name == name {
			return s.Requests[i]
		}
	}
	return Unnamed()
}
