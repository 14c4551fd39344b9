package cold_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/share"
	"github.com/bronzeloft/bronzeloft/database/cold"
)

func TestCold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database/cold")
}

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

const (
	database   = "a"
	centres    = 4
	perCentre  = 4
	hosts      = centres * perCentre
	senders    = 2 * centres // the home host of each data centre and the next one
	overage    = 1.5
	slack      = 5
	maxWaiting = 3 // requests of one host, each in a slot of the database
	step       = 10 * time.Millisecond
	round      = 300 * time.Millisecond
	coldFor    = time.Hour
	usedMoving = 0.3       // part of the rate that is used while all load moves on every 4 s
	crossDelay = 2 * round // of a data centre's sum, until the hosts of another one have it
)

// fleet is a set of hosts that send to one cold database. Host i is in data centre
// i / perCentre.
type fleet struct {
	limits  []*cold.Limits
	rate    float64
	now     time.Time
	rand    *rand.Rand
	phase   []time.Duration
	last    []share.Demands // last announcement of each host
	pending []announcement
	load    [hosts]float64   // requests per second
	waiting [hosts]int       // requests that wait for their turn
	next    [hosts]time.Time // when the first of them looks again
	down    [hosts]bool
	cut     [centres]bool // data centres that are cut off from the others
	sent    []int         // admitted in each step
}

type announcement struct {
	to, from int // hosts, or from -1 - data centre
	demands  share.Demands
	at       time.Time
}

func newFleet(rate float64) *fleet {
	f := &fleet{rate: rate, now: noon, rand: rand.New(rand.NewPCG(3, 4)), last: make([]share.Demands, hosts)}
	for range hosts {
		f.limits = append(f.limits, f.newHost())
		f.phase = append(f.phase, time.Duration(f.rand.IntN(int(round/step)))*step)
	}
	return f
}

func (f *fleet) newHost() *cold.Limits {
	l := cold.New(cold.Config{Overage: overage, Slack: slack}, senders)
	l.SetServices(map[string]routes.Service{"s": {Name: "s", ColdRate: f.rate}}, f.now)
	l.SetDatabases(map[string]routes.Database{database: {ID: database, Service: "s", ColdFor: coldFor}}, f.now)
	return l
}

// setLoad divides a load over the first two hosts of each data centre by weights.
func (f *fleet) setLoad(total float64, weights ...float64) {
	f.load = [hosts]float64{}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for c, w := range weights {
		f.load[c*perCentre] = 0.9 * total * w / sum
		f.load[c*perCentre+1] = 0.1 * total * w / sum
	}
}

// restart replaces a host's process by one that knows nothing of the others.
func (f *fleet) restart(i int) {
	f.limits[i], f.last[i], f.down[i], f.waiting[i] = f.newHost(), nil, false, 0
}

func (f *fleet) run(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += step {
		f.now = f.now.Add(step)
		n := 0
		for i := range f.limits {
			if f.down[i] {
				continue
			}
			if f.rand.Float64() < f.load[i]*step.Seconds() {
				f.waiting[i] = min(f.waiting[i]+1, maxWaiting)
			}
			n += f.send(i)
			if f.now.Sub(noon)%round == f.phase[i] {
				f.announce(i)
			}
		}
		f.deliver()
		f.sent = append(f.sent, n)
	}
}

// send admits what a host's waiting requests may send now. The first one looks again
// when it was told to, or after 100 ms.
func (f *fleet) send(i int) (n int) {
	for f.waiting[i] > 0 && !f.now.Before(f.next[i]) {
		ok, wait := f.limits[i].Admit(database, cold.Statement, f.now)
		if !ok {
			f.next[i] = f.now.Add(min(wait, 100*time.Millisecond))
			return n
		}
		f.waiting[i]--
		n++
	}
	return n
}

// announce sends a host's demand within its data centre, and the first host's sum to
// the others.
func (f *fleet) announce(i int) {
	own := i / perCentre
	f.last[i] = f.limits[i].Demands(f.now)
	sum := share.Demands{}
	for j := own * perCentre; j < (own+1)*perCentre; j++ {
		sum[database] += f.last[j][database]
		if j != i {
			f.pending = append(f.pending, announcement{j, i, f.last[i], f.now.Add(step)})
		}
	}
	for j := range hosts {
		if to := j / perCentre; i%perCentre == 0 && to != own && !f.cut[own] && !f.cut[to] {
			f.pending = append(f.pending, announcement{j, -1 - own, sum, f.now.Add(crossDelay)})
		}
	}
}

func (f *fleet) deliver() {
	var later []announcement
	for _, a := range f.pending {
		switch {
		case f.now.Before(a.at):
			later = append(later, a)
		case f.down[a.to]:
		case a.from < 0:
			f.limits[a.to].RecordDemands(fmt.Sprint(a.from), 2, a.demands, f.now)
		default:
			f.limits[a.to].RecordDemands(fmt.Sprint(a.from), min(1, len(a.demands)), a.demands, f.now)
		}
	}
	f.pending = later
}

// most returns the most requests in any second.
func (f *fleet) most() float64 {
	sum, out := 0, 0
	for i, n := range f.sent {
		sum += n
		if i >= int(time.Second/step) {
			sum -= f.sent[i-int(time.Second/step)]
		}
		out = max(out, sum)
	}
	return float64(out)
}

// perSecond returns the mean of requests in the last d.
func (f *fleet) perSecond(d time.Duration) float64 {
	n := 0
	for _, sent := range f.sent[len(f.sent)-int(d/step):] {
		n += sent
	}
	return float64(n) / d.Seconds()
}

var _ = Describe("requests to a cold database, over 16 hosts in 4 data centres", func() {
	DescribeTable("stay within the bound of every second, and use part of the rate",
		func(rate, load, used float64) {
			f := newFleet(rate)
			f.setLoad(load*rate, 1, 1, 1, 1)
			f.run(10 * time.Second)
			Expect(f.perSecond(5*time.Second)).To(BeNumerically(">=", used*rate), "even load")
			for i := range 12 { // the load moves between data centres
				weights := []float64{0, 0, 0, 0}
				weights[i%4], weights[(i+1)%4] = 8, 1
				f.setLoad(load*rate, weights...)
				f.run(4 * time.Second)
			}
			Expect(f.perSecond(48*time.Second)).To(BeNumerically(">=", usedMoving*rate), "moving load")
			f.setLoad(load*rate, 8, 1, 0, 0)
			f.run(10 * time.Second)
			Expect(f.perSecond(5*time.Second)).To(BeNumerically(">=", used*rate), "uneven load")
			for i := range 40 { // all load moves on faster than announcements
				weights := []float64{0, 0, 0, 0}
				weights[i%4] = 1
				f.setLoad(load*rate, weights...)
				f.run(time.Second)
			}
			bound := rate*overage + slack
			half := (bound - senders - rate) / 2 // of what rate and buckets leave, for cuts and restarts
			Expect(f.most()).To(BeNumerically("<=", bound-half), "while all hosts hear each other")
			f.setLoad(load*rate, 4, 1, 1, 1)
			f.cut[0] = true
			f.run(2 * time.Second)
			f.setLoad(load*rate, 1, 4, 4, 4) // callers of the others return while it is cut off
			f.run(10 * time.Second)
			f.cut[0] = false
			f.run(3 * time.Second)
			f.down[4], f.down[8] = true, true // two home hosts leave, and others take their load
			f.load[6], f.load[10] = f.load[4], f.load[8]
			f.run(8 * time.Second)
			f.restart(4)
			f.restart(8)
			f.load[6], f.load[10] = 0, 0
			f.run(8 * time.Second)
			for i := range hosts {
				f.restart(i)
			}
			f.run(8 * time.Second)
			Expect(f.most()).To(BeNumerically("<=", bound))
		},
		Entry("20 a second, asked for 5 times that", 20.0, 5.0, 0.7),
		Entry("20 a second, asked for 1.2 times that", 20.0, 1.2, 0.5),
		Entry("60 a second, asked for 10 times that", 60.0, 10.0, 0.7),
		Entry("10 a second, asked for 5 times that", 10.0, 5.0, 0.7),
	)
})

var _ = Describe("the time for which a database is cold", func() {
	var l *cold.Limits
	entry := routes.Database{ID: database, Service: "s", StartMillis: 1, ColdFor: 10 * time.Second}
	list := func(db routes.Database, now time.Time) {
		l.SetDatabases(map[string]routes.Database{database: db}, now)
	}

	BeforeEach(func() {
		l = cold.New(cold.Config{Overage: overage, Slack: slack}, senders)
		l.SetServices(map[string]routes.Service{"s": {Name: "s", ColdRate: 5, ColdStart: 10 * time.Second}}, noon)
	})

	It("counts down from when its entry was learned, and is renewed by a restart only", func() {
		list(entry, noon)
		list(entry, noon.Add(6*time.Second))
		Expect(l.Cold(database, noon.Add(9*time.Second))).To(BeTrue())
		Expect(l.Cold(database, noon.Add(10*time.Second))).To(BeFalse())
		restarted := entry
		restarted.StartMillis = 2
		list(restarted, noon.Add(11*time.Second))
		Expect(l.Cold(database, noon.Add(20*time.Second))).To(BeTrue())
	})

	It("begins when nothing listens at its address, until its entry changes", func() {
		warm := entry
		warm.ColdFor = 0
		list(warm, noon)
		l.Presume(database, noon)
		Expect(l.Cold(database, noon.Add(time.Second))).To(BeTrue())
		warm.Leaving = true
		list(warm, noon.Add(time.Second))
		Expect(l.Cold(database, noon.Add(time.Second))).To(BeFalse())
	})

	It("announces requests that could not wait as demand", func() {
		list(entry, noon)
		Expect(l.Demands(noon)).To(BeEmpty())
		l.Want(database, 2, noon)
		Expect(l.Demands(noon)).To(HaveKeyWithValue(database, BeNumerically(">", 0)))
	})

	It("does not matter where the configuration names no rate", func() {
		l.SetServices(map[string]routes.Service{"s": {Name: "s"}}, noon)
		list(entry, noon)
		l.Presume(database, noon)
		for range 100 {
			ok, _ := l.Admit(database, cold.Statement, noon)
			Expect(ok).To(BeTrue())
		}
	})

	DescribeTable("leaves a part of the requests to samples that wait, and no more of them", func(rate, part float64) {
		l.SetServices(map[string]routes.Service{"s": {Name: "s", ColdRate: rate}}, noon)
		entry := entry
		entry.ColdFor = time.Hour
		list(entry, noon)
		l.SetHosts(1, noon) // it sends all that is allowed
		samples := 0
		for n, now := 0, noon; n < 50; now = now.Add(step) {
			for _, class := range []cold.Class{cold.Statement, cold.Sample} {
				if ok, _ := l.Admit(database, class, now); ok {
					n++
					if class == cold.Sample {
						samples++
					}
				}
			}
		}
		Expect(samples).To(BeNumerically("~", 50*part, 2))
	},
		Entry("every fifth, which comes within a second", 5.0, 0.2),
		Entry("every second one, if less than one a second is sent", 0.5, 0.5),
	)
})
