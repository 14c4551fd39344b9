package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
)

// Parameters of a worker.
const (
	workTimeout         = 8 * time.Second // of one unit of work
	reusesPerConnection = 8               // uses after the first, before a worker connects to a random host
	tokenName           = "bronzeloft.token"
	retryPause          = 5 * time.Millisecond
)

// worker simulates one caller.
type worker struct {
	cell       *cell
	name       string
	rnd        *rand.Rand
	conn       *pgx.Conn
	reusesLeft int // reuses of conn before the worker connects again
	seq        int
}

func (w *worker) run(until time.Time, work func(*worker)) {
	defer w.close()
	for time.Now().Before(until) {
		if w.ensureConnected() {
			work(w)
		}
	}
}

// ensureConnected reports whether the worker has a connection. It connects to a
// random host if there is none, or if the connection is closed or was reused
// reusesPerConnection times.
func (w *worker) ensureConnected() bool {
	if w.conn != nil && !w.conn.IsClosed() && w.reusesLeft > 0 {
		w.reusesLeft--
		return true
	}
	w.close()
	rig := w.cell.rig
	conn, err := rig.Connect(context.Background(), w.rnd.IntN(len(rig.Addresses)), rig.key)
	if err != nil {
		time.Sleep(retryPause)
		return false
	}
	w.conn, w.reusesLeft = conn, reusesPerConnection
	return true
}

func (w *worker) close() {
	if w.conn != nil {
		w.conn.Close(context.Background())
		w.conn = nil
	}
}

func (w *worker) workContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), workTimeout)
}

// nextID returns an id that no other order or read of the cell has.
func (w *worker) nextID() string {
	w.seq++
	return fmt.Sprintf("%s-%d", w.name, w.seq)
}

func (w *worker) token() string { return w.conn.PgConn().ParameterStatus(tokenName) }

// write places an order without a request id.
func (w *worker) write() { w.place(order{id: w.nextID(), parts: 1}) }

// writeWithRequestID places an order with a request id, in up to three attempts
// while its outcome is unknown, through any host.
func (w *worker) writeWithRequestID() {
	o := order{id: w.nextID(), parts: 1, retryable: true}
	for range 3 {
		if w.place(o) != unknown {
			return
		}
		if !w.ensureConnected() {
			return
		}
	}
}

// place sends an order once and returns the outcome known after that.
func (w *worker) place(o order) writeOutcome {
	if o.parts > 1 {
		return w.placeInTransaction(o)
	}
	ctx, cancel := w.workContext()
	defer cancel()
	tag := "request='order.place'"
	if o.retryable {
		tag += fmt.Sprintf(",request_id='%s'", o.id)
	}
	var got string
	err := w.conn.QueryRow(ctx, "/*"+tag+"*/ INSERT INTO orders VALUES ($1, 1) RETURNING id", o.id).Scan(&got)
	if err == nil && got != o.id {
		w.cell.oracle.addViolation("mixed: %s got the answer of %s", o.id, got)
	}
	o.token = w.token()
	return w.cell.oracle.recordAttempt(o, err)
}

// commit places an order of two rows in a transaction.
func (w *worker) commit() { w.place(order{id: w.nextID(), parts: 2}) }

// commitWithRequestID is commit with a request id and a second attempt if the
// outcome is unknown.
func (w *worker) commitWithRequestID() {
	o := order{id: w.nextID(), parts: 2, retryable: true}
	if w.place(o) == unknown && w.ensureConnected() {
		w.place(o)
	}
}

// placeInTransaction places an order in a transaction. The answer to COMMIT
// determines the outcome, or the answer to BEGIN if it says that an earlier attempt
// has committed. An attempt that fails otherwise counts as not run and is not
// recorded; if its transaction is still open, closing the connection rolls it back.
func (w *worker) placeInTransaction(o order) writeOutcome {
	ctx, cancel := w.workContext()
	defer cancel()
	begin := "/*request='order.place'*/ BEGIN"
	if o.retryable {
		begin = fmt.Sprintf("/*request='order.place',request_id='%s'*/ BEGIN", o.id)
	}
	if _, err := w.conn.Exec(ctx, begin); err != nil {
		if outcomeOf(err) != done {
			w.close()
			return notRun
		}
		return w.cell.oracle.recordAttempt(o, err) // an earlier attempt has committed
	}
	for part := range o.parts {
		_, err := w.conn.Exec(ctx, "/*request='order.place'*/ INSERT INTO orders VALUES ($1, $2)", o.id, fmt.Sprint(part))
		if err != nil {
			w.close()
			return notRun
		}
	}
	tag, err := w.conn.Exec(ctx, "/*request='order.place'*/ COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return notRun // the transaction had failed
	}
	o.token = w.token()
	if err != nil {
		defer w.close()
	}
	return w.cell.oracle.recordAttempt(o, err)
}

// readFresh reads back an acknowledged order, fresh and without a token.
func (w *worker) readFresh() {
	w.readBack("/*request='order.read'*/", w.cell.oracle.randomAcknowledged(w.rnd))
}

// readAged reads back an acknowledged order with the session token of its write, by
// a request that accepts aged data.
func (w *worker) readAged() {
	o := w.cell.oracle.randomAcknowledged(w.rnd)
	if o != nil {
		w.readBack(fmt.Sprintf("/*request='order.browse',token='%s'*/", o.token), o)
	}
}

// readInTransaction reads back an acknowledged order in a transaction, which it
// rolls back.
func (w *worker) readInTransaction() {
	o := w.cell.oracle.randomAcknowledged(w.rnd)
	ctx, cancel := w.workContext()
	defer cancel()
	if _, err := w.conn.Exec(ctx, "/*request='order.place'*/ BEGIN"); err != nil {
		w.close()
		return
	}
	w.readBack("/*request='order.place'*/", o)
	if w.conn == nil || w.conn.IsClosed() {
		return
	}
	if _, err := w.conn.Exec(ctx, "/*request='order.place'*/ ROLLBACK"); err != nil {
		w.close()
	}
}

// readBack reads the number of an order's rows and a value sent with the read, by
// which the oracle detects the answer to another read.
func (w *worker) readBack(tag string, o *order) {
	if o == nil {
		time.Sleep(retryPause)
		return
	}
	ctx, cancel := w.workContext()
	defer cancel()
	sent := w.nextID()
	var parts int
	var got string
	err := w.conn.QueryRow(ctx, tag+" SELECT count(*), $2 FROM orders WHERE id = $1", o.id, sent).Scan(&parts, &got)
	w.cell.oracle.checkRead(o, parts, sent, got, err)
}
