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

// Load of a cell.
const (
	DefaultLoad  = 900 * time.Millisecond
	workers      = 3                // callers at the step's work
	faultAt      = 5                // the fault starts after one part in so many of the load
	healAt       = 4                // and ends before the last part in so many
	settleLimit  = 20 * time.Second // for service to come back
	watchVersion = 10 * time.Millisecond
)

// Cell is one step under one fault.
type Cell struct {
	Step  Step
	Fault Fault
	Load  time.Duration
	Seed  uint64
}

// Cells returns every step under every fault.
func Cells(load time.Duration, seed uint64) []Cell {
	var all []Cell
	for _, f := range Faults() {
		for _, s := range Steps() {
			all = append(all, Cell{Step: s, Fault: f, Load: load, Seed: seed + uint64(len(all))})
		}
	}
	return all
}

// Name returns "step under fault".
func (c Cell) Name() string { return c.Step.Name + " under " + c.Fault.Name }

// Outcome is what a cell found.
type Outcome struct {
	Broken       []string       // promises broken; none is a pass
	Acknowledged int            // writes
	Reads        int            // answered
	Errors       map[string]int // by SQLSTATE and kind
}

// cell is a running Cell.
type cell struct {
	Cell
	rig    *Rig
	number int
	oracle *oracle
	extra  loopback.Key                  // the key that the step withdraws
	after  []func(context.Context) error // checks once service is back
}

// Run runs the cell on a rig that serves. The number is unique on the rig.
func (c Cell) Run(ctx context.Context, rig *Rig, number int) (Outcome, error) {
	run := &cell{Cell: c, rig: rig, number: number, oracle: newOracle()}
	if err := rig.WaitReady(ctx); err != nil {
		return Outcome{}, eris.Wrap(err, "before the cell")
	}
	if c.Step.Act != nil {
		if err := run.issue(ctx); err != nil {
			return Outcome{}, eris.Wrap(err, "issue a key")
		}
	}
	run.load()
	return run.finish(ctx)
}

// load runs the callers, and the fault and the step's act in their midst.
func (c *cell) load() {
	until := time.Now().Add(c.Load)
	var group sync.WaitGroup
	for i := range workers + 1 {
		w := &worker{cell: c, name: fmt.Sprintf("%d-%d", c.number, i), rnd: rand.New(rand.NewPCG(c.Seed, uint64(i)))}
		work := c.Step.Work
		if i == workers { // one always orders, so that there is something to read
			work = (*worker).writeOnce
		}
		group.Go(func() { w.run(until, work) })
	}
	stopWatch := c.watchVersions()
	time.Sleep(c.Load / faultAt)
	c.disturb(&group, time.Now().Add(c.Load-c.Load/faultAt-c.Load/healAt))
	group.Wait()
	stopWatch()
}

// disturb runs the fault and the step's act, and heals the fault.
func (c *cell) disturb(group *sync.WaitGroup, heal time.Time) {
	if c.Step.Act != nil {
		group.Go(func() {
			if err := c.Step.Act(c); err != nil {
				c.oracle.breach("act: %v", err)
			}
		})
	}
	stop := c.Fault.Start(c.rig)
	time.Sleep(time.Until(heal))
	if err := stop(); err != nil {
		c.oracle.breach("heal: %v", err)
	}
}

// watchVersions checks that no host goes back to an older configuration.
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
				c.oracle.breach("configuration went back from %d to %d", last, v)
			}
			last = v
			select {
			case <-quit:
				return
			case <-time.After(watchVersion):
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// finish waits for service, tries unknown orders again and judges.
func (c *cell) finish(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if err := c.rig.WaitReady(ctx); err != nil {
		return Outcome{}, eris.Wrap(err, "after the fault")
	}
	for _, check := range c.after {
		if err := check(ctx); err != nil {
			c.oracle.breach("%s: %v", c.Step.Name, err)
		}
	}
	c.tryAgain(ctx)
	rows, err := c.rows(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if c.rig.leaked.Swap(false) {
		c.oracle.breach("a database saw a key")
	}
	out := Outcome{Reads: c.oracle.reads, Errors: c.oracle.errors}
	for _, w := range c.oracle.orders {
		if w.fate == done {
			out.Acknowledged++
		}
	}
	out.Broken = c.oracle.judge(rows)
	for _, line := range out.Broken {
		if id, ok := strings.CutPrefix(line, "lost: acknowledged "); ok {
			out.Broken = append(out.Broken, c.rig.trace(strings.Fields(id)[0])...)
		}
	}
	return out, nil
}

// tryAgain repeats the orders of unknown outcome that carry a request id: each
// must come to have run once.
func (c *cell) tryAgain(ctx context.Context) {
	w := &worker{cell: c, rnd: rand.New(rand.NewPCG(c.Seed, workers+1))}
	defer w.close()
	for len(c.oracle.open()) > 0 {
		for _, o := range c.oracle.open() {
			if w.connected() {
				w.place(o)
			}
		}
		if ctx.Err() != nil {
			c.oracle.breach("%d orders stay unknown after the fault", len(c.oracle.open()))
			return
		}
	}
}

// rows counts the cell's rows by order, on the primary itself and through each
// host.
func (c *cell) rows(ctx context.Context) (map[string]int, error) {
	if err := c.rig.WaitReady(ctx); err != nil {
		return nil, err
	}
	prefix := strconv.Itoa(c.number) + "-%"
	table, err := c.rig.Primary().Query("SELECT id, count(*) FROM orders WHERE id LIKE '" + prefix + "' GROUP BY id")
	if err != nil {
		return nil, eris.Wrap(err, "read the primary")
	}
	rows := map[string]int{}
	total := 0
	for _, line := range table {
		rows[line[0]], _ = strconv.Atoi(line[1])
		total += rows[line[0]]
	}
	for i := range c.rig.Addresses {
		n, err := c.countThrough(ctx, i, prefix)
		if err != nil {
			return nil, eris.Wrapf(err, "read through host %d", i)
		}
		if n != total {
			c.oracle.breach("stale: %d of %d rows through host %d", n, total, i)
		}
	}
	return rows, nil
}

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

// Summary is the outcome in one line.
func (o Outcome) Summary() string {
	line := fmt.Sprintf("acknowledged=%d reads=%d errors=%v", o.Acknowledged, o.Reads, o.Errors)
	if len(o.Broken) > 0 {
		line += "\n  " + strings.Join(o.Broken, "\n  ")
	}
	return line
}
