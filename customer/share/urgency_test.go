package share_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/customer/share"
)

var urgencyStart = time.Unix(1_000_000, 0)

// flow is the operations of one class of a customer, at even distances.
type flow struct {
	urgency int
	perS    float64
}

// admitted is what became of a flow's operations.
type admitted struct {
	sent, ok int
	longest  time.Duration   // that an admitted operation waits for its token
	promised []time.Time     // at which refused callers were told to return
	waits    []time.Duration // until then
}

// playMix sends the flows to one host's table for 20 s and counts what is admitted in the
// last 15 s. ask calls a method of the table.
func playMix(flows []flow, ask func(urgency int, now time.Time) (bool, time.Duration)) []admitted {
	out := make([]admitted, len(flows))
	credit := make([]float64, len(flows))
	for ms := range 20_000 {
		now := urgencyStart.Add(time.Duration(ms) * time.Millisecond)
		for i, f := range flows {
			if credit[i] += f.perS / 1000; credit[i] < 1 {
				continue
			}
			credit[i]--
			ok, wait := ask(f.urgency, now)
			if ms < 5_000 {
				continue
			}
			out[i].sent++
			if ok {
				out[i].ok++
				out[i].longest = max(out[i].longest, wait)
			} else {
				out[i].promised = append(out[i].promised, now.Add(wait))
				out[i].waits = append(out[i].waits, wait)
			}
		}
	}
	return out
}

var _ = Describe("a customer at 7.5 times its usual, with operations of three classes", func() {
	// The customer's limit is 1.5 times its usual 10 operations a second on this host:
	// 1.35 of the most urgent class, 6.3 and 2.35 of the others. It sends 7.5 times as many.
	const (
		rate      = 15.0
		objective = 200 * time.Millisecond // of the most urgent class
		deadline  = 2 * time.Second
	)
	mix := []flow{{0, 7.5 * 1.35}, {1, 7.5 * 6.3}, {2, 7.5 * 2.35}}

	table := func() *share.Table {
		t := share.New(1)
		t.SetLimits(map[string]share.Limit{"c": {Rate: rate, Burst: 3}}, urgencyStart)
		return t
	}
	patience := []time.Duration{objective / 2, 200 * time.Millisecond, 750 * time.Millisecond} // half of each objective
	play := func() []admitted {
		t := table()
		return playMix(mix, func(k int, now time.Time) (bool, time.Duration) { return t.AdmitUrgency("c", k, patience[k], now) })
	}

	It("gets its most urgent operations served, well inside their objective", func() {
		urgent := play()[0]
		Expect(urgent.ok).To(BeNumerically(">=", urgent.sent*99/100))
		Expect(urgent.longest).To(BeNumerically("<=", objective/2))
	})

	It("keeps a part of its rate for each less urgent class, also when the most urgent one exceeds it", func() {
		t := table()
		got := playMix([]flow{{0, 4 * rate}, {1, 20}, {2, 20}}, func(k int, now time.Time) (bool, time.Duration) {
			return t.AdmitUrgency("c", k, patience[k], now)
		})
		for _, less := range got[1:] {
			Expect(less.ok).To(BeNumerically(">=", 15*rate*0.09))
		}
	})

	It("keeps that part also for a class whose objective is shorter than that of the most urgent one", func() {
		t := table()
		got := playMix([]flow{{0, 4 * rate}, {1, 20}}, func(k int, now time.Time) (bool, time.Duration) {
			return t.AdmitUrgency("c", k, []time.Duration{400 * time.Millisecond, 50 * time.Millisecond}[k], now)
		})
		Expect(got[1].ok).To(BeNumerically(">=", 15*rate*0.09))
		Expect(got[1].longest).To(BeNumerically("<=", 50*time.Millisecond))
	})

	It("never exceeds its rate, whichever class asks for more, and wastes none of it", func() {
		for _, flows := range [][]flow{mix, {{0, 4 * rate}}, {{2, 4 * rate}}} {
			t, total := table(), 0
			for _, f := range playMix(flows, func(k int, now time.Time) (bool, time.Duration) {
				return t.AdmitUrgency("c", k, patience[k], now)
			}) {
				total += f.ok
			}
			Expect(total).To(BeNumerically("~", 15*rate, 3+0.05*15*rate))
		}
	})

	It("tells no more callers to return at a time before their deadline than there are tokens", func() {
		for _, f := range play()[1:] {
			within := map[int64]int{}
			for i, at := range f.promised {
				if f.waits[i] < deadline {
					within[at.Unix()]++
				}
			}
			Expect(within).NotTo(BeEmpty())
			for _, n := range within {
				Expect(n).To(BeNumerically("<=", rate+1))
			}
		}
	})
})
