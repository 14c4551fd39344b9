package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/choice"
	"github.com/bronzeloft/bronzeloft/errkind"
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

	// attempts runs a read whose nth attempt ends with the error that fails returns, and
	// returns the databases of the attempts.
	attempts := func(route string, fails func(n int) error) (ids []string, err error) {
		start(true)
		op, err := newTestSession(g, route).newOperation(request(statement.Read))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = (&local{g: g}).hedgedRead(ctx, op, func(_ context.Context, op *operation, n int) readOutcome {
			ids = append(ids, op.svc.readerFor(op, n).db.ID)
			return readOutcome{err: fails(n)}
		})
		return ids, err
	}
	failFirst := func(err errkind.Kind) func(int) error {
		return func(n int) error {
			if n == 0 {
				return errkind.New(errkind.StatementFailed, "failed")
			}
			return errkind.New(err, "not run")
		}
	}

	// Guards against attempts that go on at a database to which no connection can be made.
	It("tries each database once before it tries one again", func() {
		ids, err := attempts("bounded", func(n int) error {
			if n < 5 {
				return errkind.New(errkind.DatabaseUnavailable, "connection refused")
			}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(ids[:3]).To(ConsistOf("a", "b", "c"))
		Expect(ids[3:]).To(Equal(ids[:3]))
	})

	It("does not report a read as not run because its repetition was not", func() {
		ids, err := attempts("bounded", failFirst(errkind.QueueFull))
		Expect(len(ids)).To(BeNumerically(">", 1))
		Expect(errkind.Of(err)).To(Equal(errkind.StatementFailed))
	})

	It("does not repeat a current read, which no other database may serve", func() {
		ids, err := attempts("current", failFirst(errkind.QueueFull))
		Expect(ids).To(HaveLen(1))
		Expect(errkind.Of(err)).To(Equal(errkind.StatementFailed))
	})

	// Guards against a database that is left out because this host refuses to send to it.
	It("does not count a statement that was not sent", func() {
		start(true)
		svc := g.service(testService)
		op, err := newTestSession(g, "bounded").newOperation(request(statement.Read))
		Expect(err).NotTo(HaveOccurred())
		c := &conn{pool: svc.pools[failing]}
		here := func() time.Duration {
			return svc.chooser.choose(choice.Read{Draw: 1}, []choice.Candidate{{ID: failing, DataCentre: "dc-a", Usable: true, Slots: 1}}).Here
		}
		before := here()
		for range 10 {
			svc.chooser.record(context.Background(), c, op, nil, errkind.New(errkind.DatabaseBusy, "not sent"), g.now())
		}
		Expect(here()).To(Equal(before))
	})
})
