// Package budget keeps connections and slots of each database under the
// server's limits, counted over all hosts together.
//
// Hosts of the roster hold standing shares of a database's limit in whole
// permits and lend what they do not use. A loan leaves the lender's count
// before it is sent. The borrower counts its term from before it asked and
// renews it while in use; the lender counts it as out until the term is over
// and the server must have closed whatever a silent borrower left open. So the
// sessions open at the server never exceed its limit, also while a host is
// frozen, cut off or replaced.
//
// A permit is in use until Release, which the host calls when the server has
// closed its side or the slot's statement is known to have stopped. The server
// must close the sessions of a client that is silent for Config.ServerClose;
// the host sets that up when it logs in.
//
// Limits given to Apply should stay some way under the server's own. A refusal
// by the server is then a sign of foreign sessions: the host gives the permit
// back and tries later.
package budget

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/defaults"
	"github.com/bronzeloft/bronzeloft/internal/standing"
)

// Sizes of a Table.
const (
	// MaxDatabases bounds the databases of one Table. Further ones get no
	// permits.
	MaxDatabases = 16384
	// MaxWaiters bounds the requests that wait for one database's permits of
	// one kind. Further ones are refused.
	MaxWaiters = 512
	// MaxLoans bounds the loans of one database and kind that a host has given
	// and not yet forgotten, and those that it holds or asks for.
	MaxLoans = 512
)

// Default timing.
const (
	DefaultLoanTerm    = 4 * time.Second
	DefaultServerClose = 15 * time.Second
	DefaultColdWait    = 500 * time.Millisecond
	DefaultAskTimeout  = 50 * time.Millisecond
	DefaultPause       = 20 * time.Millisecond
	DefaultIdleConns   = time.Second
	DefaultIdleSlots   = 20 * time.Millisecond
)

// marginParts is the part of a term, one over marginParts, that a lender adds
// for clocks that run at different speeds.
const marginParts = 16

// Kind is what a permit allows.
type Kind uint8

// The kinds.
const (
	Conns Kind = iota // one connection to the server
	Slots             // one statement running at the server
	numKinds
)

// Database is one database server with its limits over the whole fleet.
type Database struct {
	ID    string
	Conns int
	Slots int
}

// Verdict is the answer to Acquire.
type Verdict uint8

// The verdicts.
const (
	Refused  Verdict = iota // nothing free before the deadline
	Admitted                // one permit is in use from now on
	Waiting                 // an Output admits or refuses it later
)

// Send is one message to another host.
type Send = standing.Send

// Close asks the host to close sessions and to Release their permits, idle ones
// first. Until then the host is above what it may use, or keeps another host
// from what belongs to it.
type Close struct {
	Database string
	Kind     Kind
	Count    int
}

// Output is what the caller has to do.
type Output struct {
	Send     []Send
	Admitted []uint64
	Refused  []uint64
	Close    []Close
}

// Config names a host and sets its timing. Zero durations take the defaults.
type Config struct {
	Self       string // own peer address, as the roster names it
	DataCentre string
	BootID     string    // differs between runs of a process at one address
	Started    time.Time // start of this process

	LoanTerm    time.Duration // of a loan; the same on every host
	ServerClose time.Duration // after which a server has closed a silent client's session
	// ColdWait is how long shares are not used when the whole fleet starts. The
	// default suits processes that end, whose sessions the server closes at once;
	// after a loss of power everywhere only ServerClose is long enough.
	ColdWait    time.Duration
	AskTimeout  time.Duration // a silent peer is passed over after this
	Pause       time.Duration // between rounds of asking in vain
	IdleConns   time.Duration // a borrowed connection permit unused this long is returned
	IdleSlots   time.Duration // likewise a slot permit
	ConfirmTerm time.Duration // see standing.Config
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.LoanTerm, DefaultLoanTerm)
	defaults.Set(&c.ServerClose, DefaultServerClose)
	defaults.Set(&c.ColdWait, DefaultColdWait)
	defaults.Set(&c.AskTimeout, DefaultAskTimeout)
	defaults.Set(&c.Pause, DefaultPause)
	defaults.Set(&c.IdleConns, DefaultIdleConns)
	defaults.Set(&c.IdleSlots, DefaultIdleSlots)
	return c
}

// hold is how long a lender counts a loan as out after it gave or renewed it.
func (c Config) hold() time.Duration {
	return c.LoanTerm + c.LoanTerm/marginParts + c.ServerClose
}

func (c Config) idle(k Kind) time.Duration {
	if k == Slots {
		return c.IdleSlots
	}
	return c.IdleConns
}

// Table holds one host's part of every database's permits. It is not safe for
// concurrent use: the host guards each Table by one mutex. At most
// MaxDatabases databases are held.
type Table struct {
	cfg       Config
	keeper    *standing.Keeper
	now       time.Time // latest time seen; time never goes back
	cleanAt   time.Time // nothing given under an earlier roster is left
	pools     map[poolKey]*pool
	order     []*pool // in the order of Apply, for a stable order of output
	waiting   map[uint64]*pool
	asked     uint64
	confirmed bool
	usable    bool // own shares may be used: the start's wait is over
	leaving   bool
}

// New returns a table that holds nothing until Apply.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg: cfg,
		keeper: standing.NewKeeper(standing.Config{
			Self:     cfg.Self,
			Resource: resource,
			Seed:     xxhash.Sum64String(cfg.BootID),
			Term:     cfg.ConfirmTerm,
			Drain:    2 * cfg.hold(),
		}),
		pools:   map[poolKey]*pool{},
		waiting: map[uint64]*pool{},
	}
}

// resource names this package's shares in RosterAck messages.
const resource = "permits"

// Apply takes the roster and the databases of a snapshot. A database that is
// not listed gets no new permits.
func (t *Table) Apply(roster contract.Roster, databases []Database, now time.Time) Output {
	var out Output
	now = t.tick(now, &out)
	first := t.keeper.Plan() == nil
	if t.keeper.Apply(roster, now) && !first {
		t.cleanAt = now.Add(t.cfg.hold())
	}
	listed := map[poolKey]bool{}
	for _, d := range databases {
		t.put(poolKey{d.ID, Conns}, d.Conns, listed)
		t.put(poolKey{d.ID, Slots}, d.Slots, listed)
	}
	for _, p := range t.order {
		if !listed[p.key] {
			p.limit = 0
			t.refuseAll(p, &out)
		}
	}
	t.reshare(now, &out)
	t.pollRoster(now, &out)
	return out
}

func (t *Table) put(key poolKey, limit int, listed map[poolKey]bool) {
	listed[key] = true
	p := t.pools[key]
	if p == nil {
		if len(t.pools) >= MaxDatabases*int(numKinds) {
			return
		}
		p = &pool{key: key}
		t.pools[key] = p
		t.order = append(t.order, p)
	}
	p.limit = max(0, limit)
}

// Acquire takes one permit, refuses, or waits for one until the deadline. id
// must differ from those of other waiting requests.
func (t *Table) Acquire(id uint64, database string, kind Kind, deadline, now time.Time) (Verdict, Output) {
	var out Output
	now = t.tick(now, &out)
	p := t.pools[poolKey{database, kind}]
	if p == nil || p.limit == 0 || !now.Before(deadline) {
		return Refused, out
	}
	p.drop(now)
	if len(p.waiters) == 0 && p.takeable() > 0 {
		p.use(now)
		return Admitted, out
	}
	if len(p.waiters) >= MaxWaiters || t.leaving {
		return Refused, out
	}
	p.waiters = append(p.waiters, waiter{id, deadline})
	t.waiting[id] = p
	t.serve(p, now, &out)
	if i := slices.Index(out.Admitted, id); i >= 0 {
		out.Admitted = slices.Delete(out.Admitted, i, i+1)
		return Admitted, out
	}
	return Waiting, out
}

// Release gives back a permit that was in use: the server has closed its side,
// or the statement has stopped.
func (t *Table) Release(database string, kind Kind, now time.Time) Output {
	var out Output
	now = t.tick(now, &out)
	if p := t.pools[poolKey{database, kind}]; p != nil && p.used > 0 {
		p.used--
		p.closing = max(0, p.closing-1)
		t.serve(p, now, &out)
	}
	return out
}

// Cancel forgets a waiting request.
func (t *Table) Cancel(id uint64) {
	p := t.waiting[id]
	if p == nil {
		return
	}
	delete(t.waiting, id)
	for i, w := range p.waiters {
		if w.id == id {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
}

// Tick does what is due.
func (t *Table) Tick(now time.Time) Output {
	var out Output
	now = t.tick(now, &out)
	t.pollRoster(now, &out)
	for _, p := range t.order {
		t.serve(p, now, &out)
	}
	return out
}

// Next returns when the next Tick is useful, the zero time when none is.
func (t *Table) Next() time.Time {
	next := t.keeper.Next()
	if from := t.usableFrom(); !t.usable && !from.IsZero() {
		next = soonest(next, from)
	}
	for _, p := range t.order {
		next = soonest(next, t.due(p))
	}
	return next
}

// Leave refuses waiting requests and returns the loans that are not in use.
// Afterwards the host borrows nothing; it lends and returns permits as they
// are released.
func (t *Table) Leave(now time.Time) Output {
	var out Output
	now = t.tick(now, &out)
	t.leaving = true
	for _, p := range t.order {
		t.refuseAll(p, &out)
		t.serve(p, now, &out)
	}
	return out
}

// Capacity returns the permits that this host may use now and those in use.
func (t *Table) Capacity(database string, kind Kind) (may, used int) {
	p := t.pools[poolKey{database, kind}]
	if p == nil {
		return 0, 0
	}
	return p.capacity(), p.used
}

func (t *Table) refuseAll(p *pool, out *Output) {
	for _, w := range p.waiters {
		delete(t.waiting, w.id)
		out.Refused = append(out.Refused, w.id)
	}
	p.waiters = nil
}

func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
