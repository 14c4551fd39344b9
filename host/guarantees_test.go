package host_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
)

const testLimit = 30 * time.Second

var _ = Describe("read-your-writes", func() {
	It("holds on every host while replicas lag, with and without a token", func(ctx SpecContext) {
		site, key := startSite(ctx, func(c *loopback.Config) {
			c.Database = func(id string, cfg *dbserver.Config) {
				if id == "orders-3" {
					cfg.Lag = 300 * time.Millisecond
				}
			}
		})
		conn := createOrders(ctx, site, key)
		for i := range 15 {
			_, err := conn.Exec(ctx, "/*request='order.place'*/ INSERT INTO orders VALUES ($1, 1)", fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			token := conn.PgConn().ParameterStatus("bronzeloft.token")
			Expect(token).NotTo(BeEmpty())
			for _, request := range []string{"order.read", "order.browse"} {
				Expect(countOrders(ctx, connect(ctx, site, i%3, key), request)).To(Equal(i + 1))
				withToken := connectURL(ctx, url(site, i%3, key)+"&bronzeloft.token="+token)
				Expect(countOrders(ctx, withToken, request)).To(Equal(i + 1))
			}
		}
	}, SpecTimeout(testLimit))

	It("refuses a token whose position is past the end of the log, instead of waiting for it", func(ctx SpecContext) {
		site, key := startSite(ctx)
		createOrders(ctx, site, key)
		// The token decodes to orders=1/9999, a position that does not exist.
		forged := connectURL(ctx, url(site, 0, key)+"&bronzeloft.token=b3JkZXJzPTEvOTk5OQ")
		_, err := forged.Exec(ctx, "/*request='order.read'*/ SELECT count(*) FROM orders")
		kind, notRun := refusal(err)
		Expect(kind).To(Equal("token_ahead"))
		Expect(notRun).To(BeTrue())
	}, SpecTimeout(testLimit))
})

var _ = Describe("acknowledgement", func() {
	It("is never given while replication from the primary is cut", func(ctx SpecContext) {
		site, key := startSite(ctx)
		conn := createOrders(ctx, site, key)
		for id, db := range site.Databases {
			if id != "orders-1" {
				db.SetReplicationCut(true)
			}
		}
		_, err := conn.Exec(ctx, "/*request='order.place'*/ INSERT INTO orders VALUES ('cut off', 1)")
		kind, notRun := refusal(err)
		Expect(kind).To(Equal("outcome_unknown"))
		Expect(notRun).To(BeFalse())
	}, SpecTimeout(testLimit))

	It("is not given by a frozen primary that was replaced, and a repeated request runs once", func(ctx SpecContext) {
		site, key := startSite(ctx)
		conn := createOrders(ctx, site, key)
		id := uuid.NewString()
		place := fmt.Sprintf("/*request='order.place',request_id='%s'*/ INSERT INTO orders VALUES ('%s', 1)", id, id)
		site.Databases["orders-1"].Freeze()
		_, err := conn.Exec(ctx, place)
		for err != nil && ctx.Err() == nil {
			conn = connect(ctx, site, 1, key)
			_, err = conn.Exec(ctx, place)
		}
		Expect(err).NotTo(HaveOccurred())
		site.Databases["orders-1"].Thaw()
		_, err = connect(ctx, site, 2, key).Exec(ctx, place)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() ([][]string, error) {
			return site.Databases["orders-1"].Query("SELECT count(*) FROM orders WHERE tiles = 1")
		}).WithTimeout(10 * time.Second).Should(Equal([][]string{{"1"}}))
	}, SpecTimeout(testLimit))
})

var _ = Describe("a request with an id", func() {
	It("runs once when sent through all hosts at the same time, and every caller gets its answer", func(ctx SpecContext) {
		site, key := startSite(ctx)
		createOrders(ctx, site, key)
		place := "/*request='order.place',request_id='one'*/ INSERT INTO orders VALUES ('one', 5) RETURNING tiles"
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				conn := connect(ctx, site, i%3, key)
				defer conn.Close(ctx)
				var tiles int
				Expect(conn.QueryRow(ctx, place).Scan(&tiles)).To(Succeed())
				Expect(tiles).To(Equal(5))
			}()
		}
		wg.Wait()
		Expect(countOrders(ctx, connect(ctx, site, 0, key), "order.read")).To(Equal(1))
	}, SpecTimeout(testLimit))

	It("is refused when its id was used with another statement", func(ctx SpecContext) {
		site, key := startSite(ctx)
		conn := createOrders(ctx, site, key)
		_, err := conn.Exec(ctx, "/*request='order.place',request_id='x'*/ INSERT INTO orders VALUES ('a', 1)")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "/*request='order.place',request_id='x'*/ INSERT INTO orders VALUES ('b', 1)")
		kind, notRun := refusal(err)
		Expect(kind).To(Equal("request_id_reused"))
		Expect(notRun).To(BeTrue())
	}, SpecTimeout(testLimit))

	It("gets answer_not_kept when an earlier attempt committed its transaction", func(ctx SpecContext) {
		site, key := startSite(ctx)
		conn := createOrders(ctx, site, key)
		begin := "/*request='order.place',request_id='tx'*/ BEGIN"
		for _, sql := range []string{begin, "INSERT INTO orders VALUES ('t', 1)", "COMMIT"} {
			_, err := conn.Exec(ctx, sql)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := connect(ctx, site, 1, key).Exec(ctx, begin)
		kind, _ := refusal(err)
		Expect(kind).To(Equal("answer_not_kept"))
	}, SpecTimeout(testLimit))

	It("can use its id again after the database rejected its statement", func(ctx SpecContext) {
		site, key := startSite(ctx)
		conn := createOrders(ctx, site, key)
		_, err := conn.Exec(ctx, "/*request_id='y'*/ INSERT INTO missing VALUES (1)")
		kind, _ := refusal(err)
		Expect(kind).NotTo(Equal("outcome_unknown"))
		_, err = conn.Exec(ctx, "/*request_id='y'*/ INSERT INTO orders VALUES ('y', 1)")
		Expect(err).NotTo(HaveOccurred())
	}, SpecTimeout(testLimit))
})

var _ = Describe("transactions", func() {
	It("roll back when their caller disconnects, without effect on later transactions", func(ctx SpecContext) {
		site, key := startSite(ctx)
		conn := createOrders(ctx, site, key)
		_, err := conn.Exec(ctx, "BEGIN")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "INSERT INTO orders VALUES ('mine', 1)")
		Expect(err).NotTo(HaveOccurred())
		conn.Close(ctx)
		other := connect(ctx, site, 0, key)
		Expect(countOrders(ctx, other, "order.read")).To(BeZero())
		tx, err := other.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "INSERT INTO orders VALUES ($1, $2)", "kept", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(countOrders(ctx, other, "order.read")).To(Equal(1))
	}, SpecTimeout(testLimit))

	It("roll back when their host stops", func(ctx SpecContext) {
		site, key := startSite(ctx)
		createOrders(ctx, site, key)
		conn := connect(ctx, site, 1, key)
		_, err := conn.Exec(ctx, "BEGIN; INSERT INTO orders VALUES ('lost', 1)")
		Expect(err).NotTo(HaveOccurred())
		site.Hosts[1].Close()
		other := connect(ctx, site, 2, key)
		_, err = other.Exec(ctx, "INSERT INTO orders VALUES ('kept', 1)")
		Expect(err).NotTo(HaveOccurred())
		Expect(countOrders(ctx, other, "order.read")).To(Equal(1))
	}, SpecTimeout(testLimit))
})

var _ = Describe("keys", func() {
	It("never reach a database, and are refused on open connections within 2 s of their withdrawal", func(ctx SpecContext) {
		var mu sync.Mutex
		var seen bytes.Buffer
		site, key := startSite(ctx, func(c *loopback.Config) {
			c.Database = func(_ string, cfg *dbserver.Config) {
				cfg.Tap = func(b []byte) {
					mu.Lock()
					seen.Write(b)
					mu.Unlock()
				}
			}
		})
		createOrders(ctx, site, key)
		conns := []*pgx.Conn{connect(ctx, site, 0, key), connect(ctx, site, 1, key), connect(ctx, site, 2, key)}
		for _, c := range conns {
			countOrders(ctx, c, "order.read")
		}
		withdrawn := time.Now()
		offer(ctx, site, func(s *contract.Snapshot) { s.Customers[0].Keys[0].Withdrawn = true })
		Expect(time.Since(withdrawn)).To(BeNumerically("<", 2*time.Second))
		for _, c := range conns {
			_, err := c.Exec(ctx, "/*request='order.read'*/ SELECT 1")
			kind, notRun := refusal(err)
			Expect(kind).To(Equal("key_withdrawn"))
			Expect(notRun).To(BeTrue())
		}
		_, err := pgx.Connect(ctx, url(site, 0, key))
		Expect(err).To(HaveOccurred())
		mu.Lock()
		defer mu.Unlock()
		Expect(seen.Len()).To(BeNumerically(">", 1000))
		Expect(bytes.Contains(seen.Bytes(), []byte(key))).To(BeFalse())
		_, secret, _ := bytes.Cut([]byte(key), []byte("."))
		Expect(bytes.Contains(seen.Bytes(), secret)).To(BeFalse())
	}, SpecTimeout(testLimit))

	It("are accepted only with the name of their customer; without a key only open requests run", func(ctx SpecContext) {
		site, key := startSite(ctx)
		createOrders(ctx, site, key)
		_, err := pgx.Connect(ctx, fmt.Sprintf("postgres://other:%s@%s/orders?sslmode=disable", key, site.Hosts[0].CallerAddr()))
		Expect(err).To(HaveOccurred())
		_, err = pgx.Connect(ctx, url(site, 0, key+"x"))
		Expect(err).To(HaveOccurred())
		keyless := connectURL(ctx, fmt.Sprintf("postgres://nobody:@%s/orders?sslmode=disable", site.Hosts[0].CallerAddr()))
		Expect(countOrders(ctx, keyless, "catalogue.read")).To(BeZero())
		_, err = keyless.Exec(ctx, "/*request='order.read'*/ SELECT count(*) FROM orders")
		kind, notRun := refusal(err)
		Expect(kind).To(Equal("bad_key"))
		Expect(notRun).To(BeTrue())
	}, SpecTimeout(testLimit))
})

var _ = Describe("rate and burst", func() {
	It("limit the requests of a customer on all hosts together", func(ctx SpecContext) {
		const rate, burst = 50, 30
		site, key := startSite(ctx, func(c *loopback.Config) {
			c.Snapshot.Customers[0].Rate = rate
			c.Snapshot.Customers[0].Burst = burst
		})
		start := time.Now()
		var mu sync.Mutex
		admitted := 0
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				conn := connect(ctx, site, i%3, key)
				defer conn.Close(ctx)
				for time.Since(start) < 2*time.Second {
					_, err := conn.Exec(ctx, "/*request='order.read'*/ SELECT 1")
					mu.Lock()
					if err == nil {
						admitted++
					}
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		took := time.Since(start).Seconds()
		Expect(admitted).To(BeNumerically("<=", burst+rate*took))
		Expect(admitted).To(BeNumerically(">=", rate*1.8))
	}, SpecTimeout(testLimit))
})

var _ = Describe("a leaving host", func() {
	It("cuts off no request while all hosts are replaced under load", func(ctx SpecContext) {
		site, key := startSite(ctx)
		createOrders(ctx, site, key)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var mu sync.Mutex
		acked, failures := 0, []string{}
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				n := orderUntil(ctx, site, key, i, stop, func(err error) {
					mu.Lock()
					failures = append(failures, err.Error())
					mu.Unlock()
				})
				mu.Lock()
				acked += n
				mu.Unlock()
			}()
		}
		for i := range 3 {
			Expect(site.ReplaceHost(ctx, i)).To(Succeed())
			Eventually(func() bool { return site.Hosts[i].Ready() }).WithTimeout(10 * time.Second).Should(BeTrue())
		}
		close(stop)
		wg.Wait()
		Expect(failures).To(BeEmpty())
		Expect(countOrders(ctx, connect(ctx, site, 0, key), "order.read")).To(Equal(acked))
	}, SpecTimeout(60*time.Second))
})

// orderUntil places orders through hosts that accept callers until stop is closed,
// and returns the number of acknowledged ones. The ids of the orders start with n.
// It reconnects after each error and passes errors other than the refusal of a
// leaving host to failed.
func orderUntil(ctx context.Context, site *loopback.Site, key string, n int, stop chan struct{}, failed func(error)) int {
	acked := 0
	for {
		conn, err := pgx.Connect(ctx, site.AnyURL(key))
		if ctx.Err() != nil {
			return acked // the spec has failed
		}
		if err != nil {
			continue
		}
		for i := 0; ; i++ {
			select {
			case <-stop:
				conn.Close(ctx)
				return acked
			default:
			}
			_, err := conn.Exec(ctx, "/*request='order.place'*/ INSERT INTO orders VALUES ($1, 1)", fmt.Sprintf("%d-%d", n, i))
			if err == nil {
				acked++
				continue
			}
			if kind, notRun := refusal(err); kind != "leaving" || !notRun {
				failed(err)
			}
			break
		}
		conn.Close(ctx)
	}
}

func url(site *loopback.Site, host int, key string) string {
	return fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable", key, site.Hosts[host].CallerAddr())
}

func connectURL(ctx context.Context, url string) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.Connect(ctx, url)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { conn.Close(context.Background()) })
	return conn
}

func countOrders(ctx context.Context, conn *pgx.Conn, request string) int {
	GinkgoHelper()
	var n int
	Expect(conn.QueryRow(ctx, "/*request='"+request+"'*/ SELECT count(*) FROM orders").Scan(&n)).To(Succeed())
	return n
}
