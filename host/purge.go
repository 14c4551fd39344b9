package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// Timing of the purge of request records.
const (
	purgeInterval = 10 * time.Minute
	purgeTimeout  = 30 * time.Second // for one group
)

// purgeRecords regularly deletes request records past their retention in the
// groups for which this host has promoter rank 0. Two hosts may do so at once
// without harm.
func (h *Host) purgeRecords() {
	for retry.Wait(h.ctx, purgeInterval) {
		for _, g := range h.groupRunners() {
			if g.rank() != 0 {
				continue
			}
			if err := h.purge(g); err != nil && serverState(err) != stateUndefinedTable {
				h.log.Warn("Request records were not purged.", "part", "group", "group", g.name, "error", err)
			}
		}
	}
}

func (h *Host) purge(g *groupRunner) error {
	ctx, cancel := context.WithTimeout(h.ctx, purgeTimeout)
	defer cancel()
	id, _, err := g.waitForPrimary(ctx)
	if err != nil {
		return err
	}
	db := h.view.Load().databases[id]
	if db == nil {
		return errkind.New(errkind.DatabaseUnavailable, "database %s is no longer in the configuration", id)
	}
	l, err := h.lease(ctx, db, fair.Item{Weight: 1, Deadline: h.now().Add(purgeTimeout)})
	if err != nil {
		return err
	}
	l.conn.SetDeadline(h.now().Add(purgeTimeout))
	cutoff := unixMillis(h.now().Add(-RecordRetention))
	if _, err := l.conn.Send(extendedQuery(deleteRecords, cutoff)...); err != nil {
		l.abandon()
		return err
	}
	_, err = l.conn.ReadRows()
	if err != nil && !isServerError(err) {
		l.abandon()
		return err
	}
	l.release(false)
	return err
}
