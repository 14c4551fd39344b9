package live

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
)

// fate is what the caller was told of a write.
type fate uint8

const (
	unknown fate = iota // may or may not have run
	notRun
	done
)

// fateOf reads a write's fate from its answer. Anything but a clear refusal
// counts as unknown.
func fateOf(err error) fate {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return done
	case !errors.As(err, &pe) || !strings.HasPrefix(pe.Message, "bronzeloft: "):
		return unknown
	case strings.HasPrefix(pe.Detail, "not run"):
		return notRun
	case strings.HasPrefix(pe.Detail, "done"):
		return done
	}
	return unknown
}

// order is one write of a cell.
type order struct {
	id    string
	parts int // rows that it makes
	fate  fate
	once  bool   // carries its id as request id, and may be tried again
	token string // after its acknowledgement
}

// recentOrders is how many of the last acknowledged orders are read back.
const recentOrders = 16

// oracle knows what callers were told in one cell.
type oracle struct {
	mu     sync.Mutex // guards all below
	orders map[string]*order
	recent []*order // acknowledged, newest last
	broken []string // promises that were seen broken
	reads  int      // answered
	errors map[string]int
}

func newOracle() *oracle {
	return &oracle{orders: map[string]*order{}, errors: map[string]int{}}
}

// wrote notes one try of an order. An order that was tried before keeps an
// unknown fate until a try is acknowledged.
func (o *oracle) wrote(w order, err error) fate {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := fateOf(err)
	o.count(err)
	old := o.orders[w.id]
	if old == nil {
		w.fate = f
		o.orders[w.id] = &w
		old = &w
	} else if f == done {
		old.fate, old.token = done, w.token
	}
	if f == done {
		o.recent = append(o.recent, old)
		if len(o.recent) > recentOrders {
			o.recent = o.recent[1:]
		}
	}
	return old.fate
}

// acknowledged returns a recent acknowledged order, nil for none.
func (o *oracle) acknowledged(rnd *rand.Rand) *order {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) == 0 {
		return nil
	}
	w := *o.recent[rnd.IntN(len(o.recent))]
	return &w
}

// read judges the answer to a read of an acknowledged order.
func (o *oracle) read(w *order, parts int, sent, got string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.count(err)
		return
	}
	o.reads++
	if sent != got {
		o.broken = append(o.broken, fmt.Sprintf("mixed: %s got the answer of %s", sent, got))
	}
	if parts != w.parts {
		o.broken = append(o.broken, fmt.Sprintf("stale: read saw %d of %d rows of acknowledged %s", parts, w.parts, w.id))
	}
}

// breach notes a broken promise.
func (o *oracle) breach(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

// count counts an error by its kind. mu is held.
func (o *oracle) count(err error) {
	if err == nil {
		return
	}
	name := "connection"
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		name = pe.Code + " " + pe.ConstraintName
	}
	o.errors[name]++
}

// open returns the orders that may be tried again and are not yet done.
func (o *oracle) open() []order {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []order
	for _, w := range o.orders {
		if w.once && w.fate == unknown {
			list = append(list, *w)
		}
	}
	return list
}

// judge compares what callers were told with the rows that the primary holds.
func (o *oracle) judge(rows map[string]int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.broken
	for id, w := range o.orders {
		n := rows[id]
		switch {
		case w.fate == done && n < w.parts:
			all = append(all, fmt.Sprintf("lost: acknowledged %s has %d of %d rows", id, n, w.parts))
		case n > w.parts:
			all = append(all, fmt.Sprintf("doubled: %s has %d of %d rows", id, n, w.parts))
		case w.fate == notRun && n > 0:
			all = append(all, fmt.Sprintf("ran: %s was refused as not run and has %d rows", id, n))
		case n != 0 && n != w.parts:
			all = append(all, fmt.Sprintf("torn: %s has %d of %d rows", id, n, w.parts))
		}
		delete(rows, id)
	}
	for id := range rows {
		all = append(all, "unasked: "+id)
	}
	return all
}
