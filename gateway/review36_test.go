package gateway

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("pauses that another attempt has left or ends", func() {
	var (
		dbs *group
		p   *fakePlatform
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		dbs.cutAtCall = true
		p = newFakePlatform(dbs)
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	attempt := func(reason succession.Reason) *replacement {
		svc.mu.Lock()
		a := svc.newReplacement(reason, position.Position{}, time.Now())
		svc.promotion.running = true
		svc.mu.Unlock()
		a.run()
		svc.mu.Lock()
		svc.promotion.running = false
		svc.mu.Unlock()
		return a
	}
	write := func() bool { return newTestSession(g, "own").serve(request(statement.Write)).Err == nil }
	storedLease := func() (l succession.Lease) {
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_ = json.Unmarshal(held.Value, &l)
		return l
	}
	paused := func() (n int) {
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				if db.paused != 0 {
					n++
				}
			}
		})
		return n
	}

	// A refusal shows that the RESUME is not carried out late.
	It("do not keep the lease held because an overloaded replica refused a RESUME", func() {
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				dbs.withLock(func() {
					dbs.databases["b"].busyFor, dbs.databases["c"].busyFor = statement.Resume, statement.Resume
				})
				return succession.ErrRefused
			}
		})
		a := attempt(succession.Stalled)
		Expect(a.pausing.unanswered).To(BeFalse())
		Expect(storedLease().Settled(1)).To(BeTrue())

		By("resuming them soon after")
		Expect(paused()).To(Equal(2))
		dbs.withLock(func() {
			dbs.databases["b"].busyFor, dbs.databases["c"].busyFor = 0, 0
		})
		Eventually(func() int {
			svc.maybeReplacePrimary(time.Now())
			return paused()
		}).WithTimeout(2 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
		Expect(write()).To(BeTrue())
	})
})
