package keys

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// MaxValid is how many valid keys a rotation may leave: the old and the new.
const MaxValid = 2

// idSuffixBytes is the number of random bytes in an issued key's id.
const idSuffixBytes = 6

// Errors of key changes.
var (
	ErrNoCustomer = errors.New("keys: no such customer")
	ErrNoKey      = errors.New("keys: no such key")
	ErrTooMany    = errors.New("keys: customer already has the maximum number of valid keys")
	ErrNoneValid  = errors.New("keys: customer has no valid key to rotate")
)

// Issued is a new key. Plaintext is shown to its holder once.
type Issued struct {
	ID        string `json:"id"`
	Customer  string `json:"customer"`
	Plaintext string `json:"key"`
	Version   uint64 `json:"version"` // snapshot that contains it
}

// Info is the public part of a key.
type Info struct {
	ID        string `json:"id"`
	Customer  string `json:"customer"`
	Withdrawn bool   `json:"withdrawn"`
}

// Ops changes keys in the published snapshot. Each change is one conditional
// update.
type Ops struct {
	API     objectapi.API
	Random  io.Reader // source of secrets, such as crypto/rand.Reader
	Options contract.PublishOptions
}

// Issue gives a customer another key. The customer's valid keys stay valid. It
// fails with ErrNoCustomer, or with ErrTooMany when the customer already has
// contract.MaxKeys valid keys.
func (o *Ops) Issue(ctx context.Context, customer string) (Issued, error) {
	return o.add(ctx, customer, func(c *contract.Customer) error {
		if countValid(c) >= contract.MaxKeys {
			return ErrTooMany
		}
		return nil
	})
}

// Rotate gives a customer a second valid key beside its only one, which stays
// valid until it is withdrawn. It fails with ErrNoCustomer, with ErrNoneValid when
// the customer has no valid key, or with ErrTooMany when it has MaxValid already.
func (o *Ops) Rotate(ctx context.Context, customer string) (Issued, error) {
	return o.add(ctx, customer, func(c *contract.Customer) error {
		switch n := countValid(c); {
		case n == 0:
			return ErrNoneValid
		case n >= MaxValid:
			return ErrTooMany
		}
		return nil
	})
}

// Withdraw marks a key as withdrawn; repeating it has no effect. It returns the
// version of the snapshot in which the key is withdrawn. It fails with ErrNoKey
// for an unknown key.
func (o *Ops) Withdraw(ctx context.Context, keyID string) (uint64, error) {
	res, err := contract.Edit(ctx, o.API, o.Options, func(s *contract.Snapshot) error {
		k := findKey(s, keyID)
		if k == nil {
			return eris.Wrapf(ErrNoKey, "key %q", keyID)
		}
		k.Withdrawn = true
		return nil
	})
	return res.Version, err
}

// List returns the keys of a customer, or of all customers if customer is "". It
// fails with ErrNoCustomer for an unknown customer.
func List(s *contract.Snapshot, customer string) ([]Info, error) {
	if customer != "" && s.Customer(customer) == nil {
		return nil, eris.Wrapf(ErrNoCustomer, "customer %q", customer)
	}
	var out []Info
	for _, c := range s.Customers {
		if customer != "" && c.ID != customer {
			continue
		}
		for _, k := range c.Keys {
			out = append(out, Info{ID: k.ID, Customer: c.ID, Withdrawn: k.Withdrawn})
		}
	}
	return out, nil
}

// add publishes one new key. The key is generated once, so that a repeated
// attempt stores the same one.
func (o *Ops) add(ctx context.Context, customer string, allowed func(*contract.Customer) error) (Issued, error) {
	key, plaintext, err := o.generate(customer)
	if err != nil {
		return Issued{}, err
	}
	res, err := contract.Edit(ctx, o.API, o.Options, func(s *contract.Snapshot) error {
		c := s.Customer(customer)
		if c == nil {
			return eris.Wrapf(ErrNoCustomer, "customer %q", customer)
		}
		if err := allowed(c); err != nil {
			return err
		}
		c.Keys = append(makeRoom(c.Keys), key)
		return nil
	})
	if err != nil {
		return Issued{}, err
	}
	return Issued{ID: key.ID, Customer: customer, Plaintext: plaintext, Version: res.Version}, nil
}

// generate returns a new key whose id is the customer's, truncated if
// necessary, with a random suffix.
func (o *Ops) generate(customer string) (contract.Key, string, error) {
	suffix := make([]byte, idSuffixBytes)
	if _, err := io.ReadFull(o.Random, suffix); err != nil {
		return contract.Key{}, "", eris.Wrap(err, "keys: read the random source")
	}
	prefix := customer[:min(len(customer), contract.MaxKeyIDBytes-1-2*idSuffixBytes)]
	return New(o.Random, prefix+"-"+hex.EncodeToString(suffix))
}

// makeRoom drops the oldest withdrawn key of a full list. A dropped key is
// refused like an unknown one.
func makeRoom(ks []contract.Key) []contract.Key {
	if len(ks) < contract.MaxKeys {
		return ks
	}
	i := slices.IndexFunc(ks, func(k contract.Key) bool { return k.Withdrawn })
	if i < 0 {
		return ks
	}
	return slices.Delete(ks, i, i+1)
}

func countValid(c *contract.Customer) int {
	n := 0
	for _, k := range c.Keys {
		if !k.Withdrawn {
			n++
		}
	}
	return n
}

func findKey(s *contract.Snapshot, keyID string) *contract.Key {
	for i := range s.Customers {
		for j := range s.Customers[i].Keys {
			if s.Customers[i].Keys[j].ID == keyID {
				return &s.Customers[i].Keys[j]
			}
		}
	}
	return nil
}
