package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/customer/share"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "customer/share")
}

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

const customer = "shop"

// fleet is a set of hosts that exchange their demands every 300 ms.
type fleet struct {
	tables      []*share.Table
	partitioned map[int]bool // hosts that are partitioned from all others
	now         time.Time
	rand        *rand.Rand
}

func newFleet(hosts int, limit share.Limit) *fleet {
	f := &fleet{partitioned: map[int]bool{}, now: noon, rand: rand.New(rand.NewPCG(1, 2))}
	for range hosts {
		t := share.New(hosts)
		t.SetLimits(map[string]share.Limit{customer: limit}, f.now)
		f.tables = append(f.tables, t)
	}
	return f
}

// run requests operations from each host at its rate for d. It returns how many
// were requested and admitted.
func (f *fleet) run(perSecond []float64, d time.Duration) (requested, admitted int) {
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		f.now = f.now.Add(step)
		for i, t := range f.tables {
			if f.rand.Float64() >= perSecond[i]*step.Seconds() {
				continue
			}
			requested++
			if ok, wait := t.Admit(customer, f.now); ok {
				admitted++
			} else {
				Expect(wait).To(BeNumerically(">", 0))
			}
		}
		if passed%(300*time.Millisecond) == 0 {
			f.exchange()
		}
	}
	return requested, admitted
}

// exchange passes the demands of each host to all hosts that it reaches.
func (f *fleet) exchange() {
	for i, from := range f.tables {
		for j, to := range f.tables {
			if i != j && !f.partitioned[i] && !f.partitioned[j] {
				to.RecordDemands(fmt.Sprint(i), 1, from.Demands(f.now), f.now)
			}
		}
	}
}

// centres is a set of hosts in several data centres. Hosts of one data centre
// announce their demands to each other every 300 ms, each with a phase of its
// own. The first host of each data centre sends the sum to the first hosts of
// the others, which forward it in their next round.
type centres struct {
	fleet
	perCentre int
	phase     []time.Duration
	announced []share.Demands // last announcement of each host
	sums      []share.Demands // last announced sum of each data centre
}

func newCentres(count, perCentre int, limit share.Limit) *centres {
	c := &centres{fleet: *newFleet(count*perCentre, limit), perCentre: perCentre, sums: make([]share.Demands, count)}
	for range c.tables {
		c.phase = append(c.phase, time.Duration(c.rand.IntN(30))*10*time.Millisecond)
		c.announced = append(c.announced, nil)
	}
	return c
}

// offer requests operations at a total rate spread over all hosts. It returns
// how many were requested, and how many were admitted in each step of 10 ms.
func (c *centres) offer(perSecond float64, d time.Duration) (requested int, admitted []int) {
	const step, round = 10 * time.Millisecond, 300 * time.Millisecond
	each := perSecond / float64(len(c.tables)) * step.Seconds()
	for passed := time.Duration(0); passed < d; passed += step {
		c.now = c.now.Add(step)
		n := 0
		for i, t := range c.tables {
			if c.rand.Float64() < each {
				requested++
				if ok, _ := t.Admit(customer, c.now); ok {
					n++
				}
			}
			if c.phase[i] == passed%round {
				c.announce(i)
			}
		}
		admitted = append(admitted, n)
	}
	return requested, admitted
}

// announce sends one host's messages of one round.
func (c *centres) announce(i int) {
	own := i / c.perCentre
	first := own * c.perCentre
	c.announced[i] = c.tables[i].Demands(c.now)
	for j := first; j < first+c.perCentre; j++ {
		if j == i {
			continue
		}
		c.tables[j].RecordDemands(fmt.Sprint(i), 1, c.announced[i], c.now)
		for other, sum := range c.sums {
			if i == first && other != own && sum != nil {
				c.tables[j].RecordDemands(fmt.Sprint("centre ", other), c.perCentre, sum, c.now)
			}
		}
	}
	if i == first {
		c.announceSum(own)
	}
}

// announceSum sends the sum over a data centre's hosts to the first hosts of the
// other data centres.
func (c *centres) announceSum(own int) {
	first := own * c.perCentre
	sum := share.Demands{}
	for j := first; j < first+c.perCentre; j++ {
		sum[customer] += c.announced[j][customer]
	}
	c.sums[own] = sum
	for other := range c.sums {
		if other != own {
			c.tables[other*c.perCentre].RecordDemands(fmt.Sprint("centre ", own), c.perCentre, sum, c.now)
		}
	}
}

// maxAdmittedPerWindow returns the most operations admitted in any window of 5 s.
func maxAdmittedPerWindow(admitted []int) float64 {
	const window = 500 // steps of 10 ms
	sum, out := 0, 0
	for i, n := range admitted {
		sum += n
		if i >= window {
			sum -= admitted[i-window]
		}
		out = max(out, sum)
	}
	return float64(out)
}

func evenLoad(hosts int, perSecond float64) []float64 {
	out := make([]float64, hosts)
	for i := range out {
		out[i] = perSecond / float64(hosts)
	}
	return out
}

// allowed returns the platform's bound on the operations in a window of 5 s.
func allowed(l share.Limit) float64 { return (l.Rate*5+l.Burst)*1.1 + 20 }

var _ = Describe("a customer's rate over all hosts", func() {
	limit := share.Limit{Rate: 100, Burst: 100}

	It("refuses under 1 % of the requests below the limit, also when hosts are loaded unevenly", func() {
		f := newFleet(14, limit)
		uneven := evenLoad(14, 30)
		uneven[3] += 30
		f.run(uneven, 3*time.Second)
		requested, admitted := f.run(uneven, 20*time.Second)
		Expect(float64(requested-admitted) / float64(requested)).To(BeNumerically("<", 0.01))
	})

	It("keeps a customer that sends nine times its usual rate within the bound of every window", func() {
		f := newFleet(14, limit)
		f.run(evenLoad(14, 60), 3*time.Second)
		for range 4 {
			_, admitted := f.run(evenLoad(14, 540), 5*time.Second)
			Expect(float64(admitted)).To(BeNumerically("<=", allowed(limit)))
			Expect(float64(admitted)).To(BeNumerically(">=", 0.9*limit.Rate*5))
		}
	})

	It("keeps a customer within the bound while a third of the hosts are partitioned", func() {
		f := newFleet(14, limit)
		f.run(evenLoad(14, 540), 5*time.Second)
		for i := range 5 {
			f.partitioned[i] = true
		}
		_, admitted := f.run(evenLoad(14, 540), 5*time.Second)
		Expect(float64(admitted)).To(BeNumerically("<=", allowed(limit)))
	})

	It("applies a lowered limit within the next window", func() {
		f := newFleet(14, limit)
		f.run(evenLoad(14, 300), 3*time.Second)
		low := share.Limit{Rate: 20, Burst: 20}
		for _, t := range f.tables {
			t.SetLimits(map[string]share.Limit{customer: low}, f.now)
		}
		_, admitted := f.run(evenLoad(14, 300), 5*time.Second)
		Expect(float64(admitted)).To(BeNumerically("<=", allowed(low)))
	})

	DescribeTable("stays within the bound of every window when announcements between data centres are delayed",
		func(perCentre int, rate, loadBefore, loadAfter float64) {
			limit := share.Limit{Rate: rate, Burst: rate}
			c := newCentres(4, perCentre, limit)
			_, before := c.offer(loadBefore*rate, 6*time.Second)
			_, after := c.offer(loadAfter*rate, 12*time.Second)
			got := maxAdmittedPerWindow(append(before, after...))
			Expect(got).To(BeNumerically("<=", allowed(limit)))
		},
		Entry("a large customer that starts far above its rate", 8, 262.0, 2.1, 2.1),
		Entry("a large customer that starts far above its rate, few hosts", 3, 262.0, 2.1, 2.1),
		Entry("a large customer that rises to five times its rate", 8, 262.0, 0.6, 5.0),
		Entry("a medium customer that rises to five times its rate, few hosts", 3, 100.0, 0.6, 5.0),
		Entry("a small customer that rises to five times its rate", 8, 24.0, 0.6, 5.0),
		Entry("a very small customer that rises to five times its rate", 8, 10.0, 0.6, 5.0),
		Entry("a small customer that rises to five times its rate, few hosts", 3, 24.0, 0.6, 5.0),
	)

	DescribeTable("refuses few requests below the limit",
		func(perCentre int, rate, load, maxRefused float64) {
			c := newCentres(4, perCentre, share.Limit{Rate: rate, Burst: rate})
			c.offer(load*rate, 3*time.Second)
			requested, admitted := c.offer(load*rate, 40*time.Second)
			got := 0
			for _, n := range admitted {
				got += n
			}
			Expect(float64(requested-got) / float64(requested)).To(BeNumerically("<", maxRefused))
		},
		Entry("large customer, many hosts", 8, 262.0, 0.62, 0.01),
		Entry("small customer, many hosts", 8, 24.0, 0.62, 0.05),
		Entry("small customer, few hosts", 3, 24.0, 0.62, 0.03),
		Entry("large customer, few hosts", 3, 100.0, 0.62, 0.01),
	)

	It("counts hosts whose demand arrives as a sum like hosts that announce their own", func() {
		table := share.New(10)
		table.SetLimits(map[string]share.Limit{customer: limit}, noon)
		admitted := 0
		for i := range 1000 {
			now := noon.Add(time.Duration(i) * 10 * time.Millisecond)
			if i%30 == 0 {
				table.RecordDemands("far", 9, share.Demands{customer: 90}, now)
				table.Demands(now) // records the demand as announced
			}
			if ok, _ := table.Admit(customer, now); ok && i >= 500 {
				admitted++
			}
		}
		// Its demand is 100 of 190 operations per second, and the base demand adds
		// 2.5 for each host.
		Expect(float64(admitted)).To(BeNumerically("~", 5*limit.Rate*102.5/215, 30))
	})

	It("admits operations of customers without a limit", func() {
		t := share.New(3)
		ok, _ := t.Admit("nobody", noon)
		Expect(ok).To(BeTrue())
	})

	It("admits no more than the quota allows while hosts are cut off from each other and their callers' demand rises", func() {
		const hosts, cutOff = 18, 6
		limit := share.Limit{Rate: 230, Burst: 80}
		f := newFleet(hosts, limit)
		offer := make([]float64, hosts)
		for i := range offer {
			offer[i] = 60
			if i < cutOff {
				offer[i] = 0 // their callers are served by other hosts until the cut
			}
		}
		exchange := func() {
			for i, from := range f.tables {
				demands := from.Demands(f.now) // also where nobody receives it
				for j, to := range f.tables {
					if i != j && !f.partitioned[i] && !f.partitioned[j] {
						to.RecordDemands(fmt.Sprint(i), 1, demands, f.now)
					}
				}
			}
		}
		admitted := func(d time.Duration) (n int) {
			const step = 10 * time.Millisecond
			for passed := time.Duration(0); passed < d; passed += step {
				f.now = f.now.Add(step)
				for i, t := range f.tables {
					if f.rand.Float64() >= offer[i]*step.Seconds() {
						continue
					}
					if ok, _ := t.Admit(customer, f.now); ok {
						n++
					}
				}
				if passed%(300*time.Millisecond) == 0 {
					exchange()
				}
			}
			return n
		}
		admitted(10 * time.Second)
		for i := range cutOff {
			f.partitioned[i] = true
			offer[i] = 60
		}
		allowed := (limit.Rate*5+limit.Burst)*1.1 + 20
		for window := range 2 {
			Expect(admitted(5*time.Second)).To(BeNumerically("<=", allowed), fmt.Sprint("window ", window, " after the cut"))
		}
	})
})
