package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a database that is cold after a restart, under load from three data centres", func() {
	const (
		rate, overage, slack = 20.0, 1.5, 5
		loadFor              = 6 * time.Second
		settled              = 3 * time.Second // the demands have been exchanged by then
		deadline             = 2500 * time.Millisecond
		callersPerHost       = 12 // each sends its next statement once the last is answered
	)
	var (
		p     *fakePlatform
		hosts []*Gateway
	)

	BeforeEach(func() {
		p = newFakePlatform(newGroup("a", "b", "c"))
		hosts = nil
		centres := []string{"dc-a", "dc-b", "dc-c"}
		for i, centre := range centres {
			g := newTestGatewayWith(p, slog.New(slog.DiscardHandler), func(o *Options) {
				o.Name, o.DataCentre, o.Centres = fmt.Sprint("host-", i+1), centre, centres
				o.Access = "127.0.0.1:0"
				o.ColdOverage, o.ColdSlack = overage, slack
			})
			config := *g.config.Load().Configuration
			service := config.Services[testService]
			service.ColdRate, service.ColdStart = rate, time.Minute
			config.Services = map[string]routes.Service{testService: service}
			g.config.Store(&loadedConfiguration{Configuration: &config})
			g.cold.change(g.now(), func(l *cold.Limits) { l.SetServices(config.Services, g.now()) })
			Expect(g.listenAccess()).To(Succeed())
			for name := range config.Routes {
				g.updateRoute(name, func(r *routes.Route) { r.Timeout = deadline })
			}
			g.startWorker(g.peers.run)
			g.startWorker(g.tick)
			hosts = append(hosts, g)
		}
		Eventually(func() int { return hosts[0].peers.dataCentreCount() }).WithTimeout(5 * time.Second).Should(Equal(3))
	})

	// restart lists a database on all hosts as one that has started again.
	restart := func(id string) {
		for _, g := range hosts {
			g.mu.Lock()
			list := maps.Clone(g.databases)
			g.mu.Unlock()
			db := list[id]
			db.StartMillis, db.ColdFor = 2, time.Minute
			list[id] = db
			g.setDatabases(list)
		}
	}

	// load runs statements of one kind from all hosts, and returns how many were
	// answered and the errors of the others.
	load := func(route string, kind statement.Kind) (answered int64, refused map[errkind.Kind]int) {
		var n atomic.Int64
		var mu sync.Mutex
		refused = map[errkind.Kind]int{}
		ctx, cancel := context.WithTimeout(context.Background(), loadFor)
		defer cancel()
		var all sync.WaitGroup
		for _, g := range hosts {
			for range callersPerHost {
				s := newTestSession(g, route)
				all.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						a := s.serve(statement.Request{ID: fmt.Sprintf("%p-%d", s, i), Statement: statement.Statement{Kind: kind, Text: "text"}})
						if a.Err == nil {
							n.Add(1)
						} else {
							mu.Lock()
							refused[a.Err.Kind]++
							mu.Unlock()
						}
						time.Sleep(5 * time.Millisecond) // a caller's own work
					}
				})
			}
		}
		all.Wait()
		return n.Load(), refused
	}

	// requests returns the most requests that a database got in any second since a time,
	// and their total.
	requests := func(id string, since time.Time) (most, total int) {
		p.group.mu.Lock()
		defer p.group.mu.Unlock()
		db := p.group.databases[id]
		var at []time.Time
		for i, kind := range db.received {
			if !db.receivedAt[i].Before(since) && coldCost([]statement.Request{{Statement: statement.Statement{Kind: kind}}}) > 0 {
				at = append(at, db.receivedAt[i])
			}
		}
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		return most, len(at)
	}

	DescribeTable("gets at most the bound in any second, as the primary",
		func(route string, kind statement.Kind) {
			restart("a")
			since := time.Now()
			answered, refused := load(route, kind)
			most, total := requests("a", since)
			GinkgoWriter.Println("most", most, "total", total, "answered", answered, "refused", refused)
			Expect(most).To(BeNumerically("<=", int(rate*overage+slack)))
			Expect(answered).To(BeNumerically(">", 0))
			_, total = requests("a", since.Add(settled))
			GinkgoWriter.Println("once settled", total)
			Expect(total).To(BeNumerically(">=", 0.4*rate*(loadFor-settled).Seconds()))
			for kind := range refused {
				Expect(kind.Answer().Outcome).To(Equal(errkind.NotRun), kind.String())
			}
		},
		Entry("for writes", "own", statement.Write),
		Entry("for reads that need the primary", "current", statement.Read),
	)

	It("gets reads only where no other database can serve them", func() {
		restart("b")
		since := time.Now()
		answered, refused := load("own", statement.Read)
		most, total := requests("b", since)
		GinkgoWriter.Println("most", most, "total", total, "answered", answered, "refused", refused)
		Expect(most).To(BeNumerically("<=", int(rate*overage+slack)))
		Expect(refused).To(BeEmpty())
		Expect(answered).To(BeNumerically(">", 10*int(rate)*int(loadFor.Seconds())), "the others serve what they could before")
	})
})
