package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/statement"
)

// Guards against reads that keep going to a database that fails them: its health is good,
// and the customer prefers it.
var _ = Describe("a database that fails the reads that it runs", func() {
	var p *fakePlatform
	var g *Gateway
	var failing string

	// read runs n reads, 5 ms apart, and returns how many failed.
	read := func(n int) (failed int) {
		s := newTestSession(g, "bounded")
		for range n {
			op, err := s.newOperation(request(statement.Read))
			Expect(err).NotTo(HaveOccurred())
			if _, err := (&local{g: g}).single(context.Background(), op); err != nil {
				failed++
			}
			time.Sleep(5 * time.Millisecond)
		}
		return failed
	}
	start := func(expectedTime bool) {
		p = newFakePlatform(newGroup("a", "b", "c"))
		g = newTestGateway(p)
		g.opt.Features.ExpectedTime = expectedTime
		svc := g.service(testService)
		svc.chooser = newChooser(g, testService)
		failing = svc.readers(testCustomer)[0].db.ID
		p.group.withLock(func() { p.group.databases[failing].failReads = true })
	}

	It("is left for another one, on which a failed read is repeated", func() {
		start(true)
		Expect(read(50)).To(BeNumerically("<=", 10), "the budget of repeated reads, and those before the share falls")
		Expect(read(150)).To(BeNumerically("<=", 5))
	})

	It("stays the customer's where the site does not ask for the choice", func() {
		start(false)
		Expect(read(20)).To(Equal(20))
	})
})
