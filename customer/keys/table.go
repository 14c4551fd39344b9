package keys

import (
	"crypto/subtle"
	"sync/atomic"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// Table holds the keys of the snapshot in force. It is safe for concurrent use:
// readers share one immutable view, which Apply replaces. Its size is that of
// the snapshot, which publishing bounds by contract.MaxCustomers and
// contract.MaxKeys; a larger one is not published.
type Table struct {
	view atomic.Pointer[view]
}

// view is the keys of one snapshot, by id.
type view struct {
	version uint64
	entries map[string]entry
}

// entry is one key and the customer that holds it.
type entry struct {
	customer string
	key      contract.Key
}

// decoy is compared with when an id is unknown, so that an unknown id costs as
// much as a known one. Check refuses an unknown id whatever the comparison says.
var decoy = entry{key: contract.Key{Salt: make([]byte, SaltBytes), Hash: make([]byte, 32)}}

// NewTable returns a table that knows no key.
func NewTable() *Table {
	t := &Table{}
	t.view.Store(&view{entries: map[string]entry{}})
	return t
}

// Apply puts the keys of s in force and reports whether it did. A snapshot
// whose version is not higher than the one in force changes nothing, so that a
// late one cannot bring back a withdrawn key.
func (t *Table) Apply(s *contract.Snapshot) bool {
	next := newView(s)
	for {
		old := t.view.Load()
		if s.Version <= old.version {
			return false
		}
		if t.view.CompareAndSwap(old, next) {
			return true
		}
	}
}

func newView(s *contract.Snapshot) *view {
	v := &view{version: s.Version, entries: make(map[string]entry, 2*len(s.Customers))}
	for i := range s.Customers {
		c := &s.Customers[i]
		for _, k := range c.Keys {
			v.add(c.ID, k)
		}
	}
	return v
}

// add enters a key. Publishing refuses an id that stands twice; should one be
// met all the same, neither holder may use it.
func (v *view) add(customer string, k contract.Key) {
	if _, twice := v.entries[k.ID]; twice {
		k.Withdrawn = true
	}
	v.entries[k.ID] = entry{customer: customer, key: k}
}

// Version returns the version of the snapshot in force, 0 before the first.
func (t *Table) Version() uint64 { return t.view.Load().version }

// Check finds the customer that holds the presented key. Its error is of kind
// BadKey, or KeyWithdrawn for the right secret of a withdrawn key, and names
// neither the secret nor whether the id is known.
func (t *Table) Check(plaintext string) (customerID, keyID string, err error) {
	id, secret, ok := split(plaintext)
	if !ok {
		return "", "", errkind.New(errkind.BadKey, "")
	}
	e, known := t.view.Load().entries[id]
	if !known {
		e = decoy
	}
	same := subtle.ConstantTimeCompare(hash(e.key.Salt, secret), e.key.Hash) == 1
	if !known || !same {
		return "", "", errkind.New(errkind.BadKey, "")
	}
	if e.key.Withdrawn {
		return "", "", errkind.New(errkind.KeyWithdrawn, "key %s", id)
	}
	return e.customer, id, nil
}

// Valid reports whether a key that Check accepted earlier still stands, by the
// snapshot in force: nil, or an error of kind KeyWithdrawn. A key that the
// snapshot no longer lists counts as withdrawn.
func (t *Table) Valid(keyID string) error {
	e, known := t.view.Load().entries[keyID]
	if !known || e.key.Withdrawn {
		return errkind.New(errkind.KeyWithdrawn, "key %s", keyID)
	}
	return nil
}

// ValidFor is Valid for a caller that connected as customerID: a key that has
// since moved to another customer counts as withdrawn.
func (t *Table) ValidFor(customerID, keyID string) error {
	e, known := t.view.Load().entries[keyID]
	if !known || e.key.Withdrawn || e.customer != customerID {
		return errkind.New(errkind.KeyWithdrawn, "key %s", keyID)
	}
	return nil
}
