package rate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/standing"
)

// Verdict is the answer to Acquire.
type Verdict uint8

// The verdicts.
const (
	Refused  Verdict = iota // over rate, past the deadline, or the table has no such customer
	Admitted                // may run now
	Waiting                 // an Output admits or refuses it later
)

// Send is one message to another host.
type Send = standing.Send

// Output is what the caller has to do: messages to send, and waiting requests
// that are now admitted or refused.
type Output struct {
	Send     []Send
	Admitted []uint64
	Refused  []uint64
}

// Table holds one host's share of every customer's bucket. It is not safe for
// concurrent use: the host guards each Table by one mutex. At most MaxCustomers
// customers are held; others are refused.
type Table struct {
	cfg           Config
	keeper        *standing.Keeper
	now           time.Time // latest time seen; time never goes back
	accrueFrom    time.Time // own shares accrue nothing before this time
	priorLoansEnd time.Time // when all loans from before the newest roster have expired
	accounts      map[string]*account
	active        []*account // accounts that need ticks
	waiting       map[uint64]*account
	unresponsive  map[string]time.Time // time until which an unresponsive peer is skipped, by address
	requestCount  uint64               // loan requests sent
	confirmed     bool                 // whether the shares were confirmed at the last updateShares
	leaving       bool
}

// New returns a table that holds nothing until Apply.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	from := cfg.Started.Add(lenderTerm(cfg.LoanTerm))
	return &Table{
		cfg:           cfg,
		keeper:        standing.NewKeeper(keeperConfig(cfg)),
		accrueFrom:    from,
		priorLoansEnd: from,
		accounts:      map[string]*account{},
		waiting:       map[uint64]*account{},
		unresponsive:  map[string]time.Time{},
	}
}

// keeperConfig returns the settings of the table's standing.Keeper. Its drain
// time lets a share pass to another host only when the loans given from it have
// expired.
func keeperConfig(cfg Config) standing.Config {
	return standing.Config{
		Self:     cfg.Self,
		Resource: resource,
		Seed:     xxhash.Sum64String(cfg.BootID),
		Term:     cfg.ConfirmTerm,
		Drain:    2 * lenderTerm(cfg.LoanTerm),
	}
}

// resource names this package's shares in RosterAck messages.
const resource = "rate"

// tick advances the table's time, never back, and updates the standing shares
// when their confirmation has lapsed or returned.
func (t *Table) tick(now time.Time) time.Time {
	t.now = later(t.now, now)
	if t.keeper.Confirmed(t.now) != t.confirmed {
		t.updateShares(t.now)
	}
	return t.now
}

// Apply puts the roster and customers of a snapshot into effect. A customer
// that is not listed is withdrawn: its waiting requests are refused and its held
// loans returned.
func (t *Table) Apply(roster contract.Roster, customers []contract.Customer, now time.Time) Output {
	now = t.tick(now)
	var out Output
	for _, a := range t.accounts {
		a.advance(now, t.accrueFrom)
	}
	first := t.keeper.Plan() == nil
	if t.keeper.Apply(roster, now) {
		if !first {
			t.priorLoansEnd = later(t.priorLoansEnd, now.Add(lenderTerm(t.cfg.LoanTerm)))
		}
		t.clearUnresponsive()
	}
	listed := make(map[string]bool, len(customers))
	for _, c := range customers {
		listed[c.ID] = t.put(c, now)
	}
	for id, a := range t.accounts {
		if !listed[id] {
			t.withdraw(a, now, &out)
		}
	}
	t.updateShares(now)
	t.pollRoster(now, &out)
	return out
}

// put adds or updates a customer and reports whether the table holds it.
func (t *Table) put(c contract.Customer, now time.Time) bool {
	a := t.accounts[c.ID]
	if a == nil {
		if len(t.accounts) >= MaxCustomers {
			return false
		}
		a = newAccount(c, now)
		t.accounts[c.ID] = a
	}
	a.removed = false
	a.rate, a.burst = max(0, c.Rate), max(0, c.Burst)
	return true
}

// withdraw empties an account and removes it once the loans given from it have
// expired.
func (t *Table) withdraw(a *account, now time.Time, out *Output) {
	a.removed = true
	a.setLimits(0, 0, 0)
	t.refuseAll(a, out)
	t.returnAll(a, out)
	a.loanRequests = nil
	if len(a.loans) == 0 {
		t.deactivate(a)
		delete(t.accounts, a.id)
		return
	}
	t.activate(a)
}

// updateShares sets every account's standing share from the roster.
func (t *Table) updateShares(now time.Time) {
	t.confirmed = t.keeper.Confirmed(now)
	plan := t.keeper.Plan()
	if plan == nil {
		return
	}
	for _, a := range t.accounts {
		if a.removed {
			continue
		}
		a.advance(now, t.accrueFrom)
		a.peers = without(plan.Holders(a.id, t.cfg.DataCentre), t.cfg.Self)
		a.setLimits(a.rate, a.burst, t.keeper.Fraction(a.id, now))
	}
}

// without returns list without s. It overwrites list.
func without(list []string, s string) []string {
	out := list[:0]
	for _, x := range list {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}

// Acquire admits one request of customer, refuses it, or lets it wait for a
// token until the deadline, at most Config.MaxWait. id must differ from those
// of other waiting requests.
func (t *Table) Acquire(id uint64, customer string, deadline, now time.Time) (Verdict, Output) {
	now = t.tick(now)
	var out Output
	a := t.accounts[customer]
	if a == nil || a.removed || !now.Before(deadline) {
		return Refused, out
	}
	a.advance(now, t.accrueFrom)
	a.demand.add(now)
	a.lastUsed = now
	if len(a.waiters) == 0 && a.spend() {
		t.returnSpent(a, &out)
		return Admitted, out
	}
	if !a.worthWaiting(t.cfg.MaxWait) {
		return Refused, out
	}
	until := earlier(deadline, now.Add(t.cfg.MaxWait))
	a.waiters = append(a.waiters, waiter{id, until})
	t.waiting[id] = a
	t.activate(a)
	t.serve(a, now, &out)
	if _, ok := t.waiting[id]; ok {
		return Waiting, out
	}
	return t.immediateVerdict(id, &out), out
}

// immediateVerdict returns the verdict on a waiter that was admitted or refused
// within Acquire, and removes it from the output.
func (t *Table) immediateVerdict(id uint64, out *Output) Verdict {
	for i, got := range out.Admitted {
		if got == id {
			out.Admitted = append(out.Admitted[:i], out.Admitted[i+1:]...)
			return Admitted
		}
	}
	for i, got := range out.Refused {
		if got == id {
			out.Refused = append(out.Refused[:i], out.Refused[i+1:]...)
			break
		}
	}
	return Refused
}

// Cancel removes a waiting request. It has no effect if none has that id.
func (t *Table) Cancel(id uint64) {
	a := t.waiting[id]
	if a == nil {
		return
	}
	delete(t.waiting, id)
	for i, w := range a.waiters {
		if w.id == id {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// Tick performs the work that is due: it admits and refuses waiting requests,
// requests loans, and returns those that are idle or about to expire.
func (t *Table) Tick(now time.Time) Output {
	now = t.tick(now)
	var out Output
	t.pollRoster(now, &out)
	for i := 0; i < len(t.active); {
		a := t.active[i]
		a.advance(now, t.accrueFrom)
		t.serve(a, now, &out)
		if t.idle(a) {
			t.deactivate(a)
			continue
		}
		i++
	}
	return out
}

// idle reports whether an account needs no further ticks, and removes it if it
// was withdrawn.
func (t *Table) idle(a *account) bool {
	if len(a.waiters) > 0 || len(a.held) > 0 || len(a.loanRequests) > 0 {
		return false
	}
	if !a.removed {
		return true
	}
	if len(a.loans) > 0 {
		return false
	}
	delete(t.accounts, a.id)
	return true
}

func (t *Table) activate(a *account) {
	if !a.active {
		a.active = true
		t.active = append(t.active, a)
	}
}

func (t *Table) deactivate(a *account) {
	if !a.active {
		return
	}
	a.active = false
	for i, x := range t.active {
		if x == a {
			t.active = append(t.active[:i], t.active[i+1:]...)
			return
		}
	}
}

// Next returns when the next Tick is useful, the zero time when none is.
func (t *Table) Next() time.Time {
	next := t.keeper.Next()
	for _, a := range t.active {
		next = soonest(next, t.due(a))
	}
	return next
}

// Leave refuses waiting requests and returns every loan that this host holds.
// Afterwards the host borrows nothing and lends all its tokens and its whole rate
// on request.
func (t *Table) Leave(now time.Time) Output {
	now = t.tick(now)
	var out Output
	t.leaving = true
	for _, a := range t.accounts {
		a.advance(now, t.accrueFrom)
		t.refuseAll(a, &out)
		t.returnAll(a, &out)
		a.loanRequests = nil
	}
	return out
}

// refuseAll refuses every waiting request of an account.
func (t *Table) refuseAll(a *account, out *Output) {
	for _, w := range a.waiters {
		delete(t.waiting, w.id)
		out.Refused = append(out.Refused, w.id)
	}
	a.waiters = nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// soonest returns the earlier of two times, ignoring a zero one.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	if b.IsZero() {
		return a
	}
	return earlier(a, b)
}
