package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/asyncwriter"
	"github.com/bronzeloft/bronzeloft/internal/logcut"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// lineBuffer collects log lines.
type lineBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

// matching returns the decoded lines that contain a text.
func (b *lineBuffer) matching(text string) (out []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		if strings.Contains(line, text) {
			var fields map[string]any
			Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed())
			out = append(out, fields)
		}
	}
	return out
}

// bytes returns the lines as they stand in a file.
func (b *lineBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return []byte(strings.Join(b.lines, ""))
}

// record returns what a record of an incident holds: lines that name a request and
// warnings, cut to 200 characters.
func (b *lineBuffer) record(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, line := range b.lines {
		if strings.Contains(line, fmt.Sprintf("%q", id)) || strings.Contains(line, `"level":"WARN"`) || strings.Contains(line, `"level":"ERROR"`) {
			out = append(out, line[:min(len(line), 200)])
		}
	}
	return strings.Join(out, "\n")
}

// Guards against the record of issue 33, from which nobody could tell who had acknowledged
// a lost commit, on what evidence, and why the successor was chosen.
var _ = Describe("log of a replacement", func() {
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
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	acknowledge := func(n int) {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		for i := range n {
			svc.recordRecentCommit(commit{primary: "a", at: position.Position{Term: 1, Index: uint64(11 + i)}, id: fmt.Sprintf("id-%d", 11+i)}, "all_copies")
		}
	}

	It("tells the acknowledging host, its evidence and the reason for the successor in the lines that a record holds", func() {
		w := request(statement.Write)
		Expect(newTestSession(g, "own").serve(w).Err).To(BeNil())
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		svc.mu.Lock()
		svc.startAttempt(svc.newReplacement(succession.Silent, svc.acked, time.Now()), (*replacement).run)
		svc.mu.Unlock()
		Eventually(out.matching).WithArguments("Promotion took effect.").WithTimeout(4 * time.Second).Should(HaveLen(1))
		Eventually(out.matching).WithArguments("Commit acknowledged.").Should(HaveLen(1))

		Expect(out.record(w.ID)).To(And(
			MatchRegexp(`"Commit acknowledged.","id":"%s","evidence":"all_copies","copies":"[bc] 1/11 [0-9]+ms( new)?, [bc] 1/11 [0-9]+ms( new)?","commit":"1/11"`, w.ID),
			MatchRegexp(`"Successor chosen.","candidates":"[bc] 1/11 established listed paused, [bc] 1/11 established listed paused","service":"orders-db"`),
			MatchRegexp(`"Primary changed.","service":"orders-db","from":"a","to":"[bc]","term":[12],"build":"`),
			MatchRegexp(`"Promotion took effect.","primary":"[bc]","term":2`),
		))
		Eventually(out.matching).WithArguments("Replacement ended.").Should(HaveLen(1))
		Expect(out.record(w.ID)).To(MatchRegexp(`"Replacement ended.","acked":"1/11>1/11","term":2,"service":"orders-db","logs":"[bc] 1/11p>=p?>=, [bc] 1/11p>=p?>=, a ->->-"`))
		Expect(out.matching("Replacement ended.")[0]).To(And(HaveKeyWithValue("from", "a"), HaveKeyWithValue("to", BeElementOf("b", "c")),
			HaveKeyWithValue("outcome", "Promotion took effect."), HaveKeyWithValue("reason", "silent")))
		chosen := out.matching("Successor chosen.")[0]
		Expect(chosen).To(And(HaveKeyWithValue("reason", "silent"), HaveKeyWithValue("acked", "1/11"), HaveKeyWithValue("from", "a"),
			HaveKeyWithValue("primary", ContainSubstring("unread")), HaveKeyWithValue("lease_before", "none"), HaveKey("fence"), HaveKey("build")))
		Expect(out.matching("Commit acknowledged.")[0]).To(And(HaveKeyWithValue("host", "host-1"), HaveKeyWithValue("primary", "a"), HaveKey("ago_ms"), HaveKey("list"), HaveKey("build")))
	})

	It("shows on a cut record that a successor has lost what it had when it was chosen, after refused logins too", func() {
		kept, lost := request(statement.Write), request(statement.Write)
		session := newTestSession(g, "own")
		Expect(session.serve(kept).Err).To(BeNil())
		Expect(session.serve(lost).Err).To(BeNil())
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		dbs.promoteHook = func(o succession.Order) error {
			time.Sleep(50 * time.Millisecond) // the logs are read during the call
			dbs.withLock(func() { dbs.databases[o.Database].end = position.Position{Term: 1, Index: 11} })
			return dbs.applyOrder(o)
		}
		svc.mu.Lock()
		svc.startAttempt(svc.newReplacement(succession.Silent, svc.acked, time.Now()), (*replacement).run)
		svc.mu.Unlock()
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(5 * time.Second).Should(HaveLen(1))
		Eventually(out.matching).WithArguments("Replacement ended.").WithTimeout(5 * time.Second).Should(HaveLen(1))
		for i := range 20 {
			newSession(g, &rejectedCaller{}).reject(errkind.New(errkind.UnknownDatabase, "no route x%d", i))
		}

		shown := strings.Join(logcut.Cut(out.bytes(), []string{lost.ID}, time.Time{}, time.Time{}), "\n")
		Expect(shown).To(And(
			MatchRegexp(`"level":"ERROR","msg":"Commit acknowledged.","id":"%s","evidence":"all_copies","copies":"[bc] 1/12 [0-9]+ms( new)?, [bc] 1/12 [0-9]+ms( new)?","commit":"1/12"`, lost.ID),
			MatchRegexp(`"Replacement ended.","acked":"1/12>1/12","term":2,"service":"orders-db","logs":"([bc]) 1/12p>=p>1/11, [bc] 1/12p>=p>1/11, a ->->-"`),
			MatchRegexp(`"Commits checked.","missing":"1 of 2","past_choice":0,"oldest":"%s","service":"orders-db","last":"1/12","log":"1/11"`, lost.ID),
		))
		shown = strings.Join(logcut.Cut(out.bytes(), nil, time.Time{}, time.Time{}), "\n")
		Expect(shown).To(And(ContainSubstring(`"Replacement ended.","acked":"1/12>1/12"`), ContainSubstring(`"Commits checked.","missing":"1 of 2"`)),
			"a host whose lines name no request")
	})

	It("compares the log of a primary that the list has announced at its first answer, although that has the term of its last entry", func() {
		acknowledge(4) // 1/11 to 1/14
		list := map[string]routes.Database{}
		for _, id := range []string{"a", "b", "c"} {
			list[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: id == "b"}
		}
		g.setDatabases(list)
		svc.recordPrimary("b", position.Position{Term: 1, Index: 13}, time.Now())
		Expect(out.matching("Acknowledged commits are missing")).To(ConsistOf(HaveKeyWithValue("ids", ConsistOf("id-14"))))
		svc.recordPrimary("b", position.Position{Term: 2, Index: 20}, time.Now())
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(3 * time.Second).Should(ConsistOf(And(
			HaveKeyWithValue("missing", "1 of 4"), HaveKeyWithValue("past_choice", "unknown"), HaveKeyWithValue("oldest", "id-14"), HaveKeyWithValue("last", "1/14"),
			HaveKeyWithValue("log", "1/13"), HaveKeyWithValue("from", "a"), HaveKeyWithValue("to", "b"), HaveKeyWithValue("level", "WARN"))))
	})

	DescribeTable("says that the coverage of commits is unknown", func(learn func(), primary string) {
		acknowledge(3)
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		svc.mu.Lock()
		svc.replication.term = 2
		svc.observePrimary(fromReplica, position.Position{})
		svc.mu.Unlock()
		learn()
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(3 * time.Second).Should(ConsistOf(And(
			HaveKeyWithValue("missing", "unknown of 3"), HaveKeyWithValue("last", "1/13"), HaveKeyWithValue("log", "0/0"), HaveKeyWithValue("to", primary))))
		svc.recordPrimary("b", position.Position{Term: 1, Index: 13}, time.Now())
		Eventually(out.matching).WithArguments(`"missing":"0 of 3"`).WithTimeout(3 * time.Second).Should(HaveLen(1))
	},
		Entry("while no database is known to lead the newest term", func() {}, "unknown"),
		Entry("while the new primary has not answered", func() {
			svc.mu.Lock()
			defer svc.mu.Unlock()
			svc.table.RecordLeader("b", 2, time.Now())
		}, "b"),
	)

	It("counts the commits after the position of the choice, which a later end of the new primary's log seems to cover", func() {
		_, err := p.api.Create(GinkgoT().Context(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x","term":1,"floor":{"Term":1,"Index":12}}`))
		Expect(err).NotTo(HaveOccurred())
		acknowledge(4) // 1/11 to 1/14
		svc.recordPrimary("b", position.Position{Term: 2, Index: 2001}, time.Now())
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(3 * time.Second).Should(ConsistOf(And(
			HaveKeyWithValue("missing", "0 of 4"), HaveKeyWithValue("past_choice", BeNumerically("==", 2)), HaveKeyWithValue("oldest", "id-13"),
			HaveKeyWithValue("ids", ConsistOf("id-13", "id-14")), HaveKeyWithValue("choice", "1/12"), HaveKeyWithValue("log", "2/2001"))))
	})

	It("checks the commits again once a primary answers that had not before the check", func() {
		acknowledge(3)
		dbs.withLock(func() { dbs.databases["b"].unresponsive = true })
		svc.mu.Lock()
		svc.table.RecordLeader("b", 1, time.Now())
		svc.observePrimary(fromList, position.Position{})
		svc.mu.Unlock()
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(3 * time.Second).Should(ConsistOf(HaveKeyWithValue("missing", "unknown of 3")))
		svc.recordPrimary("b", position.Position{Term: 1, Index: 13}, time.Now())
		Eventually(out.matching).WithArguments(`"missing":"0 of 3"`).WithTimeout(3 * time.Second).Should(HaveLen(1))
		svc.recordPrimary("b", position.Position{Term: 1, Index: 14}, time.Now())
		Consistently(out.matching).WithArguments("Commits checked.").WithTimeout(commitCheckDelay + 300*time.Millisecond).Should(HaveLen(2))
	})

	It("asks the new primary for the end of its log if it has not answered before the check", func() {
		acknowledge(3)
		Expect(dbs.applyOrder(succession.Order{Service: testService, Database: "b"})).To(Succeed())
		svc.mu.Lock()
		svc.table.RecordLeader("b", 2, time.Now())
		svc.observePrimary(fromList, position.Position{})
		svc.mu.Unlock()
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(3 * time.Second).Should(ConsistOf(And(
			HaveKeyWithValue("missing", "3 of 3"), HaveKeyWithValue("log", "1/10"), HaveKeyWithValue("to", "b"))))
	})

	It("logs every commit that is not acknowledged although failed requests use up their lines, and counts those that are not covered", func() {
		for range failuresPerSecond {
			g.requestLog.failed(newTestSession(g, "own"), &operation{Request: request(statement.Read)}, errkind.New(errkind.OutcomeUnknown, "none"))
		}
		for i := range 3 {
			svc.logUnacknowledged(commit{primary: "a", at: position.Position{Term: 1, Index: uint64(11 + i)}, id: fmt.Sprintf("id-%d", 11+i)}, "no established replica holds it", time.Now())
		}
		svc.recordPrimary("b", position.Position{Term: 2, Index: 12}, time.Now())
		Eventually(out.matching).WithArguments("Commits checked.").WithTimeout(3 * time.Second).Should(ConsistOf(And(
			HaveKeyWithValue("missing", "0 of 0"), HaveKeyWithValue("unacked", "1 of 3"), HaveKeyWithValue("acked", "0/0"), HaveKeyWithValue("ids", ConsistOf("id-13")))))
		Eventually(out.matching).WithArguments("Commit not acknowledged.").WithTimeout(4 * time.Second).Should(HaveLen(3))
		Expect(out.matching("Commit not acknowledged.")).To(ContainElement(And(HaveKeyWithValue("id", "id-13"), HaveKeyWithValue("commit", "1/13"), HaveKeyWithValue("reason", "no established replica holds it"))))
	})

	It("keeps a bounded number of commits that are not acknowledged, and of their lines", func() {
		for i := range 2000 {
			svc.logUnacknowledged(commit{primary: "a", at: position.Position{Term: 1, Index: uint64(11 + i)}, id: fmt.Sprintf("id-%d", 11+i)}, misplaced, time.Now())
		}
		Expect(svc.replication.unacknowledged.ring).To(HaveLen(maxRecentCommits))
		Eventually(out.matching).WithArguments("Left out log lines about commits that were not acknowledged.").WithTimeout(4 * time.Second).Should(HaveLen(1))
		Expect(len(out.matching("Commit not acknowledged."))).To(BeNumerically("<=", failuresPerSecond+maxUnacknowledgedLines))
	})

	It("writes a deciding line again once if lines about failed requests have followed it", func() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.logDeciding("promotion", slog.LevelWarn, "Replacement ended.", "acked", "1/11")
		}()
		Eventually(out.matching).WithArguments("Replacement ended.").Should(HaveLen(1))
		time.Sleep(10 * time.Millisecond)
		for range maxFollowing + 1 {
			g.requestLog.failed(newTestSession(g, "own"), &operation{Request: request(statement.Read)}, errkind.New(errkind.NoPrimary, "none"))
		}
		Eventually(done).WithTimeout(repeatAfter + 2*time.Second).Should(BeClosed())
		Expect(out.matching("Replacement ended.")).To(HaveLen(2))
		Expect(logcut.Cut(out.bytes(), nil, time.Time{}, time.Time{})).To(ContainElement(ContainSubstring("Replacement ended.")))
	})

	It("explains at most maxCommitLines acknowledgements for each change, once, and keeps a bounded number", func() {
		acknowledge(10000)
		svc.recordPrimary("b", position.Position{Term: 2, Index: 20000}, time.Now())
		Eventually(out.matching).WithArguments("Left out log lines").WithTimeout(2 * time.Second).Should(HaveLen(1))
		lines := out.matching("Commit acknowledged.")
		Expect(lines).To(HaveLen(maxCommitLines))
		Expect(lines[0]).To(HaveKeyWithValue("id", "id-10010"), "the newest first")
		Expect(out.matching("Left out log lines")[0]).To(HaveKeyWithValue("lines", BeNumerically("==", maxRecentCommits-maxCommitLines)))
		svc.recordPrimary("c", position.Position{Term: 3, Index: 20000}, time.Now())
		Consistently(out.matching).WithArguments("Commit acknowledged.").WithTimeout(200 * time.Millisecond).Should(HaveLen(maxCommitLines))
		Expect(svc.replication.recent.ring).To(HaveLen(maxRecentCommits))
		Expect(testing.AllocsPerRun(100, func() {
			svc.recordRecentCommit(commit{primary: "c", at: position.Position{Term: 3, Index: 20001}, id: "cdf1ddc2b81a5600"}, "lease")
		})).To(BeNumerically("<=", 1))
	})

	It("does not make statements wait for a slow output", func() {
		_, blocked := io.Pipe() // nobody reads
		w := asyncwriter.New(blocked)
		g = newLoggingTestGateway(p, slog.New(slog.NewJSONHandler(w, nil)))
		svc = g.service(testService)
		began := time.Now()
		for term := range uint64(20) {
			acknowledge(maxRecentCommits)
			svc.recordPrimary("a", position.Position{Term: term + 1, Index: 10}, time.Now())
		}
		dbs.withLock(func() { dbs.term = 20 })
		Expect(newTestSession(g, "own").serve(request(statement.Write)).Err).To(BeNil())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Eventually(w.Dropped).WithTimeout(10 * time.Second).Should(BeNumerically(">", 100))
	})

	DescribeTable("names acknowledged commits that the log of a new primary lacks, as an error, and counts them", func(term uint64) {
		acknowledge(4) // 1/11 to 1/14
		svc.recordPrimary("b", position.Position{Term: term, Index: 12}, time.Now())
		missing := out.matching("Acknowledged commits are missing")
		Expect(missing).To(HaveLen(1))
		Expect(missing[0]).To(And(HaveKeyWithValue("level", "ERROR"), HaveKeyWithValue("ids", ConsistOf("id-13", "id-14")), HaveKeyWithValue("count", BeNumerically("==", 2))))
		Expect(g.metrics.missing.Get()).To(BeEquivalentTo(2))
		Eventually(out.matching).WithArguments(`"level":"ERROR","msg":"Commit acknowledged."`).Should(HaveLen(2))
		svc.recordPrimary("b", position.Position{Term: 2, Index: 13}, time.Now())
		Expect(out.matching("Acknowledged commits are missing")).To(HaveLen(1))
	},
		Entry("whose end has the new term", uint64(2)),
		Entry("whose last entry is of the former term", uint64(1)),
	)

	It("logs a change that is known from the list of databases, and the answer of the new primary after it", func() {
		acknowledge(1)
		list := map[string]routes.Database{}
		for _, id := range []string{"a", "b", "c"} {
			list[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: id == "b"}
		}
		g.setDatabases(list)
		Expect(out.matching("Primary changed.")).To(ConsistOf(And(HaveKeyWithValue("to", "b"), HaveKeyWithValue("learned", "list"))))
		Eventually(out.matching).WithArguments("id-11").Should(HaveLen(1))
		svc.mu.Lock()
		svc.replication.term = 2
		svc.observePrimary(fromReplica, position.Position{})
		svc.mu.Unlock()
		Expect(out.matching("A newer term is known.")).To(ConsistOf(And(HaveKeyWithValue("to", "unknown"), HaveKeyWithValue("learned", "replica"))))
		svc.recordPrimary("b", position.Position{Term: 2, Index: 10}, time.Now())
		Expect(out.matching("Primary has a newer term.")).To(ConsistOf(And(
			HaveKeyWithValue("missing", BeNumerically("==", 1)), HaveKeyWithValue("from", "a"), HaveKeyWithValue("to", "b"))))
	})

	It("names a confirmed commit that is not acknowledged, with the reason", func() {
		dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
		_, err := p.api.Create(GinkgoT().Context(), kindLeases, testService, []byte(`{"holder":"host-2","claim":"x"}`))
		Expect(err).NotTo(HaveOccurred())
		w := request(statement.Write)
		Expect(newTestSession(g, "own").serve(w).Err.Kind).To(Equal(errkind.OutcomeUnknown))
		Expect(out.matching("Commit not acknowledged.")).To(ConsistOf(And(HaveKeyWithValue("id", w.ID),
			HaveKeyWithValue("reason", "not all replicas hold it and the lease is not settled"), HaveKeyWithValue("copies", ContainSubstring("b 1/10")))))
	})

	It("names the home host that has acknowledged a commit of a caller of this host", func() {
		r := &remote{g: g, home: homeCandidate{name: "host-2"}}
		op := &operation{Request: request(statement.Write), svc: svc, inTransaction: true, database: "a"}
		r.recordCommit(op, statement.Answer{Position: position.Position{Term: 1, Index: 10}}, nil)
		op.Request = request(statement.Commit)
		r.recordCommit(op, statement.Answer{Position: position.Position{Term: 1, Index: 11}}, nil)
		svc.recordPrimary("b", position.Position{Term: 2, Index: 11}, time.Now())
		Eventually(out.matching).WithArguments("Commit acknowledged.").Should(ConsistOf(And(
			HaveKeyWithValue("id", op.ID), HaveKeyWithValue("home", "host-2"), HaveKeyWithValue("commit", "1/11"), HaveKeyWithValue("host", "host-1"))))
	})

	It("names the id of the caller's request on the home host", func() {
		op := &operation{Request: request(statement.Write), svc: svc, customer: testCustomer, route: routes.Route{Service: testService},
			arrived: time.Now(), deadline: time.Now().Add(time.Second)}
		home := &jobStream{g: g, runner: newLocal(g), ended: true}
		Expect(home.run(GinkgoT().Context(), op.job(time.Now(), 0)).Failed).To(BeFalse())
		g.Close()
		Expect(out.matching("Commit acknowledged.")).To(ConsistOf(And(HaveKeyWithValue("id", op.ID), HaveKeyWithValue("evidence", "all_copies"))))
	})

	It("explains the acknowledgements when the host stops", func() {
		acknowledge(2)
		g.Close()
		Expect(out.matching("Commit acknowledged.")).To(HaveLen(2))
	})

	It("warns when a configuration adds, drops or changes the replicas of a service", func() {
		services := func(list ...routes.Service) *routes.Configuration {
			c := &routes.Configuration{Version: 2, Services: map[string]routes.Service{}}
			for _, s := range list {
				c.Services[s.Name] = s
			}
			return c
		}
		g.logServiceChanges(services(routes.Service{Name: "x", SyncReplicas: 1}, routes.Service{Name: "y"}), services(routes.Service{Name: "x"}, routes.Service{Name: "z"}))
		Expect(out.matching("Configuration changes the services.")).To(ConsistOf(And(HaveKeyWithValue("level", "WARN"), HaveKeyWithValue("dropped", ConsistOf("y")),
			HaveKeyWithValue("added", ConsistOf("z")), HaveKeyWithValue("sync_replicas", ConsistOf("x from 1 to 0")))))
	})
})
