// Package settings reads the daemon's settings, a TOML file. A process learns
// its addresses and data centre only from here; everything that may change
// while it runs is in the published snapshot instead.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// Host is the whole of one daemon's settings, checked and with defaults filled.
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

// Identity says which host this is.
type Identity struct {
	ID         string
	DataCentre string
}

// Callers is the listener for callers.
type Callers struct {
	Listen         string // IP:port
	TLSCert        string // PEM file; empty means plain TCP, on loopback only
	TLSKey         string // PEM file
	MaxConnections int
	StartupTimeout time.Duration
	// IdleInTransaction is how long a transaction may wait for its caller.
	IdleInTransaction time.Duration
}

// Peers is the listener for other hosts, and where to find the first ones.
type Peers struct {
	Listen    string   // IP:port
	Advertise string   // IP:port that other hosts dial; Listen when not set
	Seeds     []string // IP:port
	// ServingHosts is how many hosts of a data centre serve one database group;
	// the others relay sessions to them.
	ServingHosts int
	TLSCert      string // PEM file; empty means plain TCP, on loopback only
	TLSKey       string // PEM file
	TLSCA        string // PEM file of the authority that signs every host
}

// Platform is the object API.
type Platform struct {
	URL            string
	Timeout        time.Duration
	CallsPerSecond float64
}

// Databases is how this host reaches databases.
type Databases struct {
	User                string
	Password            Secret
	ConnectTimeout      time.Duration
	MaxConnsPerDatabase int
	ProbeInterval       time.Duration // between reports asked of each database
	SuspectAfter        time.Duration // silence after which a database is suspected
	IdleProbeAfter      time.Duration // idle time after which a connection is tried before use
	IdleTimeout         time.Duration // idle time after which a connection is closed
}

// Admin is the operators' HTTP listener.
type Admin struct {
	Listen string // IP:port
}

// Log is the form of the log.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	Grace time.Duration // for requests and transactions that run
}

// Site is a host of a site whose operator publishes routes to the platform's
// store. Where Callers is set, the process serves such a site, and the sections
// callers, peers and databases do not count.
type Site struct {
	Callers      string // IP:port
	Ready        string // IP:port
	Peers        string // IP:port, TCP and UDP
	Access       string // IP:port
	Metrics      string // IP:port; empty for none
	PromotionURL string
	DataCentres  []string
	MaxCallers   int
	WatchWait    time.Duration
	MemoryMB     int // of the process; 0 for no limit
}

// Secret is a text that is neither printed nor logged.
type Secret string

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// String hides the secret.
func (Secret) String() string { return "[hidden]" }

// GoString hides the secret.
func (Secret) GoString() string { return "[hidden]" }

// MarshalText hides the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte("[hidden]"), nil }

// Load reads and checks the file at path. Its error is tomlread.Faults when the
// file was read but is at fault.
func Load(path string) (*Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse checks the settings in data, which came from the file called name. Its
// error is tomlread.Faults and lists every fault.
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
