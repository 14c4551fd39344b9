package keys

import (
	"crypto/subtle"
	"sync/atomic"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// Table holds the keys of the current snapshot. It is safe for concurrent use:
// readers share one immutable view, which Apply replaces. Its size is that of
// the snapshot, which publishing limits by contract.MaxCustomers and
// contract.MaxKeys.
type Table struct {
	view atomic.Pointer[view]
}

// view holds the keys of one snapshot, by id.
type view struct {
	version uint64
	entries map[string]entry
}

// entry is one key and the customer that holds it.
type entry struct {
	customer string
	key      contract.Key
}

// decoy replaces the missing entry when an id is unknown, so that checking an
// unknown id takes as long as checking a known one. Check refuses an unknown id
// whatever the result of the comparison.
var decoy = entry{key: contract.Key{Salt: make([]byte, SaltBytes), Hash: make([]byte, 32)}}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.view.Store(&view{entries: map[string]entry{}})
	return t
}

// Apply replaces the keys by those of s and reports whether it did. A snapshot
// whose version is not higher than the current one is ignored, so that one that
// arrives late cannot restore a withdrawn key.
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

// add adds a key. Publishing refuses a duplicate id; if one occurs
// nevertheless, it counts as withdrawn and neither holder can use it.
func (v *view) add(customer string, k contract.Key) {
	if _, duplicate := v.entries[k.ID]; duplicate {
		k.Withdrawn = true
	}
	v.entries[k.ID] = entry{customer: customer, key: k}
}

// Version returns the version of the current snapshot, 0 before the first.
func (t *Table) Version() uint64 { return t.view.Load().version }

// Check returns the customer that holds the presented key. The error is of kind
// KeyWithdrawn for the correct secret of a withdrawn key, else of kind BadKey;
// it reveals neither the secret nor whether the id is known.
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
		return "", "", errkind.New(errkind.KeyWithdrawn, "key %s is marked as withdrawn", id)
	}
	return e.customer, id, nil
}

// Valid checks a key that Check accepted earlier against the current snapshot.
// It returns nil, or an error of kind KeyWithdrawn. A key that the snapshot no
// longer lists counts as withdrawn.
func (t *Table) Valid(keyID string) error {
	e, known := t.view.Load().entries[keyID]
	if !known || e.key.Withdrawn {
		return errkind.New(errkind.KeyWithdrawn, "key %s is withdrawn or no longer listed", keyID)
	}
	return nil
}

// ValidFor is Valid for a caller that connected as customerID: a key that has
// since moved to another customer counts as withdrawn.
func (t *Table) ValidFor(customerID, keyID string) error {
	e, known := t.view.Load().entries[keyID]
	if !known || e.key.Withdrawn || e.customer != customerID {
		return errkind.New(errkind.KeyWithdrawn, "key %s is withdrawn, no longer listed or held by another customer", keyID)
	}
	return nil
}
