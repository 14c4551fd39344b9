// Package contract holds what teams declare: the team files, the publishing
// step that checks and collects them, and the compiled snapshot that every
// host runs by.
package contract

import "time"

// Snapshot is one published configuration. It is immutable after publishing:
// hosts share one pointer. Version rises with every publish and a host only
// takes a higher one.
type Snapshot struct {
	Version     uint64     `json:"version"`
	DataCentres []string   `json:"dataCentres,omitempty"` // every data centre that databases and hosts may stand in
	Services    []Service  `json:"services"`
	Customers   []Customer `json:"customers"`
	Roster      Roster     `json:"roster"`
}

// Service is one team's database service: its database group and its requests.
type Service struct {
	Name      string     `json:"name"` // the database name that callers connect to
	Group     string     `json:"group"`
	Databases []Database `json:"databases"`
	Slots     int        `json:"slots"`    // statements running at once per database, whole fleet
	MaxConns  int        `json:"maxConns"` // connections per database, whole fleet
	Requests  []Request  `json:"requests"`
}

// Database is one database server of a group.
type Database struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // IP:port
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving,omitempty"` // gets no new work
}

// Access says whether a request may write.
type Access string

// The accesses. A request that no contract names is a Write.
const (
	Read  Access = "read"
	Write Access = "write"
)

// Request is what a contract says of one named request.
type Request struct {
	Name       string        `json:"name"` // "order.place"
	Access     Access        `json:"access"`
	MaxAge     time.Duration `json:"maxAge"`     // accepted age of a read; 0 means fresh
	Idempotent bool          `json:"idempotent"` // may be sent again after an unknown outcome
	Deadline   time.Duration `json:"deadline"`   // from arrival to answer
	Urgent     bool          `json:"urgent"`     // ahead of the customer's own other requests
	Open       bool          `json:"open"`       // runs without a key
}

// Customer is a tenant: what it may send, and the keys that name it.
type Customer struct {
	ID        string    `json:"id"`
	Rate      float64   `json:"rate"`  // requests per second over all hosts
	Burst     float64   `json:"burst"` // requests at once over all hosts
	Weight    int       `json:"weight"`
	Keys      []Key     `json:"keys"`
	Objective Objective `json:"objective"`
}

// Key is a caller's key as stored: never the key itself.
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
	LatencyShare float64       `json:"latencyShare,omitempty"` // share of answers that come within Latency
	Freshness    float64       `json:"freshness,omitempty"`    // share of requests not refused as too stale
	Admission    float64       `json:"admission,omitempty"`    // share of requests not refused for rate
}

// Roster lists the addresses that hold standing shares of every customer's
// rate and burst. Its Version rises when the list changes.
type Roster struct {
	Version uint64       `json:"version"`
	Hosts   []RosterHost `json:"hosts"`
	// Former names hosts of earlier rosters that may still hold shares. Hosts
	// that started since ask them too before they take up a share.
	Former []RosterHost `json:"former,omitempty"`
}

// RosterHost is one address of the roster.
type RosterHost struct {
	Address    string `json:"address"` // IP:port of the peer listener
	DataCentre string `json:"dataCentre"`
	// Left is when a former host left the roster, in Unix seconds by the clock
	// of the operator who published that; 0 for a present one.
	Left int64 `json:"left,omitempty"`
}

// DefaultDeadline is the deadline of a request that no contract names.
const DefaultDeadline = 5 * time.Second

// Unnamed returns the treatment of a request that no contract names: primary,
// fresh, never repeated.
func Unnamed() Request {
	return Request{Access: Write, Deadline: DefaultDeadline}
}

// Service returns the service called name, nil when there is none.
func (s *Snapshot) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Customer returns the customer with the given id, nil when there is none.
func (s *Snapshot) Customer(id string) *Customer {
	for i := range s.Customers {
		if s.Customers[i].ID == id {
			return &s.Customers[i]
		}
	}
	return nil
}

// Request returns what the contract says of name, Unnamed when it is silent.
func (s *Service) Request(name string) Request {
	for i := range s.Requests {
		if s.Requests[i].Name == name {
			return s.Requests[i]
		}
	}
	return Unnamed()
}
