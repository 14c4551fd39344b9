package rate

import (
	"strconv"
	"time"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// Sizes and timing of borrowing.
const (
	firstFanout   = 2           // peers asked in a first round
	maxFanout     = 8           // peers asked in any round
	silentPause   = time.Second // a silent peer is passed over this long
	overAsk       = 2           // times the need, asked for in one round
	rateAllowance = 1.25        // of demand, kept or asked for
)

// round is the state of asking other hosts in turn.
type round struct {
	next      time.Time // no round starts before
	cursor    int       // next holder to ask
	fanout    int
	empty     int // holders in a row that had nothing
	pause     time.Duration
	exhausted bool // a whole turn of the holders had nothing
	emptyAt   time.Time
}

// borrow starts a round of asking when requests wait and no answer is awaited.
func (t *Table) borrow(a *account, now time.Time, out *Output) {
	if len(a.waiters) == 0 || t.leaving || len(a.holders) == 0 {
		return
	}
	if a.awaited() > 0 || now.Before(a.round.next) {
		return
	}
	need := float64(len(a.waiters)) - a.available()
	if need <= 0 {
		return
	}
	n := a.round.width(len(a.holders), t.cfg)
	each := max(1, need*min(1, overAsk/float64(n)))
	for range n {
		if peer := t.nextPeer(a, now); peer != "" {
			t.ask(a, peer, each, now, out)
		}
	}
	a.round.rest(now, t.cfg)
}

// width returns how many peers the next round asks and widens the one after.
func (r *round) width(holders int, cfg Config) int {
	if r.fanout == 0 || r.pause >= cfg.MaxPause {
		r.fanout = firstFanout
	}
	n := min(r.fanout, holders)
	r.fanout = min(2*r.fanout, maxFanout)
	return n
}

// rest sets when the next round may start: soon while peers lend, after ever
// longer pauses while none does.
func (r *round) rest(now time.Time, cfg Config) {
	if r.exhausted {
		r.pause = min(max(2*r.pause, cfg.MinPause), cfg.MaxPause)
	}
	r.next = now.Add(max(r.pause, cfg.MinPause/8))
}

// nextPeer returns the next holder to ask, near ones first, passing over those
// that were silent lately; "" when all were.
func (t *Table) nextPeer(a *account, now time.Time) string {
	for range a.holders {
		peer := a.holders[a.round.cursor%len(a.holders)]
		a.round.cursor = (a.round.cursor + 1) % len(a.holders)
		if now.Before(t.silent[peer]) {
			a.round.miss(len(a.holders), now)
			continue
		}
		return peer
	}
	return ""
}

// ask sends one loan request.
func (t *Table) ask(a *account, peer string, need float64, now time.Time, out *Output) {
	if len(a.held)+len(a.asks) >= MaxBorrowed {
		return
	}
	a.demand.decay(now)
	t.asked++
	id := t.cfg.BootID + "-" + strconv.FormatUint(t.asked, 36)
	until := now.Add(t.cfg.LoanTerm)
	a.asks = append(a.asks, &ask{to: peer, id: id, sent: now, until: until})
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

// awaited counts the loan requests whose answer is still expected.
func (a *account) awaited() int {
	n := 0
	for _, k := range a.asks {
		if !k.passed {
			n++
		}
	}
	return n
}

// passSilent stops awaiting peers that have not answered in time.
func (t *Table) passSilent(a *account, now time.Time) {
	for _, k := range a.asks {
		if k.passed || now.Before(k.sent.Add(t.cfg.AskTimeout)) {
			continue
		}
		k.passed = true
		t.silent[k.to] = now.Add(silentPause)
		a.round.miss(len(a.holders), now)
	}
}

// forgetSilent drops the peers that the newest roster does not name, which
// keeps the set within the roster's size.
func (t *Table) forgetSilent() {
	clear(t.silent)
}

// hit notes a peer that lent something: the next round may follow at once.
func (r *round) hit() {
	r.next = time.Time{}
	r.empty = 0
	r.pause /= 4
	r.exhausted = false
}

// miss notes a peer that had nothing. After a whole turn of them rounds get
// narrow and rare.
func (r *round) miss(holders int, now time.Time) {
	r.empty++
	if r.empty < holders {
		return
	}
	r.exhausted = true
	r.emptyAt = now
	r.empty = holders
}
