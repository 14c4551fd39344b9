package live

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

// Timing of steps.
const (
	promotionFreeze = 400 * time.Millisecond
	drainWithin     = 10 * time.Second
	publishWithin   = 10 * time.Second
	withdrawWithin  = 5 * time.Second // from the publishing to the last host's refusal
	drainedHost     = 2               // index; faults hit another one
)

// Step is one step of the path.
type Step struct {
	Name string
	// Work is what each caller does, again and again.
	Work func(w *worker)
	// Act happens once, at the time of the fault; nil for nothing.
	Act func(c *cell) error
}

// Steps returns the steps of the matrix.
func Steps() []Step {
	return []Step{
		{Name: "read fresh", Work: (*worker).readFresh},
		{Name: "read aged with token", Work: (*worker).readAged},
		{Name: "read inside a transaction", Work: (*worker).readInTransaction},
		{Name: "write", Work: (*worker).write},
		{Name: "write with request id", Work: (*worker).writeOnce},
		{Name: "transaction commit", Work: (*worker).commit},
		{Name: "transaction with request id", Work: (*worker).commitOnce},
		{Name: "promotion", Work: (*worker).write, Act: promote},
		{Name: "publish", Work: (*worker).readFresh, Act: publish},
		{Name: "withdraw a key", Work: (*worker).readFresh, Act: withdraw},
		{Name: "drain", Work: (*worker).write, Act: drain},
	}
}

// promote makes a promotion necessary.
func promote(c *cell) error {
	db := c.rig.Primary()
	db.Freeze()
	time.Sleep(promotionFreeze)
	db.Thaw()
	return nil
}

// publish changes a limit, and expects every host to run by the change.
func publish(c *cell) error {
	version, err := c.edit(func(s *contract.Snapshot) error {
		s.Customers[0].Burst++
		return nil
	})
	if err != nil {
		return nil // refused under the fault
	}
	c.after = append(c.after, func(ctx context.Context) error { return c.rig.Site.WaitReady(ctx, version) })
	return nil
}

// withdraw withdraws a key of its own, and expects every host to refuse it.
func withdraw(c *cell) error {
	id := c.extra.Stored.ID
	version, err := c.edit(func(s *contract.Snapshot) error {
		for i := range s.Customers[0].Keys {
			if k := &s.Customers[0].Keys[i]; k.ID == id {
				k.Withdrawn = true
			}
		}
		return nil
	})
	if err != nil {
		return nil // refused under the fault
	}
	c.after = append(c.after, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, withdrawWithin)
		defer cancel()
		if err := c.rig.Site.WaitReady(ctx, version); err != nil {
			return err
		}
		for i := range c.rig.Addresses {
			if conn, err := c.rig.Connect(ctx, i, c.extra.Plaintext); err == nil {
				conn.Close(ctx)
				return fmt.Errorf("host %d takes a withdrawn key", i)
			}
		}
		return nil
	})
	return nil
}

// issue adds a key for withdraw.
func (c *cell) issue(ctx context.Context) error {
	c.extra = loopback.MustKey(fmt.Sprintf("extra-%d", c.number))
	c.rig.guard(c.extra.Plaintext)
	version, err := c.edit(func(s *contract.Snapshot) error {
		kept := slices.DeleteFunc(s.Customers[0].Keys, func(k contract.Key) bool { return k.Withdrawn })
		s.Customers[0].Keys = append(kept, c.extra.Stored)
		return nil
	})
	if err != nil {
		return err
	}
	return c.rig.Site.WaitReady(ctx, version)
}

func (c *cell) edit(change func(*contract.Snapshot) error) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), publishWithin)
	defer cancel()
	res, err := contract.Edit(ctx, c.rig.Site.Client(), contract.PublishOptions{Operator: "live"}, change)
	return res.Version, err
}

// drain replaces a host gracefully.
func drain(c *cell) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainWithin)
	defer cancel()
	return c.rig.Replace(ctx, drainedHost)
}
