package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against the loss of an acknowledged commit (LOST): a replica that nobody else
// knew confirmed it beside a primary that was being replaced.
var _ = Describe("a commit", func() {
	var (
		dbs *group
		g   *Gateway
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		g = newTestGateway(newFakePlatform(dbs))
	})

	// onlyNewReplicaReceives adds a replica, which is not listed yet, as the only one that
	// receives commits.
	onlyNewReplicaReceives := func() {
		dbs.withLock(func() {
			dbs.databases["b"].notReplicating, dbs.databases["c"].notReplicating = true, true
			dbs.databases["d"] = &standin{group: dbs, id: "d", end: position.Position{Term: 1, Index: 10}}
		})
	}
	list := func(ids ...string) {
		databases := map[string]routes.Database{}
		for _, id := range ids {
			databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: id == "a"}
		}
		g.setDatabases(databases)
	}
	inTransaction := func() statement.Answer {
		s := newTestSession(g, "own")
		for _, kind := range []statement.Kind{statement.Begin, statement.Write} {
			Expect(s.serve(request(kind)).Err).To(BeNil())
		}
		return s.serve(request(statement.Commit))
	}

	It("is acknowledged when a listed replica has received it", func() {
		Expect(newTestSession(g, "own").serve(request(statement.Write)).Err).To(BeNil())
		Expect(inTransaction().Err).To(BeNil())
	})

	It("is not acknowledged when only a replica that is not listed has received it", func() {
		onlyNewReplicaReceives()
		Expect(newTestSession(g, "own").serve(request(statement.Write)).Err.Kind).To(Equal(errkind.OutcomeUnknown))
		Expect(inTransaction().Err.Kind).To(Equal(errkind.OutcomeUnknown))
	})

	It("is acknowledged when the only replica that has received it has been listed for lead.EstablishedAfter", func() {
		onlyNewReplicaReceives()
		list("a", "b", "c", "d")
		Expect(newTestSession(g, "own").serve(request(statement.Write)).Err.Kind).To(Equal(errkind.OutcomeUnknown))
		time.Sleep(lead.EstablishedAfter)
		Expect(newTestSession(g, "own").serve(request(statement.Write)).Err).To(BeNil())
	})

	It("is not acknowledged because of its own primary's copy after that has lost the lead", func() {
		onlyNewReplicaReceives()
		w := make(chan statement.Answer)
		s := newTestSession(g, "own")
		go func() { w <- s.serve(requestWithFixedID(statement.Write)) }()
		Eventually(func() (ran int) { dbs.withLock(func() { ran = len(dbs.ran) }); return ran }).Should(Equal(1))
		dbs.withLock(func() { dbs.primary = "" })
		g.service(testService).recordNotPrimary("a", time.Now())
		var a statement.Answer
		Eventually(w).WithTimeout(2 * time.Second).Should(Receive(&a))
		Expect(a.Err.Kind).To(Equal(errkind.OutcomeUnknown))
	})

	It("has an unknown outcome when the primary is replaced before a known replica has received it", func() {
		onlyNewReplicaReceives()
		w := make(chan statement.Answer)
		s := newTestSession(g, "own")
		go func() { w <- s.serve(requestWithFixedID(statement.Write)) }()
		Consistently(w).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		g.service(testService).recordPrimary("b", position.Position{Term: 2, Index: 10}, time.Now())
		var a statement.Answer
		Eventually(w).WithTimeout(200 * time.Millisecond).Should(Receive(&a))
		Expect(a.Err.Kind).To(Equal(errkind.OutcomeUnknown))
	})
})
