package host

import (
	"context"
	"errors"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/customer/turn"
	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// abandonTimeout bounds the wait for a database to stop a statement whose caller
// is no longer waiting.
const abandonTimeout = 10 * time.Second

// databaseState is a host's state of one database.
type databaseState struct {
	spec  contract.Database
	pool  *database.Pool
	slots *turn.Queue
}

// lease is the right to use one connection and one slot of a database. The slot
// counts against the limit of this host and against that of the fleet.
type lease struct {
	host *Host
	db   *databaseState
	conn *database.Conn
	slot uint64
}

// acquire waits for a slot, in a queue that is fair among the customers, and then
// for a connection. It checks the caller's key again after the wait. The lease ends
// with release or abandon.
func (h *Host) acquire(ctx context.Context, r *request, id string) (*lease, error) {
	db := h.view.Load().databases[id]
	if db == nil {
		return nil, errkind.New(errkind.DatabaseUnavailable, "database %s is no longer in the configuration", id)
	}
	item := fair.Item{Weight: r.weight(), Urgent: r.spec.Urgent, Deadline: r.deadline}
	if r.customer != nil {
		item.Customer = r.customer.ID
	}
	l, err := h.lease(ctx, db, item)
	if err != nil {
		return nil, err
	}
	if err := h.checkKey(r); err != nil {
		l.release(false)
		return nil, err
	}
	return l, nil
}

// lease waits for a slot of this host, a slot of the fleet and a connection of db,
// in this order.
func (h *Host) lease(ctx context.Context, db *databaseState, item fair.Item) (*lease, error) {
	slot, err := db.slots.Acquire(ctx, item)
	if err != nil {
		return nil, err
	}
	l := &lease{host: h, db: db, slot: slot}
	if err := h.permits.acquire(ctx, db.spec.ID); err != nil {
		db.slots.Release(slot)
		return nil, err
	}
	if l.conn, err = db.pool.Get(ctx); err != nil {
		l.freeSlot()
		return nil, connectFailure(err)
	}
	return l, nil
}

// freeSlot returns the slot after its statement has ended or was not sent.
func (l *lease) freeSlot() {
	l.host.permits.release(l.db.spec.ID)
	l.db.slots.Release(l.slot)
}

// checkKey checks the caller's key against the configuration in force. It is
// called before a request is processed and again after the request has waited. A
// caller without a key passes.
func (h *Host) checkKey(r *request) error {
	if r.keyID == "" {
		return nil
	}
	return h.keys.ValidFor(r.customerID(), r.keyID)
}

// connectFailure returns the error of a request that was not sent because no
// connection was available.
func connectFailure(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineNotRun, err, "no connection to the database in time")
	}
	return errkind.Wrap(errkind.DatabaseUnavailable, err, "cannot connect to the database")
}

// release returns the connection and the slot. A dirty connection is closed.
func (l *lease) release(dirty bool) {
	if dirty {
		l.conn.MarkBroken()
	}
	l.db.pool.Put(l.conn)
	l.freeSlot()
}

// abandon discards a connection that may still be running a statement. Its slot
// stays in use until the database has closed its side or abandonTimeout has passed.
func (l *lease) abandon() {
	go l.stopAndRelease()
}

func (l *lease) stopAndRelease() {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	l.conn.Stop(ctx)
	l.db.pool.Put(l.conn)
	l.freeSlot()
}
