package host_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

// longQuery runs until it is cancelled or its deadline passes.
const longQuery = "/*request='order.read'*/ WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 2000000000) SELECT count(*) FROM c"

var _ = Describe("the wire protocol", Ordered, ContinueOnFailure, func() {
	var site *loopback.Site
	var key string
	BeforeAll(func(ctx SpecContext) {
		site, key = startSite(ctx)
		createOrders(ctx, site, key)
	})
	open := func(ctx context.Context) *pgx.Conn {
		GinkgoHelper()
		return connectURL(ctx, url(site, 0, key))
	}

	DescribeTable("serves a driver in each of its query modes", func(ctx SpecContext, mode pgx.QueryExecMode) {
		cfg, err := pgx.ParseConfig(url(site, 1, key))
		Expect(err).NotTo(HaveOccurred())
		cfg.DefaultQueryExecMode = mode
		conn, err := pgx.ConnectConfig(ctx, cfg)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close(ctx)
		id := "mode " + mode.String()
		for range 3 {
			_, err = conn.Exec(ctx, "INSERT INTO orders VALUES ($1, $2)", id, "7")
			Expect(err).NotTo(HaveOccurred())
		}
		var n string
		Expect(conn.QueryRow(ctx, "/*request='order.read'*/ SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n)).To(Succeed())
		Expect(n).To(Equal("3"))
		_, err = conn.Exec(ctx, "SELECT nothing FROM nowhere WHERE a = $1", "1")
		Expect(err).To(HaveOccurred())
		Expect(conn.Ping(ctx)).To(Succeed())
	},
		Entry("cached statements", pgx.QueryExecModeCacheStatement),
		Entry("cached descriptions", pgx.QueryExecModeCacheDescribe),
		Entry("describe and execute", pgx.QueryExecModeDescribeExec),
		Entry("execute", pgx.QueryExecModeExec),
		Entry("simple protocol", pgx.QueryExecModeSimpleProtocol),
	)

	It("serves a driver's connection pool", func(ctx SpecContext) {
		pool, err := pgxpool.New(ctx, url(site, 2, key))
		Expect(err).NotTo(HaveOccurred())
		defer pool.Close()
		results := make(chan error, 50)
		for i := range 50 {
			go func() {
				var got string
				err := pool.QueryRow(ctx, "/*request='order.read'*/ SELECT $1", fmt.Sprint(i)).Scan(&got)
				if err == nil && got != fmt.Sprint(i) {
					err = fmt.Errorf("got %s for %d", got, i)
				}
				results <- err
			}()
		}
		for range 50 {
			Expect(<-results).NotTo(HaveOccurred())
		}
	}, SpecTimeout(testLimit))

	It("keeps callers' prepared statements apart on shared connections", func(ctx SpecContext) {
		a, b := open(ctx), open(ctx)
		for range 3 {
			_, err := a.PgConn().Prepare(ctx, "s", "/*request='order.read'*/ SELECT 'a' || $1", nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = b.PgConn().Prepare(ctx, "s", "/*request='order.read'*/ SELECT 'b' || $1", nil)
			Expect(err).NotTo(HaveOccurred())
			for range 5 {
				Expect(execPrepared(ctx, a, "s", "1")).To(Equal("a1"))
				Expect(execPrepared(ctx, b, "s", "2")).To(Equal("b2"))
			}
		}
		_, err := a.PgConn().Prepare(ctx, "s", "/*request='order.read'*/ SELECT 'new' || $1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(execPrepared(ctx, a, "s", "1")).To(Equal("new1"))
		Expect(execPrepared(ctx, b, "s", "2")).To(Equal("b2"))
		Expect(a.PgConn().Deallocate(ctx, "s")).To(Succeed())
		res := a.PgConn().ExecPrepared(ctx, "s", [][]byte{[]byte("1")}, nil, nil).Read()
		kind, notRun := refusal(res.Err)
		Expect(kind).To(Equal("unknown_statement"))
		Expect(notRun).To(BeTrue())
		Expect(execPrepared(ctx, b, "s", "2")).To(Equal("b2"))
	}, SpecTimeout(testLimit))

	It("answers each statement of a batch, and aborts the batch at an error", func(ctx SpecContext) {
		conn := open(ctx)
		batch := &pgx.Batch{}
		batch.Queue("INSERT INTO orders VALUES ('batch', 1)")
		batch.Queue("SELECT $1", "two")
		batch.Queue("SELECT bad FROM nowhere")
		batch.Queue("INSERT INTO orders VALUES ('batch', 2)")
		results := conn.SendBatch(ctx, batch)
		_, err := results.Exec()
		Expect(err).To(HaveOccurred()) // the driver describes all statements first
		Expect(results.Close()).NotTo(Succeed())
		Expect(countOrdersWithID(ctx, conn, "batch")).To(BeZero())
		batch = &pgx.Batch{}
		for i := range 20 {
			batch.Queue("INSERT INTO orders VALUES ('batch', $1) RETURNING tiles", fmt.Sprint(i))
		}
		answers := conn.SendBatch(ctx, batch)
		for i := range 20 {
			var got string
			Expect(answers.QueryRow().Scan(&got)).To(Succeed())
			Expect(got).To(Equal(fmt.Sprint(i)))
		}
		Expect(answers.Close()).To(Succeed())
		Expect(countOrdersWithID(ctx, conn, "batch")).To(Equal(20))
	}, SpecTimeout(testLimit))

	It("rolls back the statements before an error in the same batch", func(ctx SpecContext) {
		raw := dialRaw(ctx, site, 0, key)
		raw.send(parseBindExecute("INSERT INTO orders VALUES ('undone', 1)")...)
		raw.send(parseBindExecute("INSERT INTO nowhere VALUES (1)")...)
		raw.send(parseBindExecute("INSERT INTO orders VALUES ('undone', 2)")...)
		raw.send(&pgproto3.Sync{})
		Expect(raw.untilReady()).To(ContainElement(BeAssignableToTypeOf(&pgproto3.ErrorResponse{})))
		Expect(countOrdersWithID(ctx, open(ctx), "undone")).To(BeZero())
	}, SpecTimeout(testLimit))

	It("runs several statements of one query, an empty query and a lone Sync", func(ctx SpecContext) {
		conn := open(ctx)
		results, err := conn.PgConn().Exec(ctx, "SELECT 1; SELECT 2; ; SELECT 3").ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveLen(3))
		Expect(string(results[2].Rows[0][0])).To(Equal("3"))
		for _, empty := range []string{"", " ; ", "/* nothing */ -- at all"} {
			_, err = conn.PgConn().Exec(ctx, empty).ReadAll()
			Expect(err).NotTo(HaveOccurred())
		}
		raw := dialRaw(ctx, site, 0, key)
		raw.send(&pgproto3.Sync{})
		Expect(raw.untilReady()).NotTo(ContainElement(BeAssignableToTypeOf(&pgproto3.ErrorResponse{})))
	}, SpecTimeout(testLimit))

	It("serves a pipeline without Flush, and refuses Flush as not supported", func(ctx SpecContext) {
		raw := dialRaw(ctx, site, 0, key)
		for range 3 {
			raw.send(parseBindExecute("/*request='order.read'*/ SELECT 'p'")...)
			raw.send(&pgproto3.Sync{})
		}
		for range 3 {
			Expect(raw.untilReady()).To(ContainElement(BeAssignableToTypeOf(&pgproto3.DataRow{})))
		}
		raw.send(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Flush{})
		msg, err := raw.front.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(msg.(*pgproto3.ErrorResponse).ConstraintName).To(Equal("not_supported"))
		raw.send(&pgproto3.Sync{})
		Expect(raw.untilReady()).To(HaveLen(1))
		Expect(open(ctx).Ping(ctx)).To(Succeed())
	}, SpecTimeout(testLimit))

	It("cancels only the statement of the connection that the cancel request identifies", func(ctx SpecContext) {
		a, b := open(ctx), open(ctx)
		aEnded := make(chan error, 2)
		go func() {
			_, err := a.Exec(ctx, longQuery)
			aEnded <- err
		}()
		bEnded := make(chan error, 1)
		_, err := b.Exec(ctx, "BEGIN") // the stand-in runs reads outside transactions one at a time
		Expect(err).NotTo(HaveOccurred())
		go func() {
			_, err := b.Exec(ctx, longQuery)
			bEnded <- err
		}()
		Consistently(aEnded).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
		cancelRaw(ctx, site, &pgproto3.CancelRequest{ProcessID: a.PgConn().PID(), SecretKey: []byte{1, 2, 3, 4}})
		Consistently(aEnded).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		Expect(a.PgConn().CancelRequest(ctx)).To(Succeed())
		Eventually(aEnded).WithTimeout(2 * time.Second).Should(Receive(&err))
		var pe *pgconn.PgError
		Expect(errors.As(err, &pe)).To(BeTrue())
		Expect(pe.Code).To(Equal("57014"))
		Consistently(bEnded).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		Expect(b.PgConn().CancelRequest(ctx)).To(Succeed())
		Eventually(bEnded).WithTimeout(2 * time.Second).Should(Receive())
		_, err = b.Exec(ctx, "ROLLBACK")
		Expect(err).NotTo(HaveOccurred())
		for range 20 {
			Expect(a.Ping(ctx)).To(Succeed())
			Expect(countOrders(ctx, b, "order.read")).To(BeNumerically(">=", 0))
		}
	}, SpecTimeout(testLimit))

	It("serves COPY in and out as simple queries", func(ctx SpecContext) {
		conn := open(ctx)
		_, err := conn.PgConn().CopyFrom(ctx, strings.NewReader("copied\t1\ncopied\t2\n"), "COPY orders FROM STDIN")
		Expect(err).NotTo(HaveOccurred())
		Expect(countOrdersWithID(ctx, conn, "copied")).To(Equal(2))
		var out bytes.Buffer
		_, err = conn.PgConn().CopyTo(ctx, &out, "COPY (SELECT id, tiles FROM orders WHERE id = 'copied' ORDER BY tiles) TO STDOUT")
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(Equal("copied\t1\ncopied\t2\n"))
		_, err = conn.PgConn().CopyFrom(ctx, failingReader{}, "COPY orders FROM STDIN")
		Expect(err).To(HaveOccurred())
		Expect(countOrdersWithID(ctx, conn, "copied")).To(Equal(2))
		_, err = conn.Exec(ctx, "COPY orders TO STDOUT; SELECT 1")
		kind, _ := refusal(err)
		Expect(kind).To(Equal("not_supported"))
	}, SpecTimeout(testLimit))

	DescribeTable("refuses session state outside a transaction, however the statement is written", func(ctx SpecContext, sql string, kind string) {
		conn := open(ctx)
		_, err := conn.PgConn().Exec(ctx, sql).ReadAll()
		got, notRun := refusal(err)
		Expect(got).To(Equal(kind))
		Expect(notRun).To(BeTrue())
		Expect(conn.Ping(ctx)).To(Succeed())
	},
		Entry("SET", "SET search_path TO evil", "session_state"),
		Entry("SET SESSION", "set session search_path = evil", "session_state"),
		Entry("second statement", "SELECT 1; SET search_path TO evil", "session_state"),
		Entry("in a transaction block of one query", "BEGIN; SET search_path TO evil; COMMIT", "session_state"),
		Entry("behind a nested comment", "/* /* */ ; */ SET search_path TO evil", "session_state"),
		Entry("behind an escape string", `SELECT E'\'; --'; SET search_path TO evil`, "session_state"),
		Entry("behind a continued escape string", "SELECT E'a'\n'\\''; SET search_path TO evil; SELECT E'b'\n'\\''", "session_state"),
		Entry("behind dollar signs in a name", "SELECT 1 AS a$x$; SET search_path TO evil; SELECT 2 AS b$x$", "session_state"),
		Entry("tagged as a read request", "/*request='order.read'*/ SET search_path TO evil", "session_state"),
		Entry("set_config", "SELECT set_config('search_path', 'evil', false)", "session_state"),
		Entry("quoted set_config", `SELECT "set_config"('search_path', 'evil', false)`, "session_state"),
		Entry("advisory lock", "SELECT pg_advisory_lock(1)", "session_state"),
		Entry("temporary table", "CREATE TEMP TABLE t (a INT)", "session_state"),
		Entry("temporary view", "CREATE OR REPLACE TEMP VIEW t AS SELECT 1", "session_state"),
		Entry("SELECT INTO a temporary table", "SELECT 1 AS a INTO TEMPORARY t", "session_state"),
		Entry("PREPARE", "PREPARE p AS SELECT 1", "session_state"),
		Entry("DECLARE", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "session_state"),
		Entry("LISTEN", "LISTEN x", "not_supported"),
	)

	It("refuses session state anywhere in an extended batch", func(ctx SpecContext) {
		raw := dialRaw(ctx, site, 0, key)
		raw.send(parseBindExecute("/*request='order.read'*/ SELECT 1")...)
		raw.send(parseBindExecute("SET search_path TO evil")...)
		raw.send(&pgproto3.Sync{})
		Expect(raw.errorKind()).To(Equal("session_state"))
	}, SpecTimeout(testLimit))

	It("never lets session state reach another caller", func(ctx SpecContext) {
		conn := open(ctx)
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "SET search_path TO evil")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		tx, err = conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "SET LOCAL search_path TO mine")
		Expect(err).NotTo(HaveOccurred())
		var shown string
		Expect(tx.QueryRow(ctx, "SHOW search_path").Scan(&shown)).To(Succeed())
		Expect(shown).To(Equal("mine"))
		Expect(tx.Commit(ctx)).To(Succeed())
		for range 20 {
			Expect(open(ctx).QueryRow(ctx, "SHOW search_path").Scan(&shown)).To(Succeed())
			Expect(shown).NotTo(Or(Equal("evil"), Equal("mine")))
		}
	}, SpecTimeout(testLimit))

	It("treats a write as a write even if it is tagged as a read request", func(ctx SpecContext) {
		conn := open(ctx)
		_, err := conn.Exec(ctx, "/*request='order.read'*/ INSERT INTO orders VALUES ('misnamed', 1)")
		Expect(err).NotTo(HaveOccurred())
		Expect(countOrdersWithID(ctx, conn, "misnamed")).To(Equal(1))
		nobody := fmt.Sprintf("postgres://nobody:@%s/orders?sslmode=disable", site.Hosts[0].CallerAddr())
		_, err = connectURL(ctx, nobody).Exec(ctx, "/*request='catalogue.read'*/ INSERT INTO orders VALUES ('misnamed', 1)")
		kind, _ := refusal(err)
		Expect(kind).To(Equal("bad_key"))
		raw := dialRawAs(ctx, site, 0, "nobody", "")
		raw.send(parseBindExecute("/*request='catalogue.read'*/ SELECT 1")...)
		raw.send(parseBindExecute("INSERT INTO orders VALUES ('misnamed', 2)")...)
		raw.send(&pgproto3.Sync{})
		Expect(raw.errorKind()).To(Equal("bad_key"))
		Expect(countOrdersWithID(ctx, conn, "misnamed")).To(Equal(1))
	}, SpecTimeout(testLimit))

	It("passes on a result of several megabytes completely", func(ctx SpecContext) {
		// Wide rows: the stand-in's time goes by rows, many times slower with the race detector.
		const rows, width = 1_000, 8_000
		conn := open(ctx)
		text := strings.Repeat("y", width)
		sql := fmt.Sprintf("/*request='order.read'*/ WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < %d) SELECT x, '%s' FROM c", rows, text)
		results, err := conn.PgConn().Exec(ctx, sql).ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(results[0].Rows).To(HaveLen(rows))
		for i, row := range results[0].Rows {
			if string(row[0]) != fmt.Sprint(i+1) || string(row[1]) != text {
				Fail(fmt.Sprintf("row %d is %s", i, row))
			}
		}
	}, SpecTimeout(testLimit))

	It("refuses only the caller that prepares 1200 statements", func(ctx SpecContext) {
		raw := dialRaw(ctx, site, 0, key)
		for i := range 1200 {
			raw.send(&pgproto3.Parse{Name: fmt.Sprint(i), Query: fmt.Sprintf("/*request='order.read'*/ SELECT %d", i)})
		}
		raw.send(&pgproto3.Sync{})
		Expect(raw.errorKind()).To(Equal("too_large"))
		Expect(open(ctx).Ping(ctx)).To(Succeed())
	}, SpecTimeout(testLimit))

	DescribeTable("closes only the connection of a caller that violates the protocol",
		func(ctx SpecContext, garbage []byte) {
			neighbour := open(ctx)
			raw := dialRaw(ctx, site, 0, key)
			raw.conn.Write(garbage)
			Expect(raw.errorKind()).To(Equal("protocol"))
			_, err := io.Copy(io.Discard, raw.conn)
			var ne net.Error
			Expect(errors.As(err, &ne) && ne.Timeout()).To(BeFalse())
			Expect(neighbour.Ping(ctx)).To(Succeed())
		},
		Entry("unknown message", []byte{'~', 0, 0, 0, 4}),
		Entry("length smaller than the length field", []byte{'Q', 0, 0, 0, 1}),
		Entry("huge message", []byte{'Q', 0x7f, 0, 0, 0}),
		Entry("truncated Bind", []byte{'B', 0, 0, 0, 6, 0, 0}),
	)

	It("serves other callers while 40 callers do not read their results", func(ctx SpecContext) {
		sql := "/*request='order.read'*/ WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x+1 FROM c WHERE x < 60000) SELECT '" + strings.Repeat("y", 200) + "' FROM c"
		for range 40 {
			raw := dialRaw(ctx, site, 0, key)
			Expect(raw.conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
			raw.send(&pgproto3.Query{String: sql})
		}
		conn := open(ctx)
		Eventually(func() error {
			_, err := conn.Exec(ctx, "/*request='order.read'*/ SELECT 1")
			return err
		}).WithTimeout(12 * time.Second).Should(Succeed())
		start := time.Now()
		Expect(conn.Ping(ctx)).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically("<", 6*time.Second))
	}, SpecTimeout(testLimit))
})

// failingReader is the input of a COPY that its caller aborts.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("copy aborted by the caller") }

func execPrepared(ctx context.Context, conn *pgx.Conn, name, arg string) string {
	GinkgoHelper()
	res := conn.PgConn().ExecPrepared(ctx, name, [][]byte{[]byte(arg)}, nil, nil).Read()
	Expect(res.Err).NotTo(HaveOccurred())
	return string(res.Rows[0][0])
}

func countOrdersWithID(ctx context.Context, conn *pgx.Conn, id string) int {
	GinkgoHelper()
	var n int
	Expect(conn.QueryRow(ctx, "/*request='order.read'*/ SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n)).To(Succeed())
	return n
}
