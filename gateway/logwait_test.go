package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against statements that are held until their deadlines although the service cannot
// have a primary before a database returns whose log may hold acknowledged commits.
var _ = Describe("a service that waits for the log of a database", func() {
	const atOnce = 200 * time.Millisecond // a quarter of the routes' timeout
	var (
		dbs *group
		p   *fakePlatform
		out *lineBuffer
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		out = &lineBuffer{}
		g = newLoggingTestGateway(p, slog.New(slog.NewJSONHandler(out, nil)))
		svc = g.service(testService)
		g.updateRoute("bounded", func(r *routes.Route) { r.MaxAge = time.Hour })
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now().Add(-2*time.Minute))
	})

	takeAway := func(ids ...string) {
		dbs.withLock(func() {
			for _, id := range ids {
				dbs.databases[id].unresponsive = true
			}
		})
		svc.mu.Lock()
		defer svc.mu.Unlock()
		for _, id := range ids {
			for range 3 {
				svc.table.RecordFailure(id, time.Now().Add(-time.Minute), true)
			}
		}
	}
	bringBack := func(ids ...string) {
		dbs.withLock(func() {
			for _, id := range ids {
				dbs.databases[id].unresponsive = false
			}
		})
	}
	serve := func(route string, kind statement.Kind) (*errkind.Error, time.Duration) {
		began := time.Now()
		err := newTestSession(g, route).serve(request(kind)).Err
		return err, time.Since(began)
	}
	expectRefusedAtOnce := func(awaited string) {
		GinkgoHelper()
		for route, kind := range map[string]statement.Kind{"own": statement.Write, "current": statement.Read} {
			err, took := serve(route, kind)
			Expect(err).NotTo(BeNil())
			Expect(err.Kind).To(Equal(errkind.NoPrimary))
			Expect(err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
			Expect(err.Detail).To(And(ContainSubstring("until %s can be read", awaited), ContainSubstring("retry after")))
			Expect(took).To(BeNumerically("<", atOnce))
		}
		dbs.withLock(func() { Expect(dbs.ran).To(BeEmpty()) })
	}
	expectHeld := func() {
		GinkgoHelper()
		err, took := serve("own", statement.Write)
		Expect(err).NotTo(BeNil())
		Expect(took).To(BeNumerically(">=", 600*time.Millisecond))
	}

	It("refuses what needs a primary at once, once an attempt has found that it waits, and serves reads of an accepted age", func() {
		takeAway("a", "c")
		expectHeld()
		runAttempt(svc, succession.Silent)
		expectRefusedAtOnce("c")
		err, _ := serve("bounded", statement.Read)
		Expect(err).To(BeNil())
	})

	It("refuses the statements that wait for a primary when an attempt finds that it waits", func() {
		takeAway("a", "c")
		g.updateRoute("own", func(r *routes.Route) { r.Timeout = 10 * time.Second })
		done := make(chan *errkind.Error, 1)
		go func() {
			defer GinkgoRecover()
			err, _ := serve("own", statement.Write)
			done <- err
		}()
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
		runAttempt(svc, succession.Silent)
		var err *errkind.Error
		Eventually(done).Should(Receive(&err))
		Expect(err.Kind).To(Equal(errkind.NoPrimary))
	})

	It("serves writes again as soon as the database is back and a successor leads", func() {
		takeAway("a", "c")
		runAttempt(svc, succession.Silent)
		expectRefusedAtOnce("c")
		bringBack("c")
		runAttempt(svc, succession.Silent)
		Expect(out.matching("Service no longer waits for the logs of databases.")).To(ConsistOf(HaveKeyWithValue("reason", "a successor was chosen")))
		err, _ := serve("own", statement.Write)
		Expect(err).To(BeNil())
	})

	It("holds statements again once the database answers, while no successor is chosen for another reason", func() {
		takeAway("a", "c")
		runAttempt(svc, succession.Silent)
		bringBack("c")
		dbs.withLock(func() { dbs.term = 2 }) // its report names a newer term
		runAttempt(svc, succession.Silent)
		expectHeld()
	})

	It("waits for the former primary, which has what no replica holds", func() {
		takeAway("a")
		g.peers.mu.Lock()
		g.peers.recordAcked(&gossippb.Group{Service: testService, AckedTerm: 1, AckedIndex: 11})
		g.peers.mu.Unlock()
		runAttempt(svc, succession.Silent)
		expectRefusedAtOnce("a")
	})

	Context("that the roster has and the platform no longer lists", func() {
		// The primary "a" and the replica "c" are down; only "c" has the last acknowledged commit.
		BeforeEach(func() {
			Expect(svc.syncRoster()).To(Succeed())
			dbs.withLock(func() { dbs.databases["c"].end = position.Position{Term: 1, Index: 11} })
			g.peers.mu.Lock()
			g.peers.recordAcked(&gossippb.Group{Service: testService, AckedTerm: 1, AckedIndex: 11})
			g.peers.mu.Unlock()
			takeAway("a", "c")
			svc.mu.Lock()
			defer svc.mu.Unlock()
			svc.table.SetDatabases([]routes.Database{{ID: "b", Service: testService, Address: "b", DataCentre: "dc-a", Slots: 4}}, time.Now().Add(-10*time.Second))
			svc.table.Expire(time.Now())
			Expect(svc.table.All()).To(HaveLen(1))
		})
		replace := func() {
			svc.mu.Lock()
			a := svc.newReplacement(succession.Silent, position.Position{}, time.Now())
			svc.mu.Unlock()
			a.primary, a.proven, a.provenTerm, a.term = "a", true, 1, 1
			a.run()
		}
		abandon := func(id string) {
			object, roster, err := svc.readRoster(context.Background())
			Expect(err).NotTo(HaveOccurred())
			place := roster.Databases[id]
			place.Abandoned = true
			roster.Databases[id] = place
			_, err = svc.writeRoster(context.Background(), object.Version, roster)
			Expect(err).NotTo(HaveOccurred())
		}

		It("names what is known of it, and refuses at once", func() {
			replace()
			expectRefusedAtOnce("c")
			Expect(out.record("")).To(MatchRegexp(`"Service waits for the logs of databases.","service":"orders-db","databases":"c","unread":"c error awaited recorded unlisted [0-9]+s, a error`))
		})

		It("waits for all that may hold the missing commit once the operator has given up one, and no longer once none is left", func() {
			abandon("c")
			replace()
			expectRefusedAtOnce("a")
			dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
			abandon("a")
			replace()
			Expect(out.matching("Service no longer waits for the logs of databases.")).To(ConsistOf(HaveKeyWithValue("reason", "a successor was chosen")))
			dbs.withLock(func() { Expect(dbs.primary).To(Equal("b")) })
		})
	})

	It("is not taken to wait while a database answers as the primary", func() {
		dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
		runAttempt(svc, succession.Silent)
		Expect(svc.databasesAwaited()).To(BeEmpty())
		err, _ := serve("own", statement.Write)
		Expect(err).To(BeNil())
	})

	It("is known to wait from the messages of hosts of either data centre, until they report no more", func() {
		takeAway("a", "c")
		report := func(awaited ...string) []*gossippb.Group {
			return []*gossippb.Group{{Service: testService, Primary: "a", Unreachable: true, Watching: true, Host: "far-1", Awaited: awaited}}
		}
		g.peers.applyCentre(&gossippb.Centre{Name: "dc-b", Hosts: 1, AgeMs: 2, Groups: report("c")}, g.now())
		svc.updateLogWait(g.now())
		expectRefusedAtOnce("c")
		g.peers.applyCentre(&gossippb.Centre{Name: "dc-b", Hosts: 1, Groups: report()}, g.now())
		svc.updateLogWait(g.now())
		Expect(svc.databasesAwaited()).To(BeEmpty())

		g.peers.handleMessage(&gossippb.Gossip{Host: "near-1", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 1, Groups: report("c")})
		svc.updateLogWait(g.now())
		expectRefusedAtOnce("c")
		svc.updateLogWait(g.now().Add(reportTTL))
		expectHeld()
	})

	It("is reported to the hosts of this data centre and, at once, to the others", func() {
		takeAway("a", "c")
		before := g.peers.summarise(&gossippb.Gossip{Groups: []*gossippb.Group{svc.groupReport(g.now())}}, g.now())
		runAttempt(svc, succession.Silent)
		own := svc.groupReport(g.now())
		Expect(own.Awaited).To(ConsistOf("c"))
		summary := g.peers.summarise(&gossippb.Gossip{Groups: []*gossippb.Group{own}}, g.now())
		Expect(summary.Groups[0].Awaited).To(ConsistOf("c"))
		Expect(urgentState(&gossippb.Gossip{Centres: []*gossippb.Centre{summary}})).NotTo(Equal(urgentState(&gossippb.Gossip{Centres: []*gossippb.Centre{before}})))
	})

	It("sends statements to a primary that this host reaches, whatever others report", func() {
		g.peers.handleMessage(&gossippb.Gossip{Host: "near-1", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 1,
			Groups: []*gossippb.Group{{Service: testService, Watching: true, Awaited: []string{"c"}}}})
		svc.updateLogWait(g.now())
		err, _ := serve("own", statement.Write)
		Expect(err).To(BeNil())
	})

	It("is no longer taken to wait when this host makes no more attempts", func() {
		takeAway("a", "c")
		runAttempt(svc, succession.Silent)
		svc.updateLogWait(g.now().Add(logWaitFor - time.Second))
		Expect(svc.databasesAwaited()).To(ConsistOf("c"))
		svc.updateLogWait(g.now().Add(logWaitFor))
		Expect(svc.databasesAwaited()).To(BeEmpty())
	})

	It("is logged as one wait, by the host that has found it first, while hosts make attempts in turns", func() {
		takeAway("a", "c")
		report := &gossippb.Gossip{Host: "near-1", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 1,
			Groups: []*gossippb.Group{{Service: testService, Primary: "a", Unreachable: true, Watching: true, Awaited: []string{"c"}}}}
		runAttempt(svc, succession.Silent)
		g.ago(-logWaitFor, func() {
			g.peers.handleMessage(report)
			svc.updateLogWait(g.now())
			Expect(svc.groupReport(g.now()).Awaited).To(BeEmpty(), "two hosts would keep each other waiting")
			Expect(svc.databasesAwaited()).To(ConsistOf("c"))
			runAttempt(svc, succession.Silent)
		})
		Expect(out.matching("Service waits for the logs of databases.")).To(HaveLen(1))
		Expect(out.matching("Service no longer waits for the logs of databases.")).To(BeEmpty())

		By("another host that learns of it from this one")
		other := newTestGateway(p)
		other.log, other.opt.Logger = g.log, g.opt.Logger
		other.service(testService).recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now().Add(-2*time.Minute))
		svc, report.Sequence = other.service(testService), 2
		takeAway("a", "c")
		other.peers.handleMessage(report)
		svc.updateLogWait(other.now())
		runAttempt(svc, succession.Silent)
		Expect(svc.databasesAwaited()).To(ConsistOf("c"))
		Expect(out.matching("Service waits for the logs of databases.")).To(HaveLen(1))
	})

	It("holds statements again once another host has ordered a successor", func() {
		takeAway("a", "c")
		runAttempt(svc, succession.Silent)
		value, err := json.Marshal(succession.Lease{Holder: "host-2", Claim: "x", Ordered: "c", Term: 1, Rules: succession.Rules})
		Expect(err).NotTo(HaveOccurred())
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Update(context.Background(), kindLeases, testService, held.Version, value)
		Expect(err).NotTo(HaveOccurred())
		runAttempt(svc, succession.Silent)
		expectHeld()
	})

	It("names the databases in a line at once and every 10 s, and in the metrics", func() {
		const line = "Service waits for the logs of databases."
		takeAway("a", "c")
		metric := func() string {
			var page bytes.Buffer
			recorder := httptest.NewRecorder()
			g.metrics.handler().ServeHTTP(recorder, nil)
			page.ReadFrom(recorder.Body)
			return page.String()
		}
		Expect(metric()).To(ContainSubstring("bronzeloft_services_waiting_for_logs 0\n"))
		runAttempt(svc, succession.Silent)
		runAttempt(svc, succession.Silent)
		Expect(out.record("")).To(ContainSubstring(`"%s","service":"orders-db","databases":"c","unread":"c error awaited not_recorded, a error`, line))
		Expect(out.matching(line)).To(ConsistOf(And(HaveKey("since"), HaveKeyWithValue("level", "WARN"), HaveKeyWithValue("primary", "a"))))
		Expect(metric()).To(ContainSubstring("bronzeloft_services_waiting_for_logs 1\n"))
		svc.mu.Lock()
		svc.logWait.nextLine = svc.logWait.nextLine.Add(-logWaitLineEvery)
		svc.mu.Unlock()
		runAttempt(svc, succession.Silent)
		Expect(out.matching(line)).To(HaveLen(2))
		bringBack("c")
		runAttempt(svc, succession.Silent)
		Expect(out.matching("Service no longer waits for the logs of databases.")).To(ConsistOf(And(HaveKeyWithValue("service", testService), HaveKey("for_ms"))))
		Expect(metric()).To(ContainSubstring("bronzeloft_services_waiting_for_logs 0\n"), fmt.Sprint(svc.databasesAwaited()))
	})
})
