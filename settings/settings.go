// Package settings reads the daemon's settings, a TOML file. The addresses and the
// data centre of a process are set only here; everything that may change while
// it runs is in the published snapshot instead.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// Host holds all settings of one daemon, validated and with defaults filled in.
type Host struct {
	Host      Identity
	Callers   Callers
	Peers     Peers
	Platform  Platform
	Databases Databases
	Admin     Admin
	Log       Log
	Shutdown  Shutdown
	Site      Site
}

// Identity identifies this host.
type Identity struct {
	ID         string
	DataCentre string
}

// Callers configures the listener for callers.
type Callers struct {
	Listen         string        // IP:port
	TLSCert        string        // PEM file; empty means plain TCP, on loopback only
	TLSKey         string        // PEM file
	MaxConnections int           // caller connections at once; more are refused
	StartupTimeout time.Duration // for a caller to finish TLS and present its key
	// IdleInTransaction is how long an open transaction may be idle before it is
	// rolled back.
	IdleInTransaction time.Duration
}

// Peers configures the listener for other hosts and the hosts to contact first.
type Peers struct {
	Listen    string   // IP:port
	Advertise string   // IP:port that other hosts dial; Listen when not set
	Seeds     []string // IP:port
	// ServingHosts is the number of hosts of a data centre that serve one
	// database group; the others relay sessions to them.
	ServingHosts int
	TLSCert      string // PEM file; empty means plain TCP, on loopback only
	TLSKey       string // PEM file
	TLSCA        string // PEM file of the authority that signs the certificate of every host
}

// Platform configures access to the platform's object API.
type Platform struct {
	URL            string        // base URL
	Timeout        time.Duration // of one call; a watch may take longer
	CallsPerSecond float64       // including watches
}

// Databases configures this host's connections to databases.
type Databases struct {
	User                string
	Password            Secret
	ConnectTimeout      time.Duration // to open a connection and log in
	MaxConnsPerDatabase int           // of this host; its share of the fleet's limit may be lower
	ProbeInterval       time.Duration // between status queries to each database
	SuspectAfter        time.Duration // silence after which a database is suspected
	IdleProbeAfter      time.Duration // idle time after which a connection is probed before use
	IdleTimeout         time.Duration // idle time after which a connection is closed
}

// Admin configures the operators' HTTP listener.
type Admin struct {
	Listen string // IP:port
}

// Log configures the log.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Shutdown configures a graceful shutdown.
type Shutdown struct {
	Grace time.Duration // for running requests and transactions
}

// Site configures a host of a site whose operator publishes routes to the
// platform's store. If Callers is set, the process serves such a site, and the
// sections callers, peers and databases are not used.
type Site struct {
	Callers      string        // IP:port
	Ready        string        // IP:port of the platform's readiness probe
	Peers        string        // IP:port for the site's other hosts, TCP and UDP
	Access       string        // IP:port for statements that other hosts of the data centre send
	Metrics      string        // IP:port; empty for none
	PromotionURL string        // base URL of the platform's promotion calls
	DataCentres  []string      // of the site; connections are divided among them until their hosts are known
	MaxCallers   int           // sessions at once
	WatchWait    time.Duration // how long the store holds a watch open
	MemoryMB     int           // of the process; 0 for no limit
	// CallerMemoryMB is the memory for callers' messages and session state; 0 for a share of MemoryMB.
	CallerMemoryMB int
	MessageTimeout time.Duration // of a caller's message, from its first byte to its last
	// DatabaseDrain is how long a database that announces its shutdown may be sent statements.
	DatabaseDrain time.Duration
	CPUShare      float64 // processor time of the host, as a share of a core
	// Contracts are the platform's names of the terms in force, which switch on what serves them.
	Contracts []string
	// Evacuation is the time after the request to evacuate a data centre from which no statement
	// reaches a database there.
	Evacuation time.Duration
	// ColdOverage and ColdSlack bound the requests that a cold database gets in one second: the
	// service's limit times the first, plus the second.
	ColdOverage float64
	ColdSlack   int
}

// Secret is a string that is neither printed nor logged.
type Secret string

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// String hides the secret.
func (Secret) String() string { return "[hidden]" }

// GoString hides the secret.
func (Secret) GoString() string { return "[hidden]" }

// MarshalText hides the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte("[hidden]"), nil }

// Load reads and checks the file at path. If the file can be read but is invalid,
// the error is a tomlread.Faults.
func Load(path string) (*Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse reads and checks the settings in data. name is the name of the file, for
// the faults. The error, if any, is a tomlread.Faults that lists every fault.
func Parse(name string, data []byte) (*Host, error) {
	doc, root := tomlread.Parse(name, data)
	h := &Host{}
	r := &reader{root: root, host: h, sections: map[string]*tomlread.Table{}}
	if len(doc.Faults) == 0 {
		r.readAll()
		r.checkAll()
	}
	doc.Faults.Sort()
	if err := doc.Faults.Err(); err != nil {
		return nil, err
	}
	return h, nil
}
