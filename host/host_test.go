package host_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

func TestHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "host")
}

var _ = Describe("the whole path", func() {
	It("serves a write and reads it back through another host", func(ctx SpecContext) {
		site, key := startSite(ctx)
		a := connect(ctx, site, 0, key)
		_, err := a.Exec(ctx, "CREATE TABLE orders (id INTEGER PRIMARY KEY, tiles INTEGER)")
		Expect(err).NotTo(HaveOccurred())
		for i := range 20 {
			_, err = a.Exec(ctx, "INSERT INTO orders (id, tiles) VALUES ($1, $2)", i, i*10)
			Expect(err).NotTo(HaveOccurred())
			b := connect(ctx, site, i%3, key)
			var tiles int
			Expect(b.QueryRow(ctx, "/*request='order.read'*/ SELECT tiles FROM orders WHERE id = $1", i).Scan(&tiles)).To(Succeed())
			Expect(tiles).To(Equal(i * 10))
			b.Close(ctx)
		}
	}, SpecTimeout(20*time.Second))
})

// startSite starts one service of three databases in three data centres and
// three hosts, and returns the customer's key.
func startSite(ctx context.Context) (*loopback.Site, string) {
	key := loopback.MustKey("shop")
	site, err := loopback.Start(loopback.Config{Hosts: 3, Snapshot: loopback.OneService(key.Stored)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(site.Close)
	site.Snapshot.Version = 1
	site.Hosts[0].Offer(site.Snapshot, "test")
	Expect(site.WaitReady(ctx, 1)).To(Succeed())
	return site, key.Plaintext
}

func connect(ctx context.Context, site *loopback.Site, host int, key string) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable", key, site.Hosts[host].CallerAddr()))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

var _ = contract.Read
