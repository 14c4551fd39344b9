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

// requestsPerHost is how many requests a shop sends through one host before it
// moves on.
const requestsPerHost = 5

// load counts what shops saw.
type load struct {
	trial *Trial

	mu       sync.Mutex // guards all below
	result   Result
	orders   map[string]bool // true when acknowledged, false when unknown
	killedAt time.Time
	lastAck  time.Time
	gap      time.Duration // longest time without an acknowledged write after the kill
}

func newLoad(t *Trial) *load { return &load{trial: t, orders: map[string]bool{}} }

func (l *load) killed(at time.Time) {
	l.mu.Lock()
	l.killedAt = at
	l.mu.Unlock()
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result.Requests
}

// shop orders and looks up until ctx ends, through changing hosts and with no
// session token, so that only the proxy can make it read its own writes.
func (l *load) shop(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(uint64(n), 1))
	for ctx.Err() == nil {
		conn, err := l.trial.connect(ctx, rnd.IntN(len(l.trial.Site.Hosts)))
		if err != nil {
			continue
		}
		for range requestsPerHost {
			l.visit(ctx, conn, rnd)
		}
		conn.Close(context.Background())
	}
}

// visit places one order on conn and looks it up through another host.
func (l *load) visit(ctx context.Context, conn *pgx.Conn, rnd *rand.Rand) {
	id := uuid.NewString()
	if !l.place(ctx, conn, id) {
		return
	}
	other, err := l.trial.connect(ctx, rnd.IntN(len(l.trial.Site.Hosts)))
	if err != nil {
		return
	}
	defer other.Close(context.Background())
	l.lookUp(ctx, other, id)
}

// place orders once, trying again with the same request id while the outcome
// is unknown, and reports whether the order was acknowledged.
func (l *load) place(ctx context.Context, conn *pgx.Conn, id string) bool {
	sql := fmt.Sprintf("/*request='order.place',request_id='%s'*/ INSERT INTO orders (id, tiles) VALUES ($1, $2)", id)
	for {
		_, err := conn.Exec(ctx, sql, id, 12)
		l.placed(ctx, id, err)
		if err == nil {
			return true
		}
		if !unknown(err) || conn.IsClosed() || ctx.Err() != nil {
			return false
		}
	}
}

func (l *load) placed(ctx context.Context, id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	if err == nil {
		l.orders[id] = true
		l.result.Acknowledged++
		l.acknowledged(time.Now())
		return
	}
	if ctx.Err() != nil {
		l.orders[id] = false
		return
	}
	if unknown(err) {
		l.orders[id] = false
		l.result.Unknown++
		return
	}
	l.result.Refused++
}

// acknowledged notes the time of an acknowledged write. mu is held.
func (l *load) acknowledged(now time.Time) {
	if !l.killedAt.IsZero() {
		l.gap = max(l.gap, now.Sub(l.lastAck))
	}
	l.lastAck = now
}

// lookUp reads an acknowledged order back.
func (l *load) lookUp(ctx context.Context, conn *pgx.Conn, id string) {
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

// unknown reports whether the caller cannot know if its request ran.
func unknown(err error) bool {
	var pe *pgconn.PgError
	return !errors.As(err, &pe) || pe.Code == "08007" || pe.Code == "XX000"
}

// judge reads back what the databases hold.
func (l *load) judge() (Result, error) {
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

// finalRows counts the orders by id on the last primary.
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
			return nil, eris.Wrap(err, "read back")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (t *Trial) connect(ctx context.Context, host int) (*pgx.Conn, error) {
	return pgx.Connect(ctx, t.ConnectionString(host))
}

// ConnectionString is what a driver or psql connects to the given host with.
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
