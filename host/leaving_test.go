package host_test

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
)

var _ = Describe("a leaving database", func() {
	for _, id := range []string{"orders-1", "orders-3"} {
		It("gets no new work after a few seconds, and no request fails: "+id, func(ctx SpecContext) {
			var work atomic.Int64
			site, key := startSite(ctx, func(c *loopback.Config) {
				c.Database = func(name string, cfg *dbserver.Config) {
					if name == id {
						cfg.Tap = func(b []byte) {
							if bytes.Contains(b, []byte("orders")) {
								work.Add(1)
							}
						}
					}
				}
			})
			createOrders(ctx, site, key)
			stop := make(chan struct{})
			failures := make(chan error, 100)
			acked := make(chan int, 3)
			for i := range 3 {
				go func() {
					acked <- orderUntil(ctx, site, key, i, stop, func(err error) { failures <- err })
				}()
			}
			offer(ctx, site, func(s *contract.Snapshot) {
				for i := range s.Services[0].Databases {
					db := &s.Services[0].Databases[i]
					db.Leaving = db.ID == id
				}
			})
			time.Sleep(3 * time.Second)
			before := work.Load()
			for i := range 50 {
				conn := connect(ctx, site, i%3, key)
				countOrders(ctx, conn, "order.read")
				countOrders(ctx, conn, "order.browse")
				conn.Close(ctx)
			}
			Expect(work.Load()).To(Equal(before), fmt.Sprintf("statements still reach %s", id))
			close(stop)
			total := 0
			for range 3 {
				total += <-acked
			}
			close(failures)
			for err := range failures {
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(countOrders(ctx, connect(ctx, site, 0, key), "order.read")).To(Equal(total))
		}, SpecTimeout(testLimit))
	}
})
