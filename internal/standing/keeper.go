package standing

import (
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Timing and sizes of the exchange of acknowledgements.
const (
	firstPoll   = 20 * time.Millisecond  // interval at the start of a round, doubled after each pass
	slowestPoll = 500 * time.Millisecond // longest interval
	pollBatch   = 16                     // queries per poll
	rounds      = 2                      // complete rounds of acknowledgements before a share is raised
	// MaxIntermediate bounds the plans between the last raise of the share and the
	// newest plan. Beyond the bound the oldest of them is dropped and the share
	// is zero until it is raised, so that it cannot exceed the dropped plan's.
	MaxIntermediate = 8
	// MaxPending bounds the addresses whose acknowledgement is needed. Beyond the
	// bound the host's share is raised only by an answer from a settled host.
	MaxPending = 1024
)

// Send is one message to another host.
type Send struct {
	To  string
	Msg *peerpb.Envelope
}

// Keeper tracks the roster for one host and determines the host's shares. The
// host's share of a name is the lowest among the newest plan, the plan of the
// last raise and the plans in between. It is raised to that of the newest plan
// when every host of the old and the new plans has acknowledged the newest plan
// twice, or when a host that has completed this reports so. A new process starts
// with no share. A host that does not acknowledge keeps its share, and the share
// is not reassigned, unless so few other hosts can still confirm its roster that
// it must have stopped using the share by itself.
type Keeper struct {
	self     string
	resource string

	plan         *Plan
	base         *Plan   // plan at the last raise of the share; nil before the first and after expirePlans
	intermediate []*Plan // plans applied since, without the newest
	zeroShare    bool    // MaxIntermediate was exceeded: the share is zero until it is raised
	settled      bool    // the share is that of the newest plan
	cold         bool    // see Cold
	othersHeld   bool    // some host reported that it held a share, or expirePlans discarded this host's plans

	ackedRound    map[string]int // needed address -> last round that it acknowledged
	order         []string       // addresses of ackedRound, in polling order
	overflow      bool           // an address was left out because of MaxPending
	round         int
	roundID       uint64 // query id of the current round
	lastID        uint64
	pollInterval  time.Duration
	pollAt        time.Time // time of the next poll
	cursor        int       // index in order of the next host to query
	settledCursor int       // index in order of the last host that querySettled queried

	raisedAt    time.Time     // time of the last raise of the share
	term        time.Duration // of a confirmation
	drain       time.Duration // see Config.Drain
	confirm     confirmation
	formerPlans []*Plan              // plans that hosts which have not acknowledged may follow
	outvotedAt  map[string]time.Time // address -> since when outvoted has been true
}

// Config names a host and sets its timing.
type Config struct {
	Self     string        // own peer address
	Resource string        // kind of the shares, as named in the messages
	Seed     uint64        // start of the query ids; differs between runs of a process
	Term     time.Duration // how long a confirmation is valid; 0 means DefaultConfirmTerm
	// Drain is how long after a host stopped using a share the loans that it gave
	// from the share may still be in use.
	Drain time.Duration
}

// NewKeeper returns a keeper without a plan.
func NewKeeper(cfg Config) *Keeper {
	if cfg.Term == 0 {
		cfg.Term = DefaultConfirmTerm
	}
	return &Keeper{
		self:     cfg.Self,
		resource: cfg.Resource,
		lastID:   cfg.Seed,
		term:     cfg.Term,
		drain:    cfg.Drain,
	}
}

// Apply applies a roster if its version is higher than that of the newest plan,
// and reports whether it did. Shares that become smaller are in force when it
// returns.
func (k *Keeper) Apply(r contract.Roster, now time.Time) bool {
	if k.plan != nil && r.Version <= k.plan.Version {
		return false
	}
	k.expirePlans(now)
	k.retainPlan()
	k.plan = NewPlan(r)
	k.settled = false
	k.expectAcks()
	k.confirm.next = now
	k.confirm.failed = 0
	k.outvotedAt = map[string]time.Time{}
	k.round = 0
	k.startRound(now)
	return true
}

// retainPlan adds the plan that is about to be replaced to the intermediate plans,
// unless it is the plan of the last raise.
func (k *Keeper) retainPlan() {
	if k.plan == nil || k.plan == k.base {
		return
	}
	if len(k.intermediate) == MaxIntermediate {
		k.intermediate = k.intermediate[1:]
		k.zeroShare = true
	}
	k.intermediate = append(k.intermediate, k.plan)
}

// expectAcks builds the set of hosts whose acknowledgement is needed: the members
// of the newest plan, those of the earlier plans, and those already in the set. A
// host without a base plan also needs the hosts of former rosters.
func (k *Keeper) expectAcks() {
	if k.ackedRound == nil {
		k.ackedRound = map[string]int{}
	}
	for a := range k.ackedRound {
		k.ackedRound[a] = 0
	}
	k.formerPlans = slices.Clone(k.intermediate)
	if k.base != nil {
		k.formerPlans = append(k.formerPlans, k.base)
	}
	for _, p := range append([]*Plan{k.plan}, k.formerPlans...) {
		for _, a := range p.Members() {
			k.expectAck(a)
		}
	}
	if k.base == nil {
		for _, a := range k.plan.former {
			k.expectAck(a)
		}
	}
}

// expectAck adds address to the hosts whose acknowledgement is needed.
func (k *Keeper) expectAck(address string) {
	if _, ok := k.ackedRound[address]; ok || address == k.self {
		return
	}
	if len(k.ackedRound) >= MaxPending {
		k.overflow = true
		return
	}
	k.ackedRound[address] = 0
	k.order = append(k.order, address)
}

// startRound starts a round of queries with a new query id.
func (k *Keeper) startRound(now time.Time) {
	k.round++
	k.lastID++
	k.roundID = k.lastID
	k.pollInterval = firstPoll
	k.pollAt = now
	k.cursor = 0
}

// Fraction returns the fraction of name's amount that this host may use now. It
// changes when the plan changes, when the share is raised, and with Confirmed.
func (k *Keeper) Fraction(name string, now time.Time) float64 {
	return k.LowestShare(now, func(p *Plan) float64 { return p.Fraction(name, k.self) })
}

// LowestShare returns the lowest share among the plans that apply to this host
// now, 0 while it may use none. share returns the host's share in one plan.
func (k *Keeper) LowestShare(now time.Time, share func(*Plan) float64) float64 {
	if k.plan == nil || !k.Confirmed(now) {
		return 0
	}
	s := share(k.plan)
	if k.settled {
		return s
	}
	if k.base == nil || k.zeroShare {
		return 0
	}
	s = min(s, share(k.base))
	for _, p := range k.intermediate {
		s = min(s, share(p))
	}
	return s
}

// Cold reports whether this host first got its share when no host had held one
// before, as when the whole fleet starts.
func (k *Keeper) Cold() bool { return k.cold }

// Plan returns the newest plan, nil before the first.
func (k *Keeper) Plan() *Plan { return k.plan }

// Version returns the roster version of the newest plan, 0 before the first.
func (k *Keeper) Version() uint64 {
	if k.plan == nil {
		return 0
	}
	return k.plan.Version
}

// Settled reports whether this host's share is that of the newest plan.
func (k *Keeper) Settled() bool { return k.settled }

// Handle processes a query or an answer. It does not check the message's resource:
// the caller drops messages for other resources. ready is whether this host has
// nothing lent or in use beyond its share of the newest plan. Handle returns the
// messages to send and whether the share was raised.
func (k *Keeper) Handle(from string, m *peerpb.RosterAck, ready bool, now time.Time) ([]Send, bool) {
	k.expirePlans(now)
	if m.Query {
		return []Send{{from, k.answer(m, ready, now)}}, false
	}
	k.othersHeld = k.othersHeld || m.Held
	k.handleConfirm(from, m)
	if k.plan == nil || k.settled || m.RosterVersion != k.plan.Version || m.QueryId != k.roundID {
		return nil, false
	}
	if m.Settled {
		k.raise(now)
		return nil, true
	}
	for _, a := range m.Pending {
		k.expectAck(a)
	}
	if _, ok := k.ackedRound[from]; ok && m.Ready {
		k.ackedRound[from] = k.round
	}
	return nil, k.completeRound(ready, now)
}

// answer returns the answer to a query.
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

// departed returns the addresses whose acknowledgement is needed and that the
// newest plan does not name.
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

// completeRound ends the round if this host is ready, no address was left out
// because of MaxPending, and every host needed has acknowledged or its share has
// lapsed. It reports whether this raised the share, as the end of the last round
// does.
func (k *Keeper) completeRound(ready bool, now time.Time) bool {
	if !ready || k.overflow {
		return false
	}
	for a, r := range k.ackedRound {
		if r < k.round && !k.lapsed(a, now) {
			return false
		}
	}
	if k.round < rounds {
		k.startRound(now)
		return false
	}
	k.cold = k.base == nil && !k.othersHeld || k.cold
	k.raise(now)
	return true
}

// raise sets the share to that of the newest plan.
func (k *Keeper) raise(now time.Time) {
	k.raisedAt = now
	k.settled = true
	k.base = k.plan
	k.intermediate = nil
	k.zeroShare = false
	k.overflow = false
	k.ackedRound = nil
	k.order = nil
	k.formerPlans = nil
	k.outvotedAt = nil
}

// Tick returns the queries that are due. Those for acknowledgements start once
// this host is ready. Tick also reports whether the share was raised, which needs
// no message when this host is the only one.
func (k *Keeper) Tick(ready bool, now time.Time) ([]Send, bool) {
	if k.plan == nil {
		return nil, false
	}
	k.expirePlans(now)
	out := k.requestConfirmation(now)
	if k.settled || now.Before(k.pollAt) {
		return out, false
	}
	if !ready {
		k.pollAt = now.Add(firstPoll)
		return out, false
	}
	for range rounds {
		if k.completeRound(ready, now) {
			return out, true
		}
	}
	out = append(out, k.queries()...)
	out = append(out, k.querySettled()...)
	if k.cursor == 0 {
		k.pollInterval = min(2*k.pollInterval, slowestPoll)
	}
	k.pollAt = now.Add(k.pollInterval)
	return out, false
}

// queries returns queries to the next few hosts that have not acknowledged in
// this round.
func (k *Keeper) queries() []Send {
	var out []Send
	for ; k.cursor < len(k.order); k.cursor++ {
		a := k.order[k.cursor]
		if k.ackedRound[a] >= k.round {
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

// querySettled returns a query to one host that has acknowledged, in turn, to find
// out whether it has settled: it may know of hosts whose shares have lapsed.
func (k *Keeper) querySettled() []Send {
	for range k.order {
		k.settledCursor = (k.settledCursor + 1) % len(k.order)
		if a := k.order[k.settledCursor]; k.ackedRound[a] >= k.round {
			return []Send{k.query(a, k.roundID)}
		}
	}
	return nil
}

// query returns a message that asks a host which roster version it follows.
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
