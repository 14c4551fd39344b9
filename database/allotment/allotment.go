// Package allotment divides a database's connections among data centres by demand, and
// chooses which customer's idle connection a full pool gives up.
//
// In each data centre one host, the home host, holds connections to a service's
// databases. Each home host has a standing share of them, the even share. It lends a part
// of it to the home hosts of data centres with more demand, in the announcements that home
// hosts exchange every round. The shares in force never sum to more than the limit:
// a loan lowers the lender's share before it is announced, and the borrower's use of it
// ends before the lender counts on the connections again.
//
// A borrower times a loan from when it sent the round that the lender's announcement
// echoes, so that no delay of messages prolongs it. A host that starts does not know what
// its predecessor lent: until those loans end, the shares exceed the limit by them, for
// which the database's own limit leaves a reserve. See docs/design/connections-by-demand.md.
package allotment

import (
	"maps"
	"slices"
	"time"
)

// Lifetimes of loans.
const (
	// LoanTerm is how long a borrower uses a loan after it sent the round that the loan
	// echoes. Two announcements each way may be lost meanwhile.
	LoanTerm = 4 * time.Second
	// closeAfter is how long a database keeps the connections of a host that died.
	closeAfter = 3 * time.Second
	// countedFor is how long after its announcement a lender counts a loan that the borrower
	// has not given back. A sixteenth of the term is for clocks of different speeds.
	countedFor = LoanTerm + LoanTerm/16 + closeAfter
)

// Holder is one tenure of a home host.
type Holder struct {
	Host   string
	Tenure uint64 // increases with each tenure of the host
}

// Heard is the newest round received from a data centre's home host.
type Heard struct {
	Holder
	Round uint64
}

// Announcement is what a home host tells the others in one round.
type Announcement struct {
	DataCentre string
	Heard                                // the sender and its round
	Echoes     map[string]Heard          // by data centre
	Demand     map[string]float64        // by database
	Lent       map[string]map[string]int // connections by data centre and database
}

// Table is a home host's view of the connections to one service's databases. It is not
// safe for concurrent use.
type Table struct {
	self   Holder
	centre string
	round  uint64
	sentAt map[uint64]time.Time // of this host's rounds in the last LoanTerm
	even   map[string]int       // standing share, by database
	inUse  map[string]int       // this host's connections that are not idle, by database
	demand map[string]float64   // this host's, by database
	peers  map[string]*peer     // by data centre
}

// peer is what the table knows of another data centre's home host.
type peer struct {
	holder   Holder
	round    uint64            // newest received
	heardAt  time.Time         // of that round
	retired  map[string]uint64 // newest tenure of hosts that other holders have followed
	demand   map[string]float64
	borrowed map[string]int // from this peer, by database
	until    time.Time      // end of the use of borrowed
	given    []loan         // to the present holder, oldest first
	former   [][]loan       // to each of its predecessors, counted to their end
	// knowsUs is whether it has echoed a round of this tenure. It then holds no loan of
	// this host's predecessors, and can be lent to.
	knowsUs bool
	// displacedSince is since when its echoes name another home host of this data centre;
	// zero if they do not.
	displacedSince time.Time
}

// loan is what a run of consecutive rounds lent to one data centre.
type loan struct {
	first  uint64 // round
	sentAt time.Time
	lent   map[string]int // by database
}

// New returns the table of a home host whose tenure starts. centres are all data
// centres of the site.
func New(centre string, self Holder, centres []string) *Table {
	t := &Table{self: self, centre: centre, sentAt: map[uint64]time.Time{}, even: map[string]int{}, peers: map[string]*peer{}}
	for _, name := range centres {
		if name != centre {
			t.peers[name] = &peer{retired: map[string]uint64{}}
		}
	}
	return t
}

// Renew returns the table of the home host's next tenure. Unlike a host that starts, it still
// counts what the host has lent.
func (t *Table) Renew(self Holder, centres []string) *Table {
	next := New(t.centre, self, centres)
	for name, p := range next.peers {
		if old := t.peers[name]; old != nil {
			p.former = append(slices.Clone(old.former), old.given)
		}
	}
	return next
}

// SetDatabases sets the standing share of each database's connections. It must be the same
// in all data centres.
func (t *Table) SetDatabases(even map[string]int) { t.even = even }

// SetInUse sets how many connections to each database are in use. They are not lent, since
// an open transaction keeps its connection for longer than an announcement is under way.
func (t *Table) SetInUse(inUse map[string]int) { t.inUse = inUse }

// leastKept is the least number of connections that a home host keeps: those that every
// host may hold.
const leastKept = 2

// Keep returns the part of a standing share that is never lent.
func Keep(even int) int { return min(even, max(leastKept, (even+2)/3)) }

// Share returns how many connections to a database this host may hold now.
func (t *Table) Share(id string, now time.Time) int {
	own := t.even[id]
	for _, p := range t.peers {
		own -= p.outstanding(id, now)
	}
	own = max(own, 0)
	for _, p := range t.peers {
		if now.Before(p.until) {
			own += p.borrowed[id]
		}
	}
	return own
}

// outstanding returns how many connections of this host's share the peer may hold.
func (p *peer) outstanding(id string, now time.Time) int {
	return maxLent(p.given, id, now) + p.formerLent(id, now)
}

// formerLent returns how many connections the peer's predecessors may hold. Each may hold
// its own loan, since a new one is lent what the former ones leave.
func (p *peer) formerLent(id string, now time.Time) int {
	n := 0
	for _, loans := range p.former {
		n += maxLent(loans, id, now)
	}
	return n
}

func maxLent(loans []loan, id string, now time.Time) int {
	n := 0
	for _, l := range loans {
		if now.Sub(l.sentAt) < countedFor {
			n = max(n, l.lent[id])
		}
	}
	return n
}

// Announce returns the announcement of a new round. It lends by the demands known now;
// the caller must apply the shares before it sends the announcement.
func (t *Table) Announce(demand map[string]float64, now time.Time) Announcement {
	t.demand = demand
	t.round++
	t.sentAt[t.round] = now
	maps.DeleteFunc(t.sentAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= LoanTerm })
	out := Announcement{
		DataCentre: t.centre, Heard: Heard{t.self, t.round},
		Echoes: map[string]Heard{}, Demand: maps.Clone(demand), Lent: map[string]map[string]int{},
	}
	lent := t.lend(now)
	for name, p := range t.peers {
		if p.round > 0 {
			out.Echoes[name] = Heard{p.holder, p.round}
		}
		p.expire(now)
		p.give(t.round, lent[name], now)
		if len(lent[name]) > 0 {
			out.Lent[name] = lent[name]
		}
	}
	return out
}

// give records what a round lends to the peer.
func (p *peer) give(round uint64, lent map[string]int, now time.Time) {
	if n := len(p.given); n > 0 && maps.Equal(p.given[n-1].lent, lent) {
		p.given[n-1].sentAt = now
		return
	}
	p.given = append(p.given, loan{first: round, sentAt: now, lent: lent})
}

func (p *peer) expire(now time.Time) {
	over := func(l loan) bool { return now.Sub(l.sentAt) >= countedFor }
	p.given = slices.DeleteFunc(p.given, over)
	for i := range p.former {
		p.former[i] = slices.DeleteFunc(p.former[i], over)
	}
	p.former = slices.DeleteFunc(p.former, func(loans []loan) bool { return len(loans) == 0 })
}

// Record applies an announcement of another data centre's home host. Announcements that
// are out of order, or of a home host that has been followed by another one, are ignored.
func (t *Table) Record(a Announcement, now time.Time) {
	p := t.peers[a.DataCentre]
	if p == nil || a.Tenure <= p.retired[a.Host] || a.Host == p.holder.Host && a.Tenure < p.holder.Tenure {
		return
	}
	switch {
	case a.Holder != p.holder:
		p.replaceHolder(a.Holder)
	case a.Round <= p.round:
		return
	}
	p.round, p.heardAt, p.demand = a.Round, now, a.Demand
	echo, echoed := a.Echoes[t.centre]
	if !echoed || echo.Holder != t.self {
		p.borrowed, p.until = nil, time.Time{}
		p.recordDisplaced(echoed, now)
		return
	}
	p.knowsUs, p.displacedSince = true, time.Time{}
	p.confirm(echo.Round)
	p.borrowed, p.until = a.Lent[t.centre], time.Time{}
	if sentAt, ok := t.sentAt[echo.Round]; ok {
		p.until = sentAt.Add(LoanTerm)
	}
}

// replaceHolder ends the loans of the peer's former holder. Those given to it are counted
// to their end, because its connections may still be open.
func (p *peer) replaceHolder(next Holder) {
	if p.round > 0 {
		p.retired[p.holder.Host] = p.holder.Tenure
	}
	p.former = append(p.former, p.given)
	p.given, p.knowsUs = nil, false
	p.holder, p.round = next, 0
}

// confirm drops the loans that ended when the peer applied the given round.
func (p *peer) confirm(round uint64) {
	for len(p.given) > 1 && p.given[1].first <= round {
		p.given = p.given[1:]
	}
}

func (p *peer) recordDisplaced(other bool, now time.Time) {
	switch {
	case !other:
		p.displacedSince = time.Time{}
	case p.displacedSince.IsZero():
		p.displacedSince = now
	}
}

// displacedAfter is how long another data centre must have named another home host of this
// one, in its announcements: longer than its answer to this host's first one is under way.
const displacedAfter = 3 * time.Second

// Displaced reports whether another data centre ignores this tenure because it has followed
// another home host of this data centre since. This host must start a new one.
func (t *Table) Displaced() bool {
	for _, p := range t.peers {
		if !p.displacedSince.IsZero() && p.heardAt.Sub(p.displacedSince) >= displacedAfter {
			return true
		}
	}
	return false
}
