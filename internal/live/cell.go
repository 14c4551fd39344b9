package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

// Load and limits of a cell.
const (
	DefaultLoad         = 900 * time.Millisecond // time that a cell is under load
	workers             = 3                      // callers that run the step's work; one more places orders
	faultStartDivisor   = 5                      // the fault starts after 1/faultStartDivisor of the load time
	faultEndDivisor     = 4                      // and is healed 1/faultEndDivisor of it before the end
	recoveryTimeout     = 20 * time.Second       // for service to be restored and the answers to be checked
	versionPollInterval = 10 * time.Millisecond
)

// Cell is one step under one fault.
type Cell struct {
	Step  Step
	Fault Fault
	Load  time.Duration
	Seed  uint64
}

// Cells returns one cell for every step under every fault. Their seeds count up
// from seed.
func Cells(load time.Duration, seed uint64) []Cell {
	var all []Cell
	for _, f := range Faults() {
		for _, s := range Steps() {
			all = append(all, Cell{Step: s, Fault: f, Load: load, Seed: seed + uint64(len(all))})
		}
	}
	return all
}

// Name returns the name of the cell, such as "write under kill primary".
func (c Cell) Name() string { return c.Step.Name + " under " + c.Fault.Name }

// Outcome is the result of a cell.
type Outcome struct {
	Violations   []string       // violated guarantees; the cell passes if there are none
	Acknowledged int            // number of acknowledged orders
	Reads        int            // number of answered reads
	Errors       map[string]int // number by SQLSTATE and kind of error, or "connection"
}

// cell is the state of a running Cell.
type cell struct {
	Cell
	rig         *Rig
	number      int
	oracle      *oracle
	extraKey    loopback.Key                  // key that the step withdraws
	finalChecks []func(context.Context) error // checks to run after service is restored
}

// Run runs the cell on a rig. The number must be unique on the rig.
func (c Cell) Run(ctx context.Context, rig *Rig, number int) (Outcome, error) {
	run := &cell{Cell: c, rig: rig, number: number, oracle: newOracle()}
	if err := rig.WaitReady(ctx); err != nil {
		return Outcome{}, eris.Wrap(err, "wait for service before the cell")
	}
	if c.Step.Action != nil {
		if err := run.issueKey(ctx); err != nil {
			return Outcome{}, eris.Wrap(err, "issue a key")
		}
	}
	run.runLoad()
	return run.finish(ctx)
}

// runLoad runs the callers for the load time, and meanwhile the fault and the
// step's action.
func (c *cell) runLoad() {
	until := time.Now().Add(c.Load)
	var group sync.WaitGroup
	for i := range workers + 1 {
		w := &worker{cell: c, name: fmt.Sprintf("%d-%d", c.number, i), rnd: rand.New(rand.NewPCG(c.Seed, uint64(i)))}
		work := c.Step.Work
		if i == workers { // one caller always places orders, so that there are rows to read
			work = (*worker).writeWithRequestID
		}
		group.Go(func() { w.run(until, work) })
	}
	stopWatch := c.watchVersions()
	time.Sleep(c.Load / faultStartDivisor)
	c.injectFault(&group, time.Now().Add(c.Load-c.Load/faultStartDivisor-c.Load/faultEndDivisor))
	group.Wait()
	stopWatch()
}

// injectFault starts the fault and the step's action, and heals the fault at
// healAt.
func (c *cell) injectFault(group *sync.WaitGroup, healAt time.Time) {
	if c.Step.Action != nil {
		group.Go(func() {
			if err := c.Step.Action(c); err != nil {
				c.oracle.addViolation("step action: %v", err)
			}
		})
	}
	stop := c.Fault.Start(c.rig)
	time.Sleep(time.Until(healAt))
	if err := stop(); err != nil {
		c.oracle.addViolation("heal the fault: %v", err)
	}
}

// watchVersions checks that host 0 never returns to an older configuration.
func (c *cell) watchVersions() (stop func()) {
	quit := make(chan struct{})
	done := make(chan struct{})
	h := c.rig.Host(0)
	go func() {
		defer close(done)
		last := uint64(0)
		for {
			v := h.Status().ConfigVersion
			if v < last {
				c.oracle.addViolation("configuration version decreased from %d to %d", last, v)
			}
			last = v
			select {
			case <-quit:
				return
			case <-time.After(versionPollInterval):
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// finish waits for service to be restored, runs the final checks, retries orders
// of unknown outcome and compares the answers with the stored rows. For an order
// that was lost, it adds what each database holds of it to the violations.
func (c *cell) finish(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := c.rig.WaitReady(ctx); err != nil {
		return Outcome{}, eris.Wrap(err, "wait for service after the fault")
	}
	for _, check := range c.finalChecks {
		if err := check(ctx); err != nil {
			c.oracle.addViolation("%s: %v", c.Step.Name, err)
		}
	}
	c.retryUnknown(ctx)
	rows, err := c.countRows(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if c.rig.leaked.Swap(false) {
		c.oracle.addViolation("a database received part of a key")
	}
	out := Outcome{Reads: c.oracle.reads, Errors: c.oracle.errors}
	for _, ord := range c.oracle.orders {
		if ord.outcome == done {
			out.Acknowledged++
		}
	}
	out.Violations = c.oracle.compare(rows)
	for _, line := range out.Violations {
		if id, ok := strings.CutPrefix(line, "lost: acknowledged "); ok {
			out.Violations = append(out.Violations, c.rig.findOrder(strings.Fields(id)[0])...)
		}
	}
	return out, nil
}

// retryUnknown retries the orders of unknown outcome that carry a request id until
// each is known to have run; those left when ctx ends are a violation. Each must have
// run exactly once.
func (c *cell) retryUnknown(ctx context.Context) {
	w := &worker{cell: c, rnd: rand.New(rand.NewPCG(c.Seed, workers+1))}
	defer w.close()
	for len(c.oracle.unresolved()) > 0 {
		for _, o := range c.oracle.unresolved() {
			if w.ensureConnected() {
				w.place(o)
			}
		}
		if ctx.Err() != nil {
			c.oracle.addViolation("outcome of %d orders still unknown after the fault", len(c.oracle.unresolved()))
			return
		}
	}
}

// countRows returns the number of the cell's rows by order, read from the primary
// directly, and checks that a read through each host sees as many in total.
func (c *cell) countRows(ctx context.Context) (map[string]int, error) {
	if err := c.rig.WaitReady(ctx); err != nil {
		return nil, err
	}
	prefix := strconv.Itoa(c.number) + "-%"
	rows, total, err := c.countOnPrimary(prefix)
	if err != nil {
		return nil, err
	}
	for i := range c.rig.Addresses {
		n, err := c.countThrough(ctx, i, prefix)
		if err != nil {
			return nil, eris.Wrapf(err, "count rows through host %d", i)
		}
		if n > total { // an order of unknown outcome may have run since
			before := rows
			if rows, total, err = c.countOnPrimary(prefix); err != nil {
				return nil, err
			}
			c.oracle.checkGrowth(before, rows)
		}
		if n != total {
			c.oracle.addViolation("stale: %d of %d rows through host %d", n, total, i)
		}
	}
	return rows, nil
}

// countOnPrimary returns the number of rows whose id matches prefix, by id and in total.
func (c *cell) countOnPrimary(prefix string) (rows map[string]int, total int, err error) {
	table, err := c.rig.Primary().Query("SELECT id, count(*) FROM orders WHERE id LIKE '" + prefix + "' GROUP BY id")
	if err != nil {
		return nil, 0, eris.Wrap(err, "count rows on the primary")
	}
	rows = map[string]int{}
	for _, line := range table {
		rows[line[0]], _ = strconv.Atoi(line[1])
		total += rows[line[0]]
	}
	return rows, total, nil
}

// countThrough returns the number of rows whose id matches prefix, read through
// one host in up to 20 attempts.
func (c *cell) countThrough(ctx context.Context, host int, prefix string) (n int, err error) {
	for range 20 {
		conn, dialErr := c.rig.Connect(ctx, host, c.rig.key)
		if err = dialErr; err != nil {
			continue
		}
		err = conn.QueryRow(ctx, "/*request='order.read'*/ SELECT count(*) FROM orders WHERE id LIKE '"+prefix+"'").Scan(&n)
		conn.Close(ctx)
		if err == nil {
			return n, nil
		}
	}
	return 0, err
}

// Summary returns the counts in one line, followed by a line for each violation.
func (o Outcome) Summary() string {
	line := fmt.Sprintf("acknowledged=%d reads=%d errors=%v", o.Acknowledged, o.Reads, o.Errors)
	if len(o.Violations) > 0 {
		line += "\n  " + strings.Join(o.Violations, "\n  ")
	}
	return line
}
