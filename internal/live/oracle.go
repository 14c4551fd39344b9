package live

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
)

// writeOutcome is the outcome of a write according to the answer to its caller.
type writeOutcome uint8

const (
	unknown writeOutcome = iota // may or may not have run
	notRun
	done
)

// outcomeOf returns the outcome of a write that the answer states. An error that
// does not state the outcome counts as unknown.
func outcomeOf(err error) writeOutcome {
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

// order is one write of a cell, an order of the test shop.
type order struct {
	id        string
	parts     int // number of rows that it inserts
	outcome   writeOutcome
	retryable bool   // carries its id as request id, so that it may be retried
	token     string // session token received with its acknowledgement
}

// recentOrders is the number of latest acknowledged orders from which reads
// choose.
const recentOrders = 16

// oracle records the answers that callers of one cell received, and checks them
// against the guarantees.
type oracle struct {
	mu         sync.Mutex // guards the fields below
	orders     map[string]*order
	recent     []*order // acknowledged, newest last
	violations []string // violations found so far
	reads      int      // number of answered reads
	errors     map[string]int
}

func newOracle() *oracle {
	return &oracle{orders: map[string]*order{}, errors: map[string]int{}}
}

// recordAttempt records one attempt of an order and returns the order's outcome.
// After the first attempt, the outcome changes only if an attempt is acknowledged:
// a later refusal says nothing about an earlier attempt of unknown outcome.
func (o *oracle) recordAttempt(ord order, err error) writeOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome := outcomeOf(err)
	o.countError(err)
	old := o.orders[ord.id]
	if old == nil {
		ord.outcome = outcome
		o.orders[ord.id] = &ord
		old = &ord
	} else if outcome == done {
		old.outcome, old.token = done, ord.token
	}
	if outcome == done {
		o.recent = append(o.recent, old)
		if len(o.recent) > recentOrders {
			o.recent = o.recent[1:]
		}
	}
	return old.outcome
}

// randomAcknowledged returns a random order among the latest acknowledged ones, or
// nil if there is none.
func (o *oracle) randomAcknowledged(rnd *rand.Rand) *order {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) == 0 {
		return nil
	}
	ord := *o.recent[rnd.IntN(len(o.recent))]
	return &ord
}

// checkRead checks the answer to a read of an acknowledged order: its number of
// rows, and that the value sent with the read came back. A failed read is only
// counted.
func (o *oracle) checkRead(ord *order, parts int, sent, got string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.countError(err)
		return
	}
	o.reads++
	if sent != got {
		o.violations = append(o.violations, fmt.Sprintf("mixed: %s got the answer of %s", sent, got))
	}
	if parts != ord.parts {
		o.violations = append(o.violations, fmt.Sprintf("stale: read saw %d of %d rows of acknowledged %s", parts, ord.parts, ord.id))
	}
}

// checkGrowth checks that only orders that were not acknowledged have more rows in a later count
// on the primary.
func (o *oracle) checkGrowth(before, after map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, n := range after {
		if ord := o.orders[id]; n > before[id] && ord != nil && ord.outcome == done {
			o.violations = append(o.violations, fmt.Sprintf("stale: the primary had %d of %d rows of acknowledged %s", before[id], n, id))
		}
	}
}

// addViolation records a violation.
func (o *oracle) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// countError counts an error by its SQLSTATE and kind; an error that carries none
// counts as "connection". The caller holds mu.
func (o *oracle) countError(err error) {
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

// unresolved returns the orders of unknown outcome that may be retried.
func (o *oracle) unresolved() []order {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []order
	for _, ord := range o.orders {
		if ord.retryable && ord.outcome == unknown {
			list = append(list, *ord)
		}
	}
	return list
}

// compare compares the answers that callers received with the number of rows by
// order on the primary, and returns all violations of the cell.
func (o *oracle) compare(rows map[string]int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.violations
	for id, ord := range o.orders {
		n := rows[id]
		switch {
		case ord.outcome == done && n < ord.parts:
			all = append(all, fmt.Sprintf("lost: acknowledged %s has %d of %d rows", id, n, ord.parts))
		case n > ord.parts:
			all = append(all, fmt.Sprintf("doubled: %s has %d of %d rows", id, n, ord.parts))
		case ord.outcome == notRun && n > 0:
			all = append(all, fmt.Sprintf("ran: %s was refused as not run and has %d rows", id, n))
		case n != 0 && n != ord.parts:
			all = append(all, fmt.Sprintf("torn: %s has %d of %d rows", id, n, ord.parts))
		}
		delete(rows, id)
	}
	for id := range rows {
		all = append(all, "unexpected rows: "+id)
	}
	return all
}
