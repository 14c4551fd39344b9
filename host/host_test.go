package host_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

func TestHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "host")
}

var _ = Describe("a site of three hosts", func() {
	It("serves writes and reads them back through every host", func(ctx SpecContext) {
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
// three hosts, and returns the customer's key. change may alter the configuration
// of the site.
func startSite(ctx context.Context, change ...func(*loopback.Config)) (*loopback.Site, string) {
	GinkgoHelper()
	key := loopback.MustKey("shop")
	cfg := loopback.Config{Hosts: 3, Snapshot: loopback.OneService(key.Stored), Logger: slog.New(slog.NewTextHandler(GinkgoWriter, nil))}
	for _, c := range change {
		c(&cfg)
	}
	site, err := loopback.Start(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(site.Close)
	offer(ctx, site, func(*contract.Snapshot) {})
	return site, key.Plaintext
}

// offer puts the next version of the site's snapshot in force on every host.
func offer(ctx context.Context, site *loopback.Site, change func(*contract.Snapshot)) {
	GinkgoHelper()
	raw, err := json.Marshal(site.Snapshot)
	Expect(err).NotTo(HaveOccurred())
	next := &contract.Snapshot{}
	Expect(json.Unmarshal(raw, next)).To(Succeed())
	next.Version++
	change(next)
	site.Snapshot = next
	site.Hosts[0].Offer(next, "test")
	Expect(site.WaitReady(ctx, next.Version)).To(Succeed())
}

// createOrders creates the table that most tests write to.
func createOrders(ctx context.Context, site *loopback.Site, key string) *pgx.Conn {
	GinkgoHelper()
	conn := connect(ctx, site, 0, key)
	_, err := conn.Exec(ctx, "CREATE TABLE orders (id TEXT, tiles INTEGER)")
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// refusal returns the error kind that a caller received, and whether the error
// states that the request did not run.
func refusal(err error) (kind string, notRun bool) {
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return fmt.Sprint(err), false
	}
	return pe.ConstraintName, strings.HasPrefix(pe.Detail, "not run")
}

func connect(ctx context.Context, site *loopback.Site, host int, key string) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable", key, site.Hosts[host].CallerAddr()))
	Expect(err).NotTo(HaveOccurred())
	return conn
}
