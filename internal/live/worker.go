package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
)

// Limits of a worker.
const (
	workLimit       = 8 * time.Second // of one piece of work
	requestsPerHost = 8               // before a worker moves on to another host
	tokenName       = "bronzeloft.token"
	retryPause      = 5 * time.Millisecond
)

// worker is one caller.
type worker struct {
	cell *cell
	name string
	rnd  *rand.Rand
	conn *pgx.Conn
	left int // requests before it moves on
	seq  int
}

func (w *worker) run(until time.Time, work func(*worker)) {
	defer w.close()
	for time.Now().Before(until) {
		if w.connected() {
			work(w)
		}
	}
}

// connected makes sure of a connection, to any host.
func (w *worker) connected() bool {
	if w.conn != nil && !w.conn.IsClosed() && w.left > 0 {
		w.left--
		return true
	}
	w.close()
	rig := w.cell.rig
	conn, err := rig.Connect(context.Background(), w.rnd.IntN(len(rig.Addresses)), rig.key)
	if err != nil {
		time.Sleep(retryPause)
		return false
	}
	w.conn, w.left = conn, requestsPerHost
	return true
}

func (w *worker) close() {
	if w.conn != nil {
		w.conn.Close(context.Background())
		w.conn = nil
	}
}

func (w *worker) limit() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), workLimit)
}

// next returns a name that no other order has.
func (w *worker) next() string {
	w.seq++
	return fmt.Sprintf("%s-%d", w.name, w.seq)
}

func (w *worker) token() string { return w.conn.PgConn().ParameterStatus(tokenName) }

// write places an order with no request id.
func (w *worker) write() { w.place(order{id: w.next(), parts: 1}) }

// writeOnce places an order with a request id, and tries it again through any
// host while its outcome is unknown.
func (w *worker) writeOnce() {
	o := order{id: w.next(), parts: 1, once: true}
	for range 3 {
		if w.place(o) != unknown {
			return
		}
		if !w.connected() {
			return
		}
	}
}

// place sends an order once and returns what is then known of it.
func (w *worker) place(o order) fate {
	if o.parts > 1 {
		return w.transact(o)
	}
	ctx, cancel := w.limit()
	defer cancel()
	tag := "request='order.place'"
	if o.once {
		tag += fmt.Sprintf(",request_id='%s'", o.id)
	}
	var got string
	err := w.conn.QueryRow(ctx, "/*"+tag+"*/ INSERT INTO orders VALUES ($1, 1) RETURNING id", o.id).Scan(&got)
	if err == nil && got != o.id {
		w.cell.oracle.breach("mixed: %s got the answer of %s", o.id, got)
	}
	o.token = w.token()
	return w.cell.oracle.wrote(o, err)
}

// commit places an order of two rows in a transaction.
func (w *worker) commit() { w.place(order{id: w.next(), parts: 2}) }

// commitOnce is commit with a request id.
func (w *worker) commitOnce() {
	o := order{id: w.next(), parts: 2, once: true}
	if w.place(o) == unknown && w.connected() {
		w.place(o)
	}
}

// transact runs an order's transaction. Only what follows COMMIT decides its
// fate: the transaction of an error before is rolled back.
func (w *worker) transact(o order) fate {
	ctx, cancel := w.limit()
	defer cancel()
	begin := "/*request='order.place'*/ BEGIN"
	if o.once {
		begin = fmt.Sprintf("/*request='order.place',request_id='%s'*/ BEGIN", o.id)
	}
	if _, err := w.conn.Exec(ctx, begin); err != nil {
		if fateOf(err) != done {
			w.close()
			return notRun
		}
		return w.cell.oracle.wrote(o, err) // its first try committed
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
	return w.cell.oracle.wrote(o, err)
}

// readFresh reads an acknowledged order back with no token.
func (w *worker) readFresh() {
	w.look("/*request='order.read'*/", w.cell.oracle.acknowledged(w.rnd))
}

// readAged reads one back where an age is accepted, with its writer's token.
func (w *worker) readAged() {
	o := w.cell.oracle.acknowledged(w.rnd)
	if o != nil {
		w.look(fmt.Sprintf("/*request='order.browse',token='%s'*/", o.token), o)
	}
}

// readInTransaction reads one back between BEGIN and COMMIT.
func (w *worker) readInTransaction() {
	o := w.cell.oracle.acknowledged(w.rnd)
	ctx, cancel := w.limit()
	defer cancel()
	if _, err := w.conn.Exec(ctx, "/*request='order.place'*/ BEGIN"); err != nil {
		w.close()
		return
	}
	w.look("/*request='order.place'*/", o)
	if w.conn == nil || w.conn.IsClosed() {
		return
	}
	if _, err := w.conn.Exec(ctx, "/*request='order.place'*/ ROLLBACK"); err != nil {
		w.close()
	}
}

// look reads an order's rows and a value of its own.
func (w *worker) look(tag string, o *order) {
	if o == nil {
		time.Sleep(retryPause)
		return
	}
	ctx, cancel := w.limit()
	defer cancel()
	sent := w.next()
	var parts int
	var got string
	err := w.conn.QueryRow(ctx, tag+" SELECT count(*), $2 FROM orders WHERE id = $1", o.id, sent).Scan(&parts, &got)
	w.cell.oracle.read(o, parts, sent, got, err)
}
