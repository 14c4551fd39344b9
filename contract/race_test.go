package contract_test

import (
	"context"
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// operators is a random run of operators against one platform, and the oracle:
// what must be in force by the answers that they got.
type operators struct {
	t       *rapid.T
	api     *fakeAPI
	version uint64
	rates   map[string]float64
	keys    map[string]bool // key id to withdrawn
	drawn   int
}

// step is one change that an operator makes.
type step struct {
	publish func(ctx context.Context, opts contract.PublishOptions) (contract.Result, error)
	oracle  func() // what the change does once it took effect
}

// rate publishes files in which one customer has another rate. They are the
// files of the newest version, so only a rival makes a conflict.
func (o *operators) rate() step {
	customer := rapid.SampledFrom([]string{"cluj", "iasi"}).Draw(o.t, "customer")
	rate := float64(rapid.IntRange(1, 5).Draw(o.t, "rate"))
	snap, _ := contract.Load("../examples/pluta")
	for id, r := range o.rates {
		snap.Customer(id).Rate = r
	}
	snap.Customer(customer).Rate = rate
	return step{
		publish: func(ctx context.Context, opts contract.PublishOptions) (contract.Result, error) {
			return contract.Publish(ctx, o.api, snap, opts)
		},
		oracle: func() { o.rates[customer] = rate },
	}
}

func (o *operators) issue() step {
	o.drawn++
	id := fmt.Sprintf("k%d", o.drawn)
	return o.edit(addKey("arad", id), func() { o.keys[id] = false })
}

func (o *operators) withdraw() step {
	return o.edit(withdraw("arad"), func() {
		for id := range o.keys {
			o.keys[id] = true
		}
	})
}

// raise is a change that must not be made twice.
func (o *operators) raise() step {
	return o.edit(func(s *contract.Snapshot) error {
		s.Customer("sibiu").Rate++
		return nil
	}, func() { o.rates["sibiu"]++ })
}

func (o *operators) edit(change func(*contract.Snapshot) error, oracle func()) step {
	return step{
		publish: func(ctx context.Context, opts contract.PublishOptions) (contract.Result, error) {
			return contract.Edit(ctx, o.api, opts, change)
		},
		oracle: oracle,
	}
}

func (o *operators) draw(label string) step {
	kinds := []func() step{o.rate, o.raise, o.withdraw, o.issue}
	if len(o.keys) >= contract.MaxKeys-2 {
		kinds = kinds[:3]
	}
	return rapid.SampledFrom(kinds).Draw(o.t, label)()
}

// take carries out a step, perhaps with a rival or a failure at the moment when
// the head is written.
func (o *operators) take() {
	mine := o.draw("step")
	base := o.version
	switch rapid.SampledFrom([]string{"none", "none", "rival", "lost", "failed", "lost and down", "lost and rival"}).Draw(o.t, "fault") {
	case "rival":
		rival := o.draw("rival")
		o.api.before = once("update", objectapi.KindHead, func() error { o.finish(&rival, base); return nil })
	case "lost":
		o.api.after = once("update", objectapi.KindHead, func() error { return errLost })
	case "failed":
		o.api.before = once("update", objectapi.KindHead, func() error { return errLost })
	case "lost and down":
		o.api.after = once("update", objectapi.KindHead, func() error {
			o.api.before = func(string, string, string) error { return objectapi.ErrUnavailable }
			return errLost
		})
	case "lost and rival":
		rival := o.edit(addKey("oradea", fmt.Sprintf("rival%d", o.version)), func() {})
		o.api.after = once("update", objectapi.KindHead, func() error {
			mine.oracle()
			mine.oracle = func() {}
			o.version++
			o.finish(&rival, base)
			return errLost
		})
	}
	o.finish(&mine, base)
	o.api.before, o.api.after = nil, nil
	o.compare()
}

// finish publishes a step and tells the oracle what the answer says.
func (o *operators) finish(s *step, base uint64) {
	opts := options("ana", base)
	res, err := s.publish(context.Background(), opts)
	var (
		conflict *contract.ConflictError
		unknown  *contract.UnknownError
	)
	switch {
	case err == nil:
		s.oracle()
		o.version = max(o.version, res.Version)
	case errors.As(err, &unknown):
		o.readBack(s, unknown.PublishID)
	case errors.As(err, &conflict):
	default:
		o.t.Fatalf("unexpected error: %v", err)
	}
}

// readBack settles an unknown outcome by the head, as an operator does.
func (o *operators) readBack(s *step, id string) {
	o.api.before, o.api.after = nil, nil
	head, _, err := contract.ReadHead(context.Background(), o.api)
	if err != nil {
		o.t.Fatal(err)
	}
	if head.PublishID == id {
		s.oracle()
		o.version = head.Version
	}
}

// compare checks what is in force against the oracle.
func (o *operators) compare() {
	got, err := contract.Fetch(context.Background(), o.api)
	if err != nil {
		o.t.Fatal(err)
	}
	if got.Version != o.version {
		o.t.Fatalf("version %d in force, want %d", got.Version, o.version)
	}
	for id, rate := range o.rates {
		if got.Customer(id).Rate != rate {
			o.t.Fatalf("rate of %s is %g, want %g", id, got.Customer(id).Rate, rate)
		}
	}
	keys := got.Customer("arad").Keys
	if len(keys) != len(o.keys) {
		o.t.Fatalf("%d keys in force, want %d", len(keys), len(o.keys))
	}
	for _, k := range keys {
		if k.Withdrawn != o.keys[k.ID] {
			o.t.Fatalf("key %s withdrawn is %v, want %v", k.ID, k.Withdrawn, o.keys[k.ID])
		}
	}
}

var _ = Describe("racing operators and lost answers", func() {
	It("leave in force exactly what the answers say", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			snap, _ := contract.Load("../examples/pluta")
			o := &operators{
				t: t, api: newFakeAPI(), version: 1,
				rates: map[string]float64{"cluj": 250, "iasi": 60, "sibiu": 40}, keys: map[string]bool{},
			}
			if _, err := contract.Publish(context.Background(), o.api, snap, options("ana", 0)); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				o.take()
			}
		})
	})
})
