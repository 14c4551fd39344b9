package rate

import (
	"time"
)

// worthWaiting reports whether a further waiter is likely to get a token within
// wait. It is likely while other hosts may still have tokens. Once every peer
// in turn has lent nothing, the number of waiters is limited to the tokens that
// will accrue here or have accrued elsewhere since.
func (a *account) worthWaiting(wait time.Duration) bool {
	if len(a.waiters) >= MaxWaiters {
		return false
	}
	if !a.round.exhausted || len(a.waiters) == 0 {
		return true
	}
	here := a.available() + a.totalRate()*wait.Seconds()
	elsewhere := a.rate * a.at.Sub(a.round.exhaustedAt).Seconds()
	return float64(len(a.waiters)) < here+elsewhere
}

// serve admits and refuses waiting requests, returns loans and borrows, for one
// account that has been advanced to now.
func (t *Table) serve(a *account, now time.Time, out *Output) {
	t.admit(a, out)
	t.expireWaiters(a, now, out)
	t.timeOutRequests(a, now)
	t.returnDue(a, now, out)
	t.borrow(a, now, out)
}

// admit gives tokens to waiting requests, first come first served.
func (t *Table) admit(a *account, out *Output) {
	n := 0
	for n < len(a.waiters) && a.spend() {
		id := a.waiters[n].id
		delete(t.waiting, id)
		out.Admitted = append(out.Admitted, id)
		n++
	}
	if n == 0 {
		return
	}
	a.waiters = append(a.waiters[:0], a.waiters[n:]...)
	a.lastUsed = a.at
	t.returnSpent(a, out)
}

// expireWaiters refuses the requests whose waiting time is over.
func (t *Table) expireWaiters(a *account, now time.Time, out *Output) {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		delete(t.waiting, w.id)
		out.Refused = append(out.Refused, w.id)
	}
	a.waiters = kept
}

// due returns when an active account needs a tick.
func (t *Table) due(a *account) time.Time {
	var next time.Time
	for _, w := range a.waiters {
		next = soonest(next, w.until)
	}
	for _, h := range a.held {
		next = soonest(next, t.returnAt(a, h))
	}
	for _, r := range a.loanRequests {
		if r.timedOut {
			next = soonest(next, r.until)
			continue
		}
		next = soonest(next, r.sent.Add(t.cfg.AskTimeout))
	}
	if len(a.waiters) > 0 {
		next = soonest(next, a.nextTokenAt(t.accrueFrom))
		if a.awaitedAnswers() == 0 && !t.leaving && len(a.peers) > 0 {
			next = soonest(next, later(a.round.next, a.at))
		}
	}
	if a.removed {
		for _, l := range a.loans {
			next = soonest(next, l.until)
		}
	}
	return next
}

// nextTokenAt returns when one token will be available at the current rates,
// the zero time if never.
func (a *account) nextTokenAt(from time.Time) time.Time {
	rate := a.totalRate()
	if rate <= 0 {
		return time.Time{}
	}
	missing := max(0, 1-a.available())
	wait := time.Duration(missing / rate * float64(time.Second))
	return later(a.at, from).Add(max(wait, minTokenWait))
}

// minTokenWait is the shortest time between two ticks for an accruing account.
const minTokenWait = 100 * time.Microsecond
