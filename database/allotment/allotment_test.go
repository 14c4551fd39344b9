package allotment_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/allotment"
)

func TestAllotment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database/allotment")
}

const (
	database   = "db"
	even       = 12 // of 72 connections, half for home hosts of three data centres
	round      = 300 * time.Millisecond
	step       = 50 * time.Millisecond
	closeAfter = 3 * time.Second // a database keeps a dead host's connections for as long
)

var centres = []string{"a", "b", "c"}

// world is the home hosts of three data centres and the announcements under way.
type world struct {
	now    time.Time
	rand   *rand.Rand
	tables map[string]*allotment.Table
	tenure uint64
	since  map[string]time.Time // of the present tenures
	demand map[string]float64
	mail   []delivery
	cut    map[string]bool // data centres that exchange nothing
	lossy  bool            // announcements are lost, doubled and late
	dead   []remains
}

type delivery struct {
	at   time.Time
	from string
	to   string
	a    allotment.Announcement
}

// remains are the connections of a dead home host that the database keeps for a while.
type remains struct {
	n     int
	until time.Time
}

func newWorld(seed uint64) *world {
	w := &world{now: time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC), rand: rand.New(rand.NewPCG(seed, 1)),
		tables: map[string]*allotment.Table{}, since: map[string]time.Time{}, demand: map[string]float64{}, cut: map[string]bool{}}
	for _, c := range centres {
		w.start(c)
	}
	return w
}

// start replaces the home host of a data centre, which dies, by another one.
func (w *world) start(centre string) {
	if t := w.tables[centre]; t != nil {
		w.dead = append(w.dead, remains{t.Share(database, w.now), w.now.Add(closeAfter)})
	}
	w.tenure++
	w.since[centre] = w.now
	w.tables[centre] = allotment.New(centre, allotment.Holder{Host: fmt.Sprint(centre, w.tenure%2), Tenure: w.tenure}, centres)
	w.tables[centre].SetDatabases(map[string]int{database: even})
}

// run lets time pass and calls check in each step.
func (w *world) run(d time.Duration, check func()) {
	for passed := time.Duration(0); passed < d; passed += step {
		w.now = w.now.Add(step)
		if w.now.UnixMilli()%round.Milliseconds() == 0 {
			for _, c := range centres {
				w.announce(c, w.tables[c].Announce(map[string]float64{database: w.demand[c]}, w.now))
			}
		}
		w.deliver()
		check()
	}
}

// announce sends an announcement, which takes up to 0.9 s from home host to home host.
func (w *world) announce(from string, a allotment.Announcement) {
	for _, to := range centres {
		if to == from {
			continue
		}
		copies, slowest := 1, 900*time.Millisecond
		if w.lossy {
			copies = w.rand.IntN(3)
			if w.rand.IntN(5) == 0 {
				slowest = 5 * time.Second
			}
		}
		for range copies {
			w.mail = append(w.mail, delivery{w.now.Add(300*time.Millisecond + time.Duration(w.rand.Int64N(int64(slowest)))), from, to, a})
		}
	}
}

func (w *world) deliver() {
	var later []delivery
	for _, m := range w.mail {
		switch {
		case m.at.After(w.now):
			later = append(later, m)
		case !w.cut[m.from] && !w.cut[m.to]:
			w.tables[m.to].Record(m.a, w.now)
		}
	}
	w.mail = later
}

func (w *world) share(centre string) int { return w.tables[centre].Share(database, w.now) }

// held returns the shares in force, and the connections of dead hosts that are still open.
func (w *world) held() (shares, dead int) {
	for _, c := range centres {
		shares += w.share(c)
	}
	for _, r := range w.dead {
		if w.now.Before(r.until) {
			dead += r.n
		}
	}
	return shares, dead
}

var _ = Describe("the connections of a database", func() {
	It("are never exceeded while announcements are lost, doubled and late, data centres are cut off and home hosts change", func() {
		withLoans := 0
		for seed := range uint64(100) {
			w := newWorld(seed)
			w.lossy = true
			lent := false
			for range 30 {
				for _, c := range centres {
					w.demand[c] = float64(w.rand.IntN(3) * 15)
				}
				if w.rand.IntN(8) == 0 {
					c := centres[w.rand.IntN(3)]
					w.cut[c] = !w.cut[c]
				}
				if w.rand.IntN(8) == 0 {
					w.start(centres[w.rand.IntN(3)])
				}
				w.run(time.Second, func() {
					shares, dead := w.held()
					// Successors of dead hosts draw on the reserve while their predecessors' loans may last.
					reserve := 0
					for _, c := range centres {
						if w.now.Sub(w.since[c]) < allotment.LoanTerm+allotment.LoanTerm/16+closeAfter {
							reserve += even - allotment.Keep(even)
						}
					}
					Expect(shares).To(BeNumerically("<=", 3*even+reserve), "seed %d", seed)
					Expect(shares+dead).To(BeNumerically("<=", 6*even), "seed %d", seed)
					for _, c := range centres {
						lent = lent || w.share(c) > even
					}
				})
			}
			if lent {
				withLoans++
			}
		}
		Expect(withLoans).To(BeNumerically(">=", 75), "too few runs with loans: they show nothing")
	})

	It("follow waves of demand over three data centres, 15 s long and 0.55 of the mean high", func() {
		w := newWorld(1)
		steps, right := 0, 0
		for passed := time.Duration(0); passed < time.Minute; passed += round {
			least, most := "a", "a"
			for i, c := range centres {
				phase := passed.Seconds()/15 + float64(i)/3
				w.demand[c] = 30 * (1 + 0.55*math.Sin(2*math.Pi*phase))
				if w.demand[c] < w.demand[least] {
					least = c
				}
				if w.demand[c] > w.demand[most] {
					most = c
				}
			}
			w.run(round, func() {})
			if passed > 10*time.Second {
				steps++
				if w.share(most) > w.share(least) {
					right++
				}
			}
		}
		// A wave is 5 s at its height; messages and means may take 1.5 s of them.
		Expect(float64(right) / float64(steps)).To(BeNumerically(">=", 0.7))
	})

	It("go to the data centre that sends a replica its reads, and come back once it is cut off", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 31, "b": 1, "c": 1}
		w.run(5*time.Second, func() {})
		Expect(w.share("a")).To(BeNumerically(">=", 2*even-even/4))
		w.cut["a"] = true
		w.run(allotment.LoanTerm, func() {})
		Expect(w.share("a")).To(Equal(even))
		w.run(5*time.Second, func() {})
		Expect(w.share("b")).To(Equal(even))
	})

	It("leave room for those of the dead when all hosts are back at once, and are where the demand is 5 s later", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 31, "b": 1, "c": 1}
		w.run(5*time.Second, func() {})
		for _, c := range centres {
			w.start(c)
		}
		w.run(5*time.Second, func() {
			shares, dead := w.held()
			Expect(shares + dead).To(BeNumerically("<=", 6*even))
		})
		Expect(w.share("a")).To(BeNumerically(">=", 2*even-even/4))
	})

	It("that a home host borrowed are lent again only when the database has closed those of the dead host", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 31, "b": 1, "c": 1}
		w.run(5*time.Second, func() {})
		borrowed := w.share("a") - even
		Expect(borrowed).To(BeNumerically(">", 0))
		w.start("a")
		w.run(closeAfter-step, func() {
			shares, _ := w.held()
			Expect(shares + borrowed).To(BeNumerically("<=", 3*even))
		})
	})

	It("that a home host borrowed are not used by the lender while they may be open, if the borrower dies as its loan ends", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 31, "b": 1, "c": 1}
		w.run(5*time.Second, func() {})
		borrowed := w.share("a") - even
		w.cut["a"] = true
		w.demand = map[string]float64{"a": 31, "b": 31, "c": 31}
		for w.share("a") > even {
			w.run(step, func() {})
		}
		w.run(closeAfter-2*step, func() {
			Expect(w.share("b") + w.share("c") + even + borrowed).To(BeNumerically("<=", 3*even))
		})
	})

	It("are not lent again while two predecessors of a home host may hold theirs", func() {
		now := time.Unix(1_000_000, 0)
		lender := allotment.New("b", allotment.Holder{Host: "b0", Tenure: 1}, []string{"a", "b"})
		lender.SetDatabases(map[string]int{database: even})
		lent := 0
		for tenure, demand := range []float64{2, 31, 31} { // of three home hosts, each dead after one loan
			borrower := allotment.New("a", allotment.Holder{Host: fmt.Sprint("a", tenure), Tenure: uint64(tenure + 1)}, []string{"a", "b"})
			now = now.Add(round)
			borrower.Record(lender.Announce(map[string]float64{database: 1}, now), now)
			lender.Record(borrower.Announce(map[string]float64{database: demand}, now), now)
			lent += lender.Announce(map[string]float64{database: 1}, now).Lent["a"][database]
		}
		Expect(lent).To(And(BeNumerically(">", 0), BeNumerically("<=", even-allotment.Keep(even))))
		Expect(lender.Share(database, now)).To(Equal(even - lent))
	})

	It("of a small standing share are lent but for the two that every host may hold", func() {
		for share := 2; share <= 4; share++ {
			now := time.Unix(1_000_000, 0)
			lender := allotment.New("b", allotment.Holder{Host: "b0", Tenure: 1}, []string{"a", "b"})
			borrower := allotment.New("a", allotment.Holder{Host: "a0", Tenure: 1}, []string{"a", "b"})
			lender.SetDatabases(map[string]int{database: share})
			borrower.Record(lender.Announce(nil, now), now)
			lender.Record(borrower.Announce(map[string]float64{database: 31}, now), now)
			lender.Announce(nil, now)
			Expect(lender.Share(database, now)).To(Equal(2), "of %d", share)
		}
	})

	It("that are lent stay with the borrower while the lender's home host starts a new tenure", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 31, "b": 1, "c": 1}
		w.run(5*time.Second, func() {})
		held := w.share("b")
		Expect(held).To(BeNumerically("<", even))
		w.tables["b"] = w.tables["b"].Renew(allotment.Holder{Host: "b0", Tenure: 100}, centres)
		w.tables["b"].SetDatabases(map[string]int{database: even})
		Expect(w.share("b")).To(Equal(held))
		w.run(allotment.LoanTerm, func() {
			shares, _ := w.held()
			Expect(shares).To(BeNumerically("<=", 3*even))
		})
	})

	It("need no new tenure for one old announcement of a data centre that is cut off since", func() {
		now := time.Unix(1_000_000, 0)
		t := allotment.New("b", allotment.Holder{Host: "b1", Tenure: 2}, centres)
		a := allotment.Announcement{DataCentre: "a", Heard: allotment.Heard{Holder: allotment.Holder{Host: "a0", Tenure: 1}, Round: 1},
			Echoes: map[string]allotment.Heard{"b": {Holder: allotment.Holder{Host: "b0", Tenure: 1}, Round: 9}}}
		t.Record(a, now)
		now = now.Add(10 * time.Second)
		Expect(t.Displaced()).To(BeFalse())
		a.Round++
		t.Record(a, now)
		Expect(t.Displaced()).To(BeTrue(), "it ignores this tenure")
	})

	It("are not lent by an announcement that arrives after the loan has ended", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 31, "b": 1, "c": 1}
		w.run(5*time.Second, func() {})
		late := w.tables["b"].Announce(map[string]float64{database: 1}, w.now)
		w.cut["a"] = true
		w.run(6*time.Second, func() {})
		w.tables["a"].Record(late, w.now)
		w.run(allotment.LoanTerm, func() {
			shares, _ := w.held()
			Expect(shares).To(BeNumerically("<=", 3*even))
		})
	})

	It("are not lent by a late announcement of a home host that has been followed by another", func() {
		w := newWorld(1)
		w.demand = map[string]float64{"a": 1, "b": 31, "c": 1}
		w.run(5*time.Second, func() {})
		late := w.tables["a"].Announce(map[string]float64{database: 1}, w.now)
		Expect(late.Lent["b"][database]).To(BeNumerically(">", 0))
		w.start("a")
		w.run(2*time.Second, func() {})
		w.tables["b"].Record(late, w.now)
		shares, _ := w.held()
		Expect(shares).To(BeNumerically("<=", 3*even))
		Expect(w.share("b")).To(BeNumerically("<=", even+even-allotment.Keep(even)), "b is lent the connections of a twice, or by c alone")
	})
})

// dials replays check-outs of customers whose rates fall as 1/rank, on a full pool, and
// returns the share of them that opens a connection. choose returns the index of the
// idle connection that is given up.
func dials(connections, customers int, u *allotment.Usage, choose func(idle []string, now time.Time) int) float64 {
	r := rand.New(rand.NewPCG(1, 2))
	weights, sum := make([]float64, customers), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	now := time.Unix(1_000_000, 0)
	var idle []string
	opened, total := 0, 0
	for i := range 20_000 {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / 31))
		x, who := r.Float64()*sum, 0
		for ; x > weights[who] && who < customers-1; who++ {
			x -= weights[who]
		}
		customer := fmt.Sprint(who)
		u.CheckOut(customer, now)
		found := -1
		for j, c := range idle {
			if c == customer {
				found = j
			}
		}
		if found < 0 && len(idle) == connections {
			found = choose(idle, now)
		}
		if i >= 2000 {
			total++
			if found < 0 || idle[found] != customer {
				opened++
			}
		}
		if found >= 0 {
			idle = append(idle[:found:found], idle[found+1:]...)
		}
		u.CheckIn(20 * time.Millisecond)
		idle = append(idle, customer)
	}
	return float64(opened) / float64(total)
}

var _ = Describe("a pool of 75 customers whose rates fall as 1/rank, at 31 statements a second", func() {
	// A statement takes 20 ms and a new connection 12 ms of a slot: at most a quarter of the
	// statements' slot time may go to connections, and a fifth where there are more.
	DescribeTable("opens few connections", func(connections int, most float64) {
		u := allotment.NewUsage()
		byUse := dials(connections, 75, u, u.LeastUseful)
		byAge := dials(connections, 75, allotment.NewUsage(), func([]string, time.Time) int { return 0 })
		GinkgoWriter.Printf("%d connections: %.3f, by age %.3f\n", connections, byUse, byAge)
		Expect(byUse * 12 / 20).To(BeNumerically("<=", most))
		Expect(byAge * 12 / 20).To(BeNumerically(">", most))
	},
		Entry("with 12", 12, 0.25),
		Entry("with 20", 20, 0.20),
	)

	It("keeps connections of busy customers rather than two of one that needs one", func() {
		u := allotment.NewUsage()
		now := time.Unix(1_000_000, 0)
		for i := range 100 {
			now = now.Add(100 * time.Millisecond)
			u.CheckOut("busy", now)
			if i%10 == 0 {
				u.CheckOut("other", now)
			}
			u.CheckIn(10 * time.Millisecond)
		}
		Expect(u.LeastUseful([]string{"busy", "other", "busy"}, now)).To(Equal(0))
	})
})
