package contract

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// MaxObjectiveShare is the highest share that an objective may set. A share of 1
// would leave no error budget.
const MaxObjectiveShare = 0.99999

// MaxKeyIDBytes is the maximum length of a key's id.
const MaxKeyIDBytes = 64

// Minimum and maximum length of a key's salt.
const (
	minSaltBytes = 8
	maxSaltBytes = 64
)

// Patterns for the names of items, of requests and of keys.
var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	requestPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
	keyPattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)
)

// Validation rules for strings.
var (
	nameText    = tomlread.Text{Allowed: "1 to 64 lower-case letters, digits and '-'", Valid: namePattern.MatchString}
	requestText = tomlread.Text{Allowed: "1 to 64 lower-case letters, digits, '.', '_' and '-'", Valid: requestPattern.MatchString}
	addressText = tomlread.Text{Allowed: "IP:port", Valid: isAddress}
	accessText  = tomlread.OneOf(string(Read), string(Write))
	repeatText  = tomlread.OneOf(repeatNever, repeatSafe)
)

// ValidKeyID reports whether id has the form of a key's id.
func ValidKeyID(id string) bool { return keyPattern.MatchString(id) }

func isAddress(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && !ap.Addr().IsUnspecified() && ap.Port() != 0
}

// Prefixes of the keys in Check's faults. A key is the item's prefix, a space and
// the name of the field.
func serviceKey(name string) string { return "service " + name }
func requestKey(service, name string) string {
	return serviceKey(service) + " request " + name
}
func databaseKey(id string) string  { return "database " + id }
func customerKey(id string) string  { return "customer " + id }
func hostKey(address string) string { return "host " + address }

// Check validates a snapshot and returns all its faults. The faults name the item
// instead of a file and line, because a snapshot need not come from files.
func Check(s *Snapshot) []Fault {
	c := checker{file: "snapshot", snap: s}
	c.count("services", len(s.Services), 1, MaxServices)
	c.count("customers", len(s.Customers), 1, MaxCustomers)
	c.count("hosts", len(s.Roster.Hosts), 0, MaxHosts)
	for i := range s.Services {
		c.service(&s.Services[i])
	}
	for i := range s.Customers {
		c.customer(&s.Customers[i])
	}
	c.roster()
	c.unique()
	return c.faults
}

// checker collects the faults of one snapshot.
type checker struct {
	file   string
	snap   *Snapshot
	faults tomlread.Faults
}

// require adds a fault unless ok.
func (c *checker) require(ok bool, key, found, allowed string) {
	if !ok {
		c.faults = append(c.faults, Fault{File: c.file, Key: key, Found: found, Allowed: allowed})
	}
}

func (c *checker) count(key string, n, lo, hi int) {
	c.require(n >= lo && n <= hi, key, fmt.Sprintf("%d %s", n, key), fmt.Sprintf("from %d to %d", lo, hi))
}

func (c *checker) text(key, found string, rule tomlread.Text) {
	c.require(rule.Valid(found), key, fmt.Sprintf("%q", found), rule.Allowed)
}

func (c *checker) number(key string, n, lo, hi float64) {
	c.require(n >= lo && n <= hi, key, fmt.Sprintf("%g", n), fmt.Sprintf("from %g to %g", lo, hi))
}

func (c *checker) duration(key string, d, lo, hi time.Duration) {
	c.require(d >= lo && d <= hi, key, d.String(), fmt.Sprintf("from %s to %s", lo, hi))
}

func (c *checker) dataCentre(key, dc string) {
	all := c.snap.DataCentres
	c.require(len(all) == 0 || slices.Contains(all, dc), key+" data_centre", fmt.Sprintf("%q", dc), "a data centre of the snapshot")
}

func (c *checker) service(s *Service) {
	key := serviceKey(s.Name)
	c.text(key+" name", s.Name, nameText)
	c.text(key+" group", s.Group, nameText)
	c.count(key+" databases", len(s.Databases), 1, MaxDatabases)
	c.count(key+" requests", len(s.Requests), 0, MaxRequests)
	c.number(key+" slots", float64(s.Slots), 1, MaxSlots)
	c.number(key+" max_connections", float64(s.MaxConns), float64(s.Slots), MaxConnections)
	remaining := 0
	for i := range s.Databases {
		c.database(&s.Databases[i])
		if !s.Databases[i].Leaving {
			remaining++
		}
	}
	c.require(remaining > 0 || len(s.Databases) == 0, key+" databases", "every database leaving", "one or more databases that are not leaving")
	for i := range s.Requests {
		c.request(s.Name, &s.Requests[i])
	}
}

func (c *checker) database(d *Database) {
	key := databaseKey(d.ID)
	c.text(key+" id", d.ID, nameText)
	c.text(key+" address", d.Address, addressText)
	c.dataCentre(key, d.DataCentre)
}

func (c *checker) request(service string, r *Request) {
	key := requestKey(service, r.Name)
	c.text(key+" name", r.Name, requestText)
	c.text(key+" access", string(r.Access), accessText)
	c.duration(key+" deadline", r.Deadline, MinDeadline, MaxDeadline)
	c.duration(key+" max_age", r.MaxAge, 0, MaxAge)
	if r.Access == Write {
		c.require(r.MaxAge == 0, key+" max_age", r.MaxAge.String(), "a max_age on reads only")
		c.require(!r.Open, key+" open", "a write that runs without a key", "open on reads only")
	}
}

func (c *checker) customer(cu *Customer) {
	key := customerKey(cu.ID)
	c.text(key+" id", cu.ID, nameText)
	c.number(key+" rate", cu.Rate, 0.01, MaxRate)
	c.number(key+" burst", cu.Burst, 1, MaxRate)
	c.number(key+" weight", float64(cu.Weight), 1, MaxWeight)
	c.objective(key, cu.Objective)
	c.count(key+" keys", len(cu.Keys), 0, MaxKeys)
	for _, k := range cu.Keys {
		c.require(ValidKeyID(k.ID), key+" key", fmt.Sprintf("%q", k.ID), "1 to 64 lower-case letters, digits, '-' and '_'")
		c.require(len(k.Salt) >= minSaltBytes && len(k.Salt) <= maxSaltBytes && len(k.Hash) == sha256.Size, key+" key", k.ID+" with a salt or hash of the wrong length", "a key as issued")
	}
}

func (c *checker) objective(key string, o Objective) {
	c.number(key+" objective.availability", o.Availability, 0, MaxObjectiveShare)
	c.number(key+" objective.latency_share", o.LatencyShare, 0, MaxObjectiveShare)
	c.number(key+" objective.freshness", o.Freshness, 0, MaxObjectiveShare)
	c.number(key+" objective.admission", o.Admission, 0, MaxObjectiveShare)
	c.duration(key+" objective.latency", o.Latency, 0, MaxLatencyTarget)
}

func (c *checker) roster() {
	for _, h := range c.snap.Roster.Hosts {
		c.text(hostKey(h.Address)+" address", h.Address, addressText)
		c.dataCentre(hostKey(h.Address), h.DataCentre)
	}
}
