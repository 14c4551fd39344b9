package gateway

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against a choice by expected time that prefers a database which the readers leave
// out or rank last, because the others are slow.
var _ = Describe("the choice by expected time", func() {
	// chosen returns the databases of the first attempts of many reads, and of the attempts
	// of one, after the given databases have answered slowly.
	chosen := func(g *Gateway, slow ...string) (first map[string]int, attempts []string) {
		g.opt.Features.ExpectedTime = true
		svc := g.service(testService)
		svc.chooser = newChooser(g, testService)
		for range 50 {
			for _, id := range slow {
				svc.chooser.table.RecordAnswer(id, svc.pools[id].db.DataCentre, time.Second, 0, g.now())
			}
		}
		var op *operation
		first = map[string]int{}
		for range 200 {
			var err error
			op, err = newTestSession(g, "bounded").newOperation(request(statement.Read))
			Expect(err).NotTo(HaveOccurred())
			first[svc.readerFor(op, 0).db.ID]++
		}
		op.tried = nil
		for n := range svc.readers(testCustomer) {
			attempts = append(attempts, svc.readerFor(op, n).db.ID)
			Expect(op.elsewhere).To(Equal(svc.g.cold.isCold(attempts[n], g.now())))
		}
		return first, attempts
	}

	It("takes a cold database only after all warm ones", func() {
		g := newTestGatewayWith(newFakePlatform(newGroup("a", "b", "c")), slog.New(slog.DiscardHandler), func(o *Options) {})
		g.cold.change(g.now(), func(l *cold.Limits) {
			l.SetServices(map[string]routes.Service{testService: {Name: testService, ColdRate: 10}}, g.now())
			l.SetDatabases(map[string]routes.Database{"b": {ID: "b", Service: testService, StartMillis: 2, ColdFor: time.Minute}}, g.now())
		})
		first, attempts := chosen(g, "a", "c")
		Expect(first).NotTo(HaveKey("b"))
		Expect(attempts[2]).To(Equal("b"))
	})

	It("never takes a database of an evacuated data centre", func() {
		s := newEvacuationSite(map[string]string{"a": "dc-a", "b": "dc-a", "c": "dc-b"}).start()
		s.evacuate("dc-b")
		Eventually(func() bool { return s.g.evacuations.evacuated("dc-b") }).WithPolling(time.Millisecond).Should(BeTrue())
		first, attempts := chosen(s.g, "a", "b")
		Expect(first).NotTo(HaveKey("c"))
		Expect(attempts).To(ConsistOf("a", "b"))
	})
})
