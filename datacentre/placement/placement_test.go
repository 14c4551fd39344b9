package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/datacentre/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "datacentre/placement")
}

const (
	round    = 300 * time.Millisecond
	tick     = 10 * time.Millisecond
	services = 20
)

// node is one host of the model.
type node struct {
	placement.Host
	table    *placement.Table
	up       bool
	sends    bool // false while it is frozen or cut off
	started  time.Time
	phase    time.Duration // of its rounds
	sent     int           // messages since the last reset
	received int
}

// fleet is the hosts of one data centre, which exchange messages as the tables say.
type fleet struct {
	now   time.Time
	rand  *rand.Rand
	nodes []*node
	loss  float64 // share of the messages that are lost

	known map[string][]string // results of homes by serving hosts
}

func newFleet(large, small int) *fleet {
	f := &fleet{now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(7, 11)), known: map[string][]string{}}
	for i := range large + small {
		capacity := 0.192
		if i < large {
			capacity = 0.8
		}
		f.add(fmt.Sprintf("host-%d", i), capacity)
	}
	return f
}

// add starts a host. It and the running hosts know each other from the store.
func (f *fleet) add(name string, capacity float64) *node {
	n := &node{Host: placement.Host{Name: name, Capacity: capacity}}
	f.nodes = append(f.nodes, n)
	f.start(n)
	return n
}

func (f *fleet) start(n *node) {
	n.table = placement.New(n.Host, round, f.now)
	n.up, n.sends, n.started, n.phase = true, true, f.now, time.Duration(f.rand.Int64N(int64(round/tick)))*tick
	for _, other := range f.nodes {
		if other != n {
			n.table.RecordListed(other.Host)
			other.table.RecordListed(n.Host)
		}
	}
}

func (f *fleet) live() (out []*node) {
	for _, n := range f.nodes {
		if n.up && n.sends {
			out = append(out, n)
		}
	}
	return out
}

// send sends one host's messages of a round.
func (f *fleet) send(n *node) {
	serving := n.table.Serving(services, f.now)
	serves := slices.Contains(serving, n.Name)
	var report []placement.Host
	live := 0
	if i := slices.Index(serving, n.Name); i >= 0 && i < 2 {
		report, live = n.table.Report(services, f.now)
	}
	for _, to := range f.nodes {
		if to == n || !n.table.SendDue(to.Name, serving, f.now) {
			continue
		}
		n.sent++
		if !to.up || !to.sends || f.rand.Float64() < f.loss {
			continue
		}
		to.received++
		to.table.RecordMessage(n.Host, serves, false, f.now)
		if report != nil {
			to.table.RecordReport(report, live, f.now)
		}
	}
}

// run runs the fleet for d and returns the time from its start until the hosts agreed
// on every home host for good, or d if they did not.
func (f *fleet) run(d time.Duration) (converged time.Duration) {
	end := f.now.Add(d)
	from := f.now
	agreedSince := from
	for f.now.Before(end) {
		f.now = f.now.Add(tick)
		for _, n := range f.live() {
			if f.now.Sub(n.started)%round == n.phase {
				f.send(n)
			}
		}
		if f.now.Sub(from)%(50*time.Millisecond) == 0 && f.disagreeing() > 0 {
			agreedSince = f.now
		}
	}
	return agreedSince.Sub(from)
}

// homes returns the home host of each service as a host sees it.
func (f *fleet) homes(n *node) (out []string) {
	serving := n.table.Serving(services, f.now)
	key := strings.Join(serving, " ")
	if known, ok := f.known[key]; ok {
		return known
	}
	defer func() { f.known[key] = out }()
	var hosts []placement.Host
	for _, name := range serving {
		hosts = append(hosts, f.node(name).Host)
	}
	for s := range services {
		placement.Rank(fmt.Sprint("home/", s), hosts)
		out = append(out, hosts[0].Name)
	}
	return out
}

// disagreeing returns the number of pairs of a live host and a service for which the
// host's home differs from the first live host's, or does not run.
func (f *fleet) disagreeing() (n int) {
	live := f.live()
	up := map[string]bool{}
	for _, node := range live {
		up[node.Name] = true
	}
	want := f.homes(live[0])
	for _, node := range live {
		homes := f.homes(node)
		for s, home := range homes {
			if home != want[s] || !up[home] {
				n++
			}
		}
	}
	return n
}

func (f *fleet) resetCounts() {
	for _, n := range f.nodes {
		n.sent, n.received = 0, 0
	}
}

// plainRates returns the greatest numbers of messages that a host which does not
// serve has sent and received a second.
func (f *fleet) plainRates(d time.Duration) (sent, received float64) {
	serving := f.live()[0].table.Serving(services, f.now)
	for _, n := range f.live() {
		if !slices.Contains(serving, n.Name) {
			sent = max(sent, float64(n.sent)/d.Seconds())
			received = max(received, float64(n.received)/d.Seconds())
		}
	}
	return sent, received
}

// killServing ends the first n serving hosts.
func (f *fleet) killServing(n int) {
	for _, name := range f.live()[0].table.Serving(services, f.now)[:n] {
		f.node(name).up = false
	}
}

func (f *fleet) node(name string) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.Name == name })]
}

var _ = Describe("the hosts of a data centre", func() {
	It("agree on the home hosts soon after each change, with a number of messages a host that does not grow with the hosts", func() {
		GinkgoWriter.Println("| Hosts | Sent, plain host, a second | Received | Start | One serving host lost | Three of four | Half of all hosts | A large host joins | A serving host frozen |")
		var received []float64
		for _, hosts := range []int{14, 50, 200} {
			f := newFleet(3, hosts-3)
			f.loss = 0.01
			started := f.run(6 * time.Second)
			f.resetCounts()
			f.run(12 * time.Second)
			sent, got := f.plainRates(12 * time.Second)
			received = append(received, got)
			f.killServing(1)
			one := f.run(8 * time.Second)
			f.killServing(3)
			three := f.run(10 * time.Second)
			for i, n := range f.nodes {
				n.up = n.up && i%2 == 0
			}
			half := f.run(10 * time.Second)
			f.add("large", 0.8)
			joined := f.run(8 * time.Second)
			frozen := f.node(f.live()[0].table.Serving(services, f.now)[0])
			frozen.sends = false
			freeze := f.run(6 * time.Second)
			frozen.sends = true
			thawed := f.run(6 * time.Second)
			GinkgoWriter.Printf("| %d | %.1f | %.1f | %v | %v | %v | %v | %v | %v, back %v |\n", hosts, sent, got, started, one, three, half, joined, freeze, thawed)
			Expect(started).To(BeNumerically("<", 3*time.Second))
			Expect(one).To(BeNumerically("<", 2500*time.Millisecond))
			Expect(three).To(BeNumerically("<", 6*time.Second))
			Expect(half).To(BeNumerically("<", 6*time.Second))
			Expect(joined).To(BeNumerically("<", 2*time.Second))
			Expect(freeze).To(BeNumerically("<", 2500*time.Millisecond))
			Expect(thawed).To(BeNumerically("<", 2*time.Second))
		}
		Expect(received[2]).To(BeNumerically("<", received[1]*1.2), "flat from 50 to 200 hosts")
	})

	It("are all serving if they are few", func() {
		f := newFleet(0, 7)
		f.run(5 * time.Second)
		Expect(f.nodes[0].table.Serving(services, f.now)).To(HaveLen(7))
	})

	It("prefer hosts with more processor time", func() {
		f := newFleet(3, 47)
		f.run(5 * time.Second)
		Expect(f.nodes[9].table.Serving(services, f.now)[:3]).To(ConsistOf("host-0", "host-1", "host-2"))
	})

	It("do not count a host that only the store still names", func() {
		f := newFleet(3, 12)
		f.add("gone", 100).up = false
		f.run(6 * time.Second)
		Expect(f.nodes[5].table.Serving(services, f.now)).NotTo(ContainElement("gone"))
	})

	It("take a host out as soon as it says that it is leaving", func() {
		f := newFleet(3, 12)
		f.run(5 * time.Second)
		t := f.nodes[5].table
		t.RecordMessage(f.nodes[0].Host, true, true, f.now)
		Expect(t.Serving(services, f.now)).NotTo(ContainElement("host-0"))
		f.nodes[5].table.SetLeaving()
		Expect(t.Serving(services, f.now)).NotTo(ContainElement("host-5"))
	})

	It("bound the capacity that a host may claim", func() {
		hosts := []placement.Host{{Name: "a", Capacity: 1e300}, {Name: "b", Capacity: 256}, {Name: "c", Capacity: -1}}
		other := []placement.Host{{Name: "a", Capacity: 256}, {Name: "b", Capacity: 256}, {Name: "c", Capacity: 1}}
		placement.RankServing(hosts)
		placement.RankServing(other)
		for i := range hosts {
			Expect(hosts[i].Name).To(Equal(other[i].Name))
		}
	})
})
