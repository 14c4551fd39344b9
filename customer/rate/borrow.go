package rate

import (
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Sizes and timing of borrowing.
const (
	firstFanout       = 2           // peers queried in a first round
	maxFanout         = 8           // peers queried in any round
	unresponsivePause = time.Second // an unresponsive peer is skipped this long
	overRequest       = 2           // multiple of the need that one round requests
	rateAllowance     = 1.25        // multiple of the demand that is kept or requested
)

// round is the state of the rounds of loan requests to other hosts.
type round struct {
	next        time.Time // earliest start of the next round
	cursor      int       // index of the next peer to query
	fanout      int
	empty       int // peers in a row that lent nothing
	pause       time.Duration
	exhausted   bool      // every peer in turn lent nothing
	exhaustedAt time.Time // when exhausted was last set
}

// borrow starts a round of loan requests when the waiting requests need more
// tokens than are available, no answer to an earlier loan request is awaited and
// the next round is due. A leaving host starts none.
func (t *Table) borrow(a *account, now time.Time, out *Output) {
	if len(a.waiters) == 0 || t.leaving || len(a.peers) == 0 {
		return
	}
	if a.awaitedAnswers() > 0 || now.Before(a.round.next) {
		return
	}
	need := float64(len(a.waiters)) - a.available()
	if need <= 0 {
		return
	}
	n := a.round.nextFanout(len(a.peers), t.cfg)
	each := max(1, need*min(1, overRequest/float64(n)))
	for range n {
		if peer := t.nextPeer(a, now); peer != "" {
			t.requestLoan(a, peer, each, now, out)
		}
	}
	a.round.scheduleNext(now, t.cfg)
}

// nextFanout returns how many peers the next round queries and doubles the
// number for the round after, up to maxFanout. At the longest pause it starts
// again from firstFanout.
func (r *round) nextFanout(peers int, cfg Config) int {
	if r.fanout == 0 || r.pause >= cfg.MaxPause {
		r.fanout = firstFanout
	}
	n := min(r.fanout, peers)
	r.fanout = min(2*r.fanout, maxFanout)
	return n
}

// scheduleNext sets the earliest start of the next round: soon while peers
// lend, with exponential backoff once every peer in turn has lent nothing.
func (r *round) scheduleNext(now time.Time, cfg Config) {
	if r.exhausted {
		r.pause = min(max(2*r.pause, cfg.MinPause), cfg.MaxPause)
	}
	r.next = now.Add(max(r.pause, cfg.MinPause/8))
}

// nextPeer returns the next peer to query, in turn. It skips those that were
// unresponsive recently and returns "" when all were.
func (t *Table) nextPeer(a *account, now time.Time) string {
	for range a.peers {
		peer := a.peers[a.round.cursor%len(a.peers)]
		a.round.cursor = (a.round.cursor + 1) % len(a.peers)
		if now.Before(t.unresponsive[peer]) {
			a.round.recordNoLoan(len(a.peers), now)
			continue
		}
		return peer
	}
	return ""
}

// requestLoan sends one loan request, unless MaxBorrowed is reached.
func (t *Table) requestLoan(a *account, peer string, need float64, now time.Time, out *Output) {
	if len(a.held)+len(a.loanRequests) >= MaxBorrowed {
		return
	}
	a.demand.decay(now)
	t.requestCount++
	id := t.cfg.BootID + "-" + strconv.FormatUint(t.requestCount, 36)
	until := now.Add(t.cfg.LoanTerm)
	a.loanRequests = append(a.loanRequests, &loanRequest{to: peer, id: id, sent: now, until: until})
	req := &peerpb.TokenRequest{
		Customer:      a.id,
		RequestId:     id,
		Wanted:        need,
		WantedRate:    max(0, min(a.rate, a.demand.perSecond*rateAllowance)-a.totalRate()),
		Demand:        a.demand.perSecond,
		RosterVersion: t.keeper.Version(),
	}
	env := &peerpb.Envelope{Body: &peerpb.Envelope_TokenRequest{TokenRequest: req}}
	out.Send = append(out.Send, Send{To: peer, Msg: env})
}

// awaitedAnswers counts the loan requests whose answer is still expected.
func (a *account) awaitedAnswers() int {
	n := 0
	for _, r := range a.loanRequests {
		if !r.timedOut {
			n++
		}
	}
	return n
}

// timeOutRequests stops waiting for peers that have not answered within
// AskTimeout, and skips them for unresponsivePause.
func (t *Table) timeOutRequests(a *account, now time.Time) {
	for _, r := range a.loanRequests {
		if r.timedOut || now.Before(r.sent.Add(t.cfg.AskTimeout)) {
			continue
		}
		r.timedOut = true
		t.unresponsive[r.to] = now.Add(unresponsivePause)
		a.round.recordNoLoan(len(a.peers), now)
	}
}

// clearUnresponsive empties the set of unresponsive peers when the roster changes,
// which keeps the set within the roster's size.
func (t *Table) clearUnresponsive() {
	clear(t.unresponsive)
}

// recordLoan records that a peer lent at least one token or a rate: the next round
// may follow at once.
func (r *round) recordLoan() {
	r.next = time.Time{}
	r.empty = 0
	r.pause /= 4
	r.exhausted = false
}

// recordNoLoan records that a peer lent nothing, did not answer or was skipped.
// Once that holds for every peer in turn, rounds become rarer and, at the longest
// pause, smaller.
func (r *round) recordNoLoan(peers int, now time.Time) {
	r.empty++
	if r.empty < peers {
		return
	}
	r.exhausted = true
	r.exhaustedAt = now
	r.empty = peers
}
