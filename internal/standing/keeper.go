package standing

import (
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Timing and sizes of the handshake.
const (
	firstPoll   = 20 * time.Millisecond // before an unanswered query is repeated
	slowestPoll = 500 * time.Millisecond
	pollBatch   = 16 // queries per poll
	rounds      = 2  // complete rounds of acknowledgements before a rise
	// MaxLows bounds the plans that wait for one rise. When it is reached, the
	// oldest low is merged away by keeping a share of zero until the rise.
	MaxLows = 8
	// MaxPending bounds the addresses that wait to acknowledge. When it is
	// reached the host does not rise until the next settled answer.
	MaxPending = 1024
)

// Send is one message to another host.
type Send struct {
	To  string
	Msg *peerpb.Envelope
}

// Keeper follows the roster for one host. A host's fraction of a name is the
// lowest of the plans it passed since its last rise; it rises to the newest
// plan when every host of the old and the new plan has acknowledged that plan
// twice, or when one host that has seen this says so. A host that started
// afresh rises from nothing. A host that does not acknowledge keeps its share
// and nobody rises on it, unless so few others can still confirm its roster that
// it must have stopped using the share by itself.
type Keeper struct {
	self     string
	resource string

	plan       *Plan
	base       *Plan   // plan of the last rise; nil before the first
	lows       []*Plan // plans passed since
	zero       bool    // lows overflowed: hold nothing until the rise
	settled    bool
	cold       bool
	othersHeld bool // some host said that it held a share

	need          map[string]int // address -> last round acknowledged
	order         []string       // addresses of need, in polling order
	overflow      bool
	round         int
	roundID       uint64 // query id of the current round
	nextID        uint64
	poll          time.Duration
	pollAt        time.Time
	cursor        int
	settledCursor int

	roseAt     time.Time
	term       time.Duration // of a confirmation
	drain      time.Duration // after which nothing of a lapsed share is in use
	confirm    confirmation
	former     []*Plan // plans that hosts which have not acknowledged may follow
	outvotedAt map[string]time.Time
}

// Config names a host and sets its timing.
type Config struct {
	Self     string        // own peer address
	Resource string        // whose shares; goes into the messages
	Seed     uint64        // of query ids; differs between runs of a process
	Term     time.Duration // of a confirmation; 0 means DefaultConfirmTerm
	// Drain is how long after a host stopped using a share something that it
	// gave to others may be in use.
	Drain time.Duration
}

// NewKeeper returns a keeper with no plan.
func NewKeeper(cfg Config) *Keeper {
	if cfg.Term == 0 {
		cfg.Term = DefaultConfirmTerm
	}
	return &Keeper{
		self:     cfg.Self,
		resource: cfg.Resource,
		nextID:   cfg.Seed,
		term:     cfg.Term,
		drain:    cfg.Drain,
	}
}

// Apply takes a roster with a higher version and reports whether it did. The
// fall is in force when it returns.
func (k *Keeper) Apply(r contract.Roster, now time.Time) bool {
	if k.plan != nil && r.Version <= k.plan.Version {
		return false
	}
	k.expire(now)
	k.pass()
	k.plan = NewPlan(r)
	k.settled = false
	k.expect()
	k.confirm.next = now
	k.confirm.failed = 0
	k.outvotedAt = map[string]time.Time{}
	k.round = 0
	k.startRound(now)
	return true
}

// pass keeps the plan that is being left as a low and its unresolved members
// as hosts to hear from.
func (k *Keeper) pass() {
	if k.plan == nil || k.plan == k.base {
		return
	}
	if len(k.lows) == MaxLows {
		k.lows = k.lows[1:]
		k.zero = true
	}
	k.lows = append(k.lows, k.plan)
}

// expect builds the set of hosts whose acknowledgement is needed.
func (k *Keeper) expect() {
	if k.need == nil {
		k.need = map[string]int{}
	}
	for a := range k.need {
		k.need[a] = 0
	}
	k.former = slices.Clone(k.lows)
	if k.base != nil {
		k.former = append(k.former, k.base)
	}
	for _, p := range append([]*Plan{k.plan}, k.former...) {
		for _, a := range p.Members() {
			k.await(a)
		}
	}
	if k.base == nil {
		for _, a := range k.plan.former {
			k.await(a)
		}
	}
}

// await adds address to the hosts whose acknowledgement is needed.
func (k *Keeper) await(address string) {
	if _, ok := k.need[address]; ok || address == k.self {
		return
	}
	if len(k.need) >= MaxPending {
		k.overflow = true
		return
	}
	k.need[address] = 0
	k.order = append(k.order, address)
}

func (k *Keeper) startRound(now time.Time) {
	k.round++
	k.nextID++
	k.roundID = k.nextID
	k.poll = firstPoll
	k.pollAt = now
	k.cursor = 0
}

// Fraction returns the part of name's amount that this host may use now. It
// changes when the plan does, when the share rises, and with Confirmed.
func (k *Keeper) Fraction(name string, now time.Time) float64 {
	return k.Least(now, func(p *Plan) float64 { return p.Fraction(name, k.self) })
}

// Least returns the lowest share among the plans that bind this host now, 0
// while it may use none. share returns the share in one plan.
func (k *Keeper) Least(now time.Time, share func(*Plan) float64) float64 {
	if k.plan == nil || !k.Confirmed(now) {
		return 0
	}
	s := share(k.plan)
	if k.settled {
		return s
	}
	if k.base == nil || k.zero {
		return 0
	}
	s = min(s, share(k.base))
	for _, low := range k.lows {
		s = min(s, share(low))
	}
	return s
}

// Cold reports whether this host's first rise came with that of all others: no
// host had a share before.
func (k *Keeper) Cold() bool { return k.cold }

// Plan returns the newest plan, nil before the first.
func (k *Keeper) Plan() *Plan { return k.plan }

// Version returns the roster version that the shares follow.
func (k *Keeper) Version() uint64 {
	if k.plan == nil {
		return 0
	}
	return k.plan.Version
}

// Settled reports whether this host's share is that of the newest plan.
func (k *Keeper) Settled() bool { return k.settled }

// Handle takes a query or an answer. ready says that this host has nothing
// lent or in use beyond its share of the newest plan. It reports whether the
// share rose.
func (k *Keeper) Handle(from string, m *peerpb.RosterAck, ready bool, now time.Time) ([]Send, bool) {
	k.expire(now)
	if m.Query {
		return []Send{{from, k.answer(m, ready, now)}}, false
	}
	k.othersHeld = k.othersHeld || m.Held
	k.handleConfirm(from, m)
	if k.plan == nil || k.settled || m.RosterVersion != k.plan.Version || m.QueryId != k.roundID {
		return nil, false
	}
	if m.Settled {
		k.rise(now)
		return nil, true
	}
	for _, a := range m.Pending {
		k.await(a)
	}
	if _, ok := k.need[from]; ok && m.Ready {
		k.need[from] = k.round
	}
	return nil, k.complete(ready, now)
}

func (k *Keeper) answer(m *peerpb.RosterAck, ready bool, now time.Time) *peerpb.Envelope {
	a := &peerpb.RosterAck{
		RosterVersion: k.Version(),
		Address:       k.self,
		QueryId:       m.QueryId,
		Resource:      k.resource,
		Ready:         ready,
		Held:          k.base != nil,
		Settled:       k.settled && k.Confirmed(now),
	}
	if !k.settled {
		a.Pending = k.departed()
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_RosterAck{RosterAck: a}}
}

// departed returns the awaited addresses that the newest plan does not name.
func (k *Keeper) departed() []string {
	if k.plan == nil {
		return nil
	}
	var out []string
	for _, a := range k.order {
		if k.plan.DataCentre(a) == "" {
			out = append(out, a)
		}
	}
	return out
}

// complete ends a round in which every awaited host has acknowledged.
func (k *Keeper) complete(ready bool, now time.Time) bool {
	if !ready || k.overflow {
		return false
	}
	for a, r := range k.need {
		if r < k.round && !k.lapsed(a, now) {
			return false
		}
	}
	if k.round < rounds {
		k.startRound(now)
		return false
	}
	k.cold = k.base == nil && !k.othersHeld || k.cold
	k.rise(now)
	return true
}

func (k *Keeper) rise(now time.Time) {
	k.roseAt = now
	k.settled = true
	k.base = k.plan
	k.lows = nil
	k.zero = false
	k.overflow = false
	k.need = nil
	k.order = nil
	k.former = nil
	k.outvotedAt = nil
}

// Tick sends the queries that are due. Those for a rise start once this host is
// ready. It reports whether the share rose, which happens without a message
// where this host is the only one.
func (k *Keeper) Tick(ready bool, now time.Time) ([]Send, bool) {
	if k.plan == nil {
		return nil, false
	}
	k.expire(now)
	out := k.askConfirm(now)
	if k.settled || now.Before(k.pollAt) {
		return out, false
	}
	if !ready {
		k.pollAt = now.Add(firstPoll)
		return out, false
	}
	for range rounds {
		if k.complete(ready, now) {
			return out, true
		}
	}
	out = append(out, k.queries()...)
	out = append(out, k.askSettled()...)
	if k.cursor == 0 {
		k.poll = min(2*k.poll, slowestPoll)
	}
	k.pollAt = now.Add(k.poll)
	return out, false
}

// queries asks the next few hosts that have not acknowledged in this round.
func (k *Keeper) queries() []Send {
	var out []Send
	for ; k.cursor < len(k.order); k.cursor++ {
		a := k.order[k.cursor]
		if k.need[a] >= k.round {
			continue
		}
		if len(out) == pollBatch {
			return out
		}
		out = append(out, k.query(a, k.roundID))
	}
	k.cursor = 0
	return out
}

// askSettled asks one host that has acknowledged, in turn, whether it has seen
// all others do so: it may know of hosts that lapsed.
func (k *Keeper) askSettled() []Send {
	for range k.order {
		k.settledCursor = (k.settledCursor + 1) % len(k.order)
		if a := k.order[k.settledCursor]; k.need[a] >= k.round {
			return []Send{k.query(a, k.roundID)}
		}
	}
	return nil
}

func (k *Keeper) query(to string, id uint64) Send {
	q := &peerpb.RosterAck{
		RosterVersion: k.plan.Version,
		Address:       k.self,
		QueryId:       id,
		Query:         true,
		Resource:      k.resource,
	}
	return Send{to, &peerpb.Envelope{Body: &peerpb.Envelope_RosterAck{RosterAck: q}}}
}

// Next returns when the next Tick is useful, the zero time when none is.
func (k *Keeper) Next() time.Time {
	if k.plan == nil {
		return time.Time{}
	}
	if k.settled || k.confirm.next.Before(k.pollAt) {
		return k.confirm.next
	}
	return k.pollAt
}
