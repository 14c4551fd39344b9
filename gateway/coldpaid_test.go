package gateway

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/cold"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a connection to a database that may be cold", func() {
	var (
		g *Gateway
		c *conn
	)

	// start connects to the primary of a service with a rate for cold databases; 0 for none.
	start := func(rate float64) {
		g = newTestGatewayWith(newFakePlatform(newGroup("a", "b")), slog.New(slog.DiscardHandler), func(o *Options) {
			o.DatabaseDrain = 7 * time.Second
		})
		g.cold.change(g.now(), func(l *cold.Limits) {
			l.SetServices(map[string]routes.Service{testService: {Name: testService, ColdRate: rate}}, g.now())
			l.SetDatabases(map[string]routes.Database{"a": {ID: "a", Service: testService, StartMillis: 2, ColdFor: time.Minute}}, g.now())
		})
		var err error
		c, err = g.service(testService).pools["a"].borrow(context.Background(), "any")
		Expect(err).NotTo(HaveOccurred())
	}

	It("sends requests without the lock of cold databases while none is cold", func() {
		start(0)
		g.cold.mu.Lock()
		defer g.cold.mu.Unlock()
		done := make(chan error, 1)
		go func() {
			_, err := c.run(g.now().Add(time.Second), controlRequest(statement.Begin), controlRequest(statement.Rollback))
			done <- err
		}()
		Eventually(done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})

	It("does not keep an admitted request for the next statement of a transaction that rests", func() {
		start(0.1)
		c.coldPaid, c.coldPaidAt = 1, g.now()
		Expect(c.awaitCold(context.Background(), 1, 0, g.now())).To(Succeed())
		c.coldPaidAt = g.now().Add(-time.Second)
		err := c.awaitCold(context.Background(), 1, 0, g.now())
		Expect(errkind.Of(err)).To(Equal(errkind.DeadlineNotRun))
	})

	It("sends no statement that waited until the database's shutdown was near", func() {
		start(20)
		c.pool.setLeavingSince(g.now().Add(-6 * time.Second))
		err := c.awaitCold(context.Background(), 1, 0, g.now().Add(5*time.Second))
		Expect(errkind.Of(err)).To(Equal(errkind.DatabaseUnavailable))
	})

	It("shows that a cold primary answers again after two lost answers, although its samples are held back", func() {
		start(0.01)
		s := g.service(testService)
		s.recordFailure("a", g.now(), false)
		s.recordFailure("a", g.now(), false)
		c.pool.checkIn(c)
		s.sample(c.pool)
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.table.Unreachable("a", g.now().Add(time.Second))).To(BeFalse())
	})
})
