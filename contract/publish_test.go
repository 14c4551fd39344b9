package contract_test

import (
	"context"
	"errors"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/internal/tomlread"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// options returns those of an operator who saw version base and never waits.
func options(operator string, base uint64) contract.PublishOptions {
	return contract.PublishOptions{Base: base, Operator: operator, Pause: func(ctx context.Context) error { return ctx.Err() }}
}

func issued(id string) contract.Key {
	return contract.Key{ID: id, Salt: make([]byte, 16), Hash: make([]byte, 32)}
}

// addKey returns an edit that gives a customer a key.
func addKey(customer, id string) func(*contract.Snapshot) error {
	return func(s *contract.Snapshot) error {
		c := s.Customer(customer)
		c.Keys = append(c.Keys, issued(id))
		return nil
	}
}

// withdraw returns an edit that withdraws each key of a customer.
func withdraw(customer string) func(*contract.Snapshot) error {
	return func(s *contract.Snapshot) error {
		for i := range s.Customer(customer).Keys {
			s.Customer(customer).Keys[i].Withdrawn = true
		}
		return nil
	}
}

var _ = Describe("publishing", func() {
	var (
		ctx  context.Context
		api  *fakeAPI
		snap *contract.Snapshot
	)

	BeforeEach(func() {
		ctx = context.Background()
		api = newFakeAPI()
		snap, _ = contract.Load("../examples/pluta")
	})

	publish := func(operator string, base uint64) (contract.Result, error) {
		return contract.Publish(ctx, api, snap, options(operator, base))
	}
	fetch := func() *contract.Snapshot {
		GinkgoHelper()
		got, err := contract.Fetch(ctx, api)
		Expect(err).NotTo(HaveOccurred())
		return got
	}

	It("puts each version in force, writing only the chunks that changed", func() {
		_, err := contract.Fetch(ctx, api)
		Expect(err).To(MatchError(contract.ErrNotPublished))
		res, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Version).To(Equal(uint64(1)))
		Expect(contract.Diff(snap, fetch())).To(BeEmpty())

		snap.Customer("cluj").Rate = 260
		res, err = publish("ana", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Version).To(Equal(uint64(2)))
		Expect(res.Chunks).To(Equal(2)) // customers and the manifest
		Expect(fmt.Sprint(res.Changes)).To(Equal("[~ customer cluj: rate 250 -> 260]"))
		Expect(fetch().Customer("cluj").Rate).To(Equal(260.0))
	})

	It("publishes nothing when nothing changes", func() {
		_, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		res, err := publish("ana", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(res).To(Equal(contract.Result{Version: 1}))
	})

	It("publishes above a version that hosts run by after the platform went back", func() {
		_, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		opts := options("ana", 1)
		opts.Above = 40
		res, err := contract.Publish(ctx, api, snap, opts)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Version).To(Equal(uint64(41)))
		Expect(fetch().Version).To(Equal(uint64(41)))
		opts.Base = 41
		res, err = contract.Publish(ctx, api, snap, opts)
		Expect(err).NotTo(HaveOccurred())
		Expect(res).To(Equal(contract.Result{Version: 41}))
	})

	It("raises the roster's version only when the roster changes", func() {
		_, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		snap.Customer("cluj").Rate++
		_, err = publish("ana", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(fetch().Roster.Version).To(Equal(uint64(1)))
		snap.Roster.Hosts = snap.Roster.Hosts[1:]
		_, err = publish("ana", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(fetch().Roster.Version).To(Equal(uint64(2)))
	})

	It("refuses a snapshot at fault before it writes anything", func() {
		snap.Customer("cluj").Rate = -1
		_, err := publish("ana", 0)
		var faults tomlread.Faults
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(api.objects).To(BeEmpty())
	})

	It("shows an operator who lost a race what the other changed", func() {
		_, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		snap.Customer("cluj").Rate = 300
		_, err = publish("bogdan", 1)
		Expect(err).NotTo(HaveOccurred())

		snap, _ = contract.Load("../examples/pluta")
		snap.Customer("iasi").Rate = 70
		_, err = publish("ana", 1)
		var conflict *contract.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Operator).To(Equal("bogdan"))
		Expect(fmt.Sprint(conflict.Changes)).To(Equal("[~ customer cluj: rate 250 -> 300]"))
		Expect(fetch().Customer("iasi").Rate).To(Equal(60.0))
	})

	It("lets one of two operators win who publish at the same moment", func() {
		_, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		other, _ := contract.Load("../examples/pluta")
		other.Customer("cluj").Rate = 300
		api.before = once("update", objectapi.KindHead, func() error {
			_, err := contract.Publish(ctx, api, other, options("bogdan", 1))
			return err
		})
		snap.Customer("iasi").Rate = 70
		_, err = publish("ana", 1)
		var conflict *contract.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Changes).To(HaveLen(1))
		Expect(fetch().Version).To(Equal(uint64(2)))
	})

	It("lets one of two win the very first version", func() {
		other, _ := contract.Load("../examples/pluta")
		other.Customer("cluj").Rate = 300
		api.before = once("create", objectapi.KindHead, func() error {
			_, err := contract.Publish(ctx, api, other, options("bogdan", 0))
			return err
		})
		_, err := publish("ana", 0)
		var conflict *contract.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(fetch().Customer("cluj").Rate).To(Equal(300.0))
	})

	It("never gives two of many racing edits one version, and loses none", func() {
		_, err := publish("ana", 0)
		Expect(err).NotTo(HaveOccurred())
		var (
			wg       sync.WaitGroup
			mu       sync.Mutex
			versions = map[uint64]bool{}
		)
		for i := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				opts := options("ana", 0)
				opts.Attempts = 100
				res, err := contract.Edit(ctx, api, opts, addKey("cluj", fmt.Sprintf("k%d", i)))
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				defer mu.Unlock()
				versions[res.Version] = true
			})
		}
		wg.Wait()
		Expect(versions).To(HaveLen(8))
		Expect(fetch().Customer("cluj").Keys).To(HaveLen(8))
		Expect(fetch().Version).To(Equal(uint64(9)))
	})

	Describe("with keys in force", func() {
		BeforeEach(func() {
			_, err := publish("ana", 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = contract.Edit(ctx, api, options("ana", 0), addKey("cluj", "k1"))
			Expect(err).NotTo(HaveOccurred())
		})

		It("carries keys over, and takes none from files", func() {
			snap.Customer("cluj").Rate++
			snap.Customer("iasi").Keys = []contract.Key{issued("smuggled")}
			_, err := publish("ana", 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(fetch().Customer("cluj").Keys).To(HaveLen(1))
			Expect(fetch().Customer("iasi").Keys).To(BeEmpty())
		})

		It("keeps a key withdrawn when the withdrawal races a publishing", func() {
			snap.Customer("cluj").Rate++
			api.before = once("update", objectapi.KindHead, func() error {
				_, err := contract.Edit(ctx, api, options("bogdan", 0), withdraw("cluj"))
				return err
			})
			res, err := publish("ana", 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version).To(Equal(uint64(4)))
			Expect(fetch().Customer("cluj").Keys[0].Withdrawn).To(BeTrue())
		})

		It("withdraws a key also when a publishing is faster", func() {
			api.before = once("update", objectapi.KindHead, func() error {
				snap.Customer("cluj").Rate++
				_, err := contract.Publish(ctx, api, snap, options("bogdan", 2))
				return err
			})
			_, err := contract.Edit(ctx, api, options("ana", 0), withdraw("cluj"))
			Expect(err).NotTo(HaveOccurred())
			Expect(fetch().Customer("cluj").Keys[0].Withdrawn).To(BeTrue())
			Expect(fetch().Customer("cluj").Rate).To(Equal(251.0))
		})
	})

	Describe("when the platform fails", func() {
		lose := func() error { return errLost }

		BeforeEach(func() {
			_, err := publish("ana", 0)
			Expect(err).NotTo(HaveOccurred())
			snap.Customer("cluj").Rate = 300
		})

		It("knows its own head after a lost answer, and publishes once", func() {
			api.after = once("update", objectapi.KindHead, lose)
			res, err := publish("ana", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Recovered).To(BeTrue())
			Expect(res.Version).To(Equal(uint64(2)))
			Expect(res.Changes).To(HaveLen(1))
			Expect(fetch().Version).To(Equal(uint64(2)))
		})

		It("knows its own head under that of an operator who was next", func() {
			api.after = once("update", objectapi.KindHead, func() error {
				_, err := contract.Edit(ctx, api, options("bogdan", 0), addKey("cluj", "k1"))
				Expect(err).NotTo(HaveOccurred())
				return errLost
			})
			res, err := publish("ana", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version).To(Equal(uint64(2)))
			Expect(fetch().Version).To(Equal(uint64(3)))
		})

		It("publishes once when the update did not take effect", func() {
			api.before = once("update", objectapi.KindHead, lose)
			res, err := publish("ana", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Recovered).To(BeFalse())
			Expect(fetch().Version).To(Equal(uint64(2)))
		})

		It("goes on after the lost answer of a chunk", func() {
			api.after = once("create", objectapi.KindChunk, lose)
			_, err := publish("ana", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(fetch().Customer("cluj").Rate).To(Equal(300.0))
		})

		It("waits for its budget of calls", func() {
			var refused sync.Map
			api.before = func(op, kind, name string) error {
				if _, before := refused.LoadOrStore(op+kind+name, true); !before {
					return objectapi.ErrBudget
				}
				return nil
			}
			res, err := publish("ana", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Recovered).To(BeFalse())
			api.before = nil
			Expect(fetch().Version).To(Equal(uint64(2)))
		})

		It("says unknown when the head can't be read back, and the next try finds it done", func() {
			down := false
			api.after = once("update", objectapi.KindHead, func() error { down = true; return errLost })
			api.before = func(string, string, string) error {
				if down {
					return objectapi.ErrUnavailable
				}
				return nil
			}
			_, err := publish("ana", 1)
			var unknown *contract.UnknownError
			Expect(errors.As(err, &unknown)).To(BeTrue())
			down = false
			head, _, err := contract.ReadHead(ctx, api)
			Expect(err).NotTo(HaveOccurred())
			Expect(head.PublishID).To(Equal(unknown.PublishID))
			res, err := publish("ana", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(res).To(Equal(contract.Result{Version: 2}))
		})

		It("says unavailable, and changes nothing, in an outage", func() {
			api.before = func(string, string, string) error { return objectapi.ErrUnavailable }
			_, err := publish("ana", 1)
			Expect(err).To(MatchError(objectapi.ErrUnavailable))
			var unknown *contract.UnknownError
			Expect(errors.As(err, &unknown)).To(BeFalse())
			api.before = nil
			Expect(fetch().Version).To(Equal(uint64(1)))
		})

		It("refuses a snapshot with any chunk missing or altered", func() {
			head, _, err := contract.ReadHead(ctx, api)
			Expect(err).NotTo(HaveOccurred())
			for _, part := range head.Parts {
				key := objectapi.KindChunk + "/" + part.Hash
				o := api.objects[key]
				delete(api.objects, key)
				_, err = contract.Fetch(ctx, api)
				Expect(err).To(MatchError(contract.ErrChunkMissing), part.Name)
				altered := o
				altered.Value = append([]byte(" "), o.Value...)
				api.objects[key] = altered
				_, err = contract.Fetch(ctx, api)
				Expect(err).To(MatchError(contract.ErrCorrupt), part.Name)
				api.objects[key] = o
			}
			fetch()
		})

		It("does not call the outcome unknown when the budget refused the update", func() {
			api.before = func(op, kind, _ string) error {
				if op == "update" && kind == objectapi.KindHead {
					return objectapi.ErrBudget
				}
				return nil
			}
			short, cancel := context.WithCancel(ctx)
			opts := options("ana", 1)
			opts.Pause = func(context.Context) error { cancel(); return short.Err() }
			_, err := contract.Publish(short, api, snap, opts)
			Expect(err).To(MatchError(objectapi.ErrBudget))
			var unknown *contract.UnknownError
			Expect(errors.As(err, &unknown)).To(BeFalse())
		})
	})
})
