package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// ordersPerConnection is the number of orders that a shop places on one connection
// before it connects again, to a host chosen at random.
const ordersPerConnection = 5

// load runs the shops, which are the trial's callers, and counts their results.
type load struct {
	trial *Trial

	mu       sync.Mutex // guards the fields below
	result   Result
	orders   map[string]bool // by id; true when acknowledged, false when the outcome is unknown
	killedAt time.Time
	lastAck  time.Time
	gap      time.Duration // longest time between two acknowledged writes, the second one after the kill
}

func newLoad(t *Trial) *load { return &load{trial: t, orders: map[string]bool{}} }

func (l *load) recordKill(at time.Time) {
	l.mu.Lock()
	l.killedAt = at
	l.mu.Unlock()
}

func (l *load) requestCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result.Requests
}

// runShop places orders and reads them back until ctx ends. It changes hosts and
// sends no session token, so that the proxy alone has to make a read see the order
// placed before it.
func (l *load) runShop(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(uint64(n), 1))
	for ctx.Err() == nil {
		conn, err := l.trial.connect(ctx, rnd.IntN(len(l.trial.Site.Hosts)))
		if err != nil {
			continue
		}
		for range ordersPerConnection {
			l.placeAndRead(ctx, conn, rnd)
		}
		conn.Close(context.Background())
	}
}

// placeAndRead places one order on conn and reads it back on another connection, to
// a host chosen at random.
func (l *load) placeAndRead(ctx context.Context, conn *pgx.Conn, rnd *rand.Rand) {
	id := uuid.NewString()
	if !l.place(ctx, conn, id) {
		return
	}
	other, err := l.trial.connect(ctx, rnd.IntN(len(l.trial.Site.Hosts)))
	if err != nil {
		return
	}
	defer other.Close(context.Background())
	l.readBack(ctx, other, id)
}

// place sends one order and reports whether it was acknowledged. While the outcome
// is unknown and the connection is open, it retries with the same request id.
func (l *load) place(ctx context.Context, conn *pgx.Conn, id string) bool {
	sql := fmt.Sprintf("/*request='order.place',request_id='%s'*/ INSERT INTO orders (id, tiles) VALUES ($1, $2)", id)
	for {
		_, err := conn.Exec(ctx, sql, id, 12)
		l.recordPlaced(ctx, id, err)
		if err == nil {
			return true
		}
		if !outcomeUnknown(err) || conn.IsClosed() || ctx.Err() != nil {
			return false
		}
	}
}

// recordPlaced counts one attempt of an order. If the end of ctx interrupted it, its
// outcome counts as unknown, but not in Result.Unknown.
func (l *load) recordPlaced(ctx context.Context, id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	if err == nil {
		l.orders[id] = true
		l.result.Acknowledged++
		l.recordAcknowledged(time.Now())
		return
	}
	if ctx.Err() != nil {
		l.orders[id] = false
		return
	}
	if outcomeUnknown(err) {
		l.orders[id] = false
		l.result.Unknown++
		return
	}
	l.result.Refused++
}

// recordAcknowledged records the time of an acknowledged write. mu must be held.
func (l *load) recordAcknowledged(now time.Time) {
	if !l.killedAt.IsZero() {
		l.gap = max(l.gap, now.Sub(l.lastAck))
	}
	l.lastAck = now
}

// readBack reads an acknowledged order back.
func (l *load) readBack(ctx context.Context, conn *pgx.Conn, id string) {
	var n int
	err := conn.QueryRow(ctx, "/*request='order.show'*/ SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n)
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	l.result.Reads++
	switch {
	case err != nil:
		l.result.Refused++
	case n == 0:
		l.result.Stale++
	}
}

// outcomeUnknown reports whether err leaves open whether the request ran: an error
// without an SQLSTATE, such as a lost connection, 08007 (transaction resolution
// unknown) or XX000 (internal error).
func outcomeUnknown(err error) bool {
	var pe *pgconn.PgError
	return !errors.As(err, &pe) || pe.Code == "08007" || pe.Code == "XX000"
}

// verify compares the orders that the shops placed with the rows that the last
// primary holds.
func (l *load) verify() (Result, error) {
	rows, err := l.trial.finalRows()
	if err != nil {
		return Result{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, acknowledged := range l.orders {
		switch n := rows[id]; {
		case n == 0 && acknowledged:
			l.result.Lost++
		case n > 1:
			l.result.Doubled++
		}
	}
	l.result.FailoverGap = l.gap
	return l.result, nil
}

// finalRows returns the number of rows of each order id on the last primary. It
// retries for settleLimit, because a promotion may still be under way.
func (t *Trial) finalRows() (map[string]int, error) {
	deadline := time.Now().Add(settleLimit)
	for {
		data, err := t.Site.Databases[t.primary()].Query("SELECT id, count(*) FROM orders GROUP BY id")
		if err == nil {
			rows := map[string]int{}
			for _, r := range data {
				rows[r[0]], _ = strconv.Atoi(r[1])
			}
			return rows, nil
		}
		if time.Now().After(deadline) {
			return nil, eris.Wrap(err, "read orders back from the primary")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (t *Trial) connect(ctx context.Context, host int) (*pgx.Conn, error) {
	return pgx.Connect(ctx, t.ConnectionString(host))
}

// ConnectionString returns the URL with which a driver or psql connects to the
// given host.
func (t *Trial) ConnectionString(host int) string {
	return fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable", t.Key, t.Site.Hosts[host].CallerAddr())
}

func (t *Trial) createTable(ctx context.Context) error {
	conn, err := t.connect(ctx, 0)
	if err != nil {
		return eris.Wrap(err, "connect")
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id TEXT, tiles INTEGER)")
	return eris.Wrap(err, "create table")
}
