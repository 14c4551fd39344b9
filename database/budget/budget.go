// Package budget limits the connections and slots in use at each database,
// counted over all hosts together.
//
// Each host of the roster holds a standing share of a database's limit, in
// whole permits, and lends permits that it does not use. A loan is debited from
// the lender's pool before it is sent. The borrower counts the loan's term from
// before it sent the request, and renews the loan while it is in use. The
// lender counts the loan as outstanding until the term is over and the database
// server must have closed every session that a silent borrower left open. So the
// sessions open at the server never exceed its limit, even while a host is
// frozen, cut off or replaced.
//
// A permit is in use until Release, which the host calls when the server has
// closed its side or the slot's statement is known to have stopped. The server
// must close the sessions of a client that is silent for Config.ServerClose;
// the host configures this when it logs in (see database.ServerIdleTimeout).
//
// Limits given to Apply should be lower than the server's own by some margin. A
// refusal by the server then indicates sessions opened by other clients: the
// host releases the permit and retries later.
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
	// MaxDatabases bounds the databases of one Table, including those that are no
	// longer listed. Further databases get no permits.
	MaxDatabases = 16384
	// MaxWaiters bounds the requests that wait for one database's permits of
	// one kind. Further requests are refused.
	MaxWaiters = 512
	// MaxLoans bounds, for one database and kind, the loans that a host has given
	// and still tracks. The same bound applies to the loans that it holds or has
	// requested.
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

// marginDivisor sets the margin, one over marginDivisor of a loan's term, that
// a lender adds for clocks that run at different speeds.
const marginDivisor = 16

// Kind is the resource that a permit allows the host to use.
type Kind uint8

// The kinds.
const (
	Conns Kind = iota // one connection to the server
	Slots             // one statement running at the server
	numKinds
)

// Database is one database with its limits, which apply to the whole fleet.
type Database struct {
	ID    string
	Conns int
	Slots int
}

// Verdict is the answer to Acquire.
type Verdict uint8

// The verdicts.
const (
	Refused  Verdict = iota // no limit, past the deadline, too many waiters, or none is available while the host is leaving
	Admitted                // one permit is now in use
	Waiting                 // an Output admits or refuses it later
)

// Send is one message to another host.
type Send = standing.Send

// Close instructs the host to close sessions, idle ones first, and to free their
// permits with Release. Until then the host exceeds its capacity, or
// withholds permits that their lender has recalled.
type Close struct {
	Database string
	Kind     Kind
	Count    int
}

// Output is what the caller has to do: messages to send, waiting requests that
// are now admitted or refused, and sessions to close.
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

	LoanTerm    time.Duration // lifetime of a loan; the same on every host
	ServerClose time.Duration // within this time a server closes the sessions of a silent client
	// ColdWait is how long after a start of the whole fleet no shares are used.
	// The default suits processes that have exited, whose sessions the server
	// closes at once. After a loss of power on all hosts only ServerClose is long
	// enough.
	ColdWait    time.Duration
	AskTimeout  time.Duration // not used: rounds of loan requests are spaced by Pause alone
	Pause       time.Duration // between rounds of loan requests that were granted nothing
	IdleConns   time.Duration // loans of connection permits are returned after none was taken for this long
	IdleSlots   time.Duration // the same for slot permits
	ConfirmTerm time.Duration // see standing.Config.Term
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

// lenderTerm is how long a lender counts a loan as outstanding after it gave or
// renewed it.
func (c Config) lenderTerm() time.Duration {
	return c.LoanTerm + c.LoanTerm/marginDivisor + c.ServerClose
}

func (c Config) idle(k Kind) time.Duration {
	if k == Slots {
		return c.IdleSlots
	}
	return c.IdleConns
}

// Table holds one host's share of every database's permits. It is not safe for
// concurrent use: the host guards each Table by one mutex. At most
// MaxDatabases databases are held; others get no permits.
type Table struct {
	cfg           Config
	keeper        *standing.Keeper
	now           time.Time // latest time seen; time never goes back
	priorLoansEnd time.Time // when all loans given under an earlier roster have ended
	pools         map[poolKey]*pool
	order         []*pool // in the order in which Apply added them, for a stable order of output
	waiting       map[uint64]*pool
	requestCount  uint64 // loan requests sent
	confirmed     bool   // whether the shares were confirmed at the last updateShares
	usable        bool   // own shares may be used: the wait after the start is over
	leaving       bool
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
			Drain:    2 * cfg.lenderTerm(),
		}),
		pools:   map[poolKey]*pool{},
		waiting: map[uint64]*pool{},
	}
}

// resource names this package's shares in RosterAck messages.
const resource = "permits"

// Apply puts the roster and the databases of a snapshot into effect. A database
// that is not listed gets no new permits: its waiting requests are refused, and the
// host is told to close the sessions that exceed the loans held.
func (t *Table) Apply(roster contract.Roster, databases []Database, now time.Time) Output {
	var out Output
	now = t.tick(now, &out)
	first := t.keeper.Plan() == nil
	if t.keeper.Apply(roster, now) && !first {
		t.priorLoansEnd = now.Add(t.cfg.lenderTerm())
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
	t.updateShares(now, &out)
	t.pollRoster(now, &out)
	return out
}

// put adds a database's permits of one kind or updates their limit, and marks
// them as listed.
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

// Acquire takes one permit for the request id, refuses it, or lets it wait for
// a permit until the deadline. id must differ from those of other waiting
// requests.
func (t *Table) Acquire(id uint64, database string, kind Kind, deadline, now time.Time) (Verdict, Output) {
	var out Output
	now = t.tick(now, &out)
	p := t.pools[poolKey{database, kind}]
	if p == nil || p.limit == 0 || !now.Before(deadline) {
		return Refused, out
	}
	p.dropExpired(now)
	if len(p.waiters) == 0 && p.available() > 0 {
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

// Release frees a permit that was in use. The server must have closed its side
// of the connection, or the slot's statement must have stopped.
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

// Cancel removes a waiting request. A request that was already admitted keeps its
// permit until Release.
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

// Tick performs the work that is due: it admits and refuses waiting requests,
// borrows, renews and returns permits, and requests roster acknowledgements.
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
// Afterwards the host borrows nothing, lends its own permits on request, and
// returns loans as their permits are released.
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

// Capacity returns the number of permits that this host may use now, and how
// many are in use.
func (t *Table) Capacity(database string, kind Kind) (allowed, used int) {
	p := t.pools[poolKey{database, kind}]
	if p == nil {
		return 0, 0
	}
	return p.capacity(), p.used
}

// refuseAll refuses every waiting request of a pool.
func (t *Table) refuseAll(p *pool, out *Output) {
	for _, w := range p.waiters {
		delete(t.waiting, w.id)
		out.Refused = append(out.Refused, w.id)
	}
	p.waiters = nil
}

// soonest returns the earlier of two times, ignoring a zero one.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
