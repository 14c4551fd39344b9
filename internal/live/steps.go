package live

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

// Parameters of steps.
const (
	promotionFreeze = 400 * time.Millisecond // of the primary in the step "promotion"
	drainTimeout    = 10 * time.Second
	publishTimeout  = 10 * time.Second
	withdrawTimeout = 5 * time.Second // for every host to refuse the withdrawn key, from the final check on
	drainedHost     = 2               // index; faults affect another host
)

// Step is one step of the request path.
type Step struct {
	Name string
	// Work is repeated by each caller for the load time.
	Work func(w *worker)
	// Action runs once, when the fault starts. It may be nil.
	Action func(c *cell) error
}

// Steps returns the steps of the matrix.
func Steps() []Step {
	return []Step{
		{Name: "read fresh", Work: (*worker).readFresh},
		{Name: "read aged with token", Work: (*worker).readAged},
		{Name: "read inside a transaction", Work: (*worker).readInTransaction},
		{Name: "write", Work: (*worker).write},
		{Name: "write with request id", Work: (*worker).writeWithRequestID},
		{Name: "transaction commit", Work: (*worker).commit},
		{Name: "transaction with request id", Work: (*worker).commitWithRequestID},
		{Name: "promotion", Work: (*worker).write, Action: forcePromotion},
		{Name: "publish", Work: (*worker).readFresh, Action: publishChange},
		{Name: "withdraw a key", Work: (*worker).readFresh, Action: withdrawKey},
		{Name: "drain", Work: (*worker).write, Action: replaceHost},
	}
}

// forcePromotion freezes the primary long enough for another database to be
// promoted.
func forcePromotion(c *cell) error {
	db := c.rig.Primary()
	db.Freeze()
	time.Sleep(promotionFreeze)
	db.Thaw()
	return nil
}

// publishChange publishes a changed limit, and adds a check that every host applies
// it.
func publishChange(c *cell) error {
	version, err := c.editSnapshot(func(s *contract.Snapshot) error {
		s.Customers[0].Burst++
		return nil
	})
	if err != nil {
		return nil // the fault may prevent the publication
	}
	c.finalChecks = append(c.finalChecks, func(ctx context.Context) error { return c.rig.Site.WaitReady(ctx, version) })
	return nil
}

// withdrawKey withdraws the cell's extra key, and adds a check that every host
// refuses it.
func withdrawKey(c *cell) error {
	id := c.extraKey.Stored.ID
	version, err := c.editSnapshot(func(s *contract.Snapshot) error {
		for i := range s.Customers[0].Keys {
			if k := &s.Customers[0].Keys[i]; k.ID == id {
				k.Withdrawn = true
			}
		}
		return nil
	})
	if err != nil {
		return nil // the fault may prevent the publication
	}
	c.finalChecks = append(c.finalChecks, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		if err := c.rig.Site.WaitReady(ctx, version); err != nil {
			return err
		}
		for i := range c.rig.Addresses {
			if conn, err := c.rig.Connect(ctx, i, c.extraKey.Plaintext); err == nil {
				conn.Close(ctx)
				return fmt.Errorf("host %d accepts a withdrawn key", i)
			}
		}
		return nil
	})
	return nil
}

// issueKey publishes the extra key that withdrawKey withdraws, and removes the
// withdrawn keys of earlier cells.
func (c *cell) issueKey(ctx context.Context) error {
	c.extraKey = loopback.MustKey(fmt.Sprintf("extra-%d", c.number))
	c.rig.watchForKey(c.extraKey.Plaintext)
	version, err := c.editSnapshot(func(s *contract.Snapshot) error {
		kept := slices.DeleteFunc(s.Customers[0].Keys, func(k contract.Key) bool { return k.Withdrawn })
		s.Customers[0].Keys = append(kept, c.extraKey.Stored)
		return nil
	})
	if err != nil {
		return err
	}
	return c.rig.Site.WaitReady(ctx, version)
}

func (c *cell) editSnapshot(change func(*contract.Snapshot) error) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	res, err := contract.Edit(ctx, c.rig.Site.Client(), contract.PublishOptions{Operator: "live"}, change)
	return res.Version, err
}

// replaceHost drains a host and starts another in its place.
func replaceHost(c *cell) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return c.rig.Replace(ctx, drainedHost)
}
