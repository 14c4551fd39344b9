package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// hostsUnreadable is a store that does not list the hosts' entries.
type hostsUnreadable struct{ objectapi.Objects }

func (s hostsUnreadable) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if kind == kindHosts {
		return nil, 0, objectapi.ErrUnavailable
	}
	return s.Objects.List(ctx, kind)
}

// Guards against the loss of an acknowledged commit (LOST) in a fleet of two versions: a
// host of the older one acknowledged it on a replica that a host of the newer one
// had read before, and did not promote.
var _ = Describe("a fleet with hosts of older rules", func() {
	var (
		dbs *group
		p   *fakePlatform
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		g = newTestGateway(p)
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	none := func() {}
	const older = `{"address":"127.0.0.1:9","dataCentre":"dc-a"}`
	const present = `{"address":"127.0.0.1:9","dataCentre":"dc-a","rules":1}`
	storeEntry := func(name, value string) {
		_, err := p.api.Create(context.Background(), kindHosts, name, []byte(value))
		Expect(err).NotTo(HaveOccurred())
	}
	heard := func(rules uint32) *gossippb.Gossip {
		return &gossippb.Gossip{Host: "host-2", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 1, Rules: rules}
	}
	attempt := func(reason succession.Reason) *replacement {
		svc.mu.Lock()
		a := svc.newReplacement(reason, position.Position{}, time.Now())
		svc.mu.Unlock()
		a.run()
		return a
	}
	// confirmed writes to a database and reports whether a replica confirmed it.
	confirmed := func(id string) bool {
		l, err := dbs.dial(id)
		Expect(err).NotTo(HaveOccurred())
		a, err := l.Run(time.Now().Add(time.Second), request(statement.Write))
		return err == nil && a[0].Err == nil
	}
	received := func(kind statement.Kind) (n int) {
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				for _, k := range db.received {
					if k == kind {
						n++
					}
				}
			}
		})
		return n
	}
	ends := func() map[string]uint64 {
		out := map[string]uint64{}
		dbs.withLock(func() {
			for id, db := range dbs.databases {
				out[id] = db.end.Index
			}
		})
		return out
	}
	storedLease := func() (l succession.Lease) {
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_ = json.Unmarshal(held.Value, &l)
		return l
	}

	DescribeTable("lets no replica confirm a commit once its log was read",
		func(prepare, duringOrder func()) {
			prepare()
			during := true
			dbs.withLock(func() {
				dbs.promoteHook = func(o succession.Order) error {
					duringOrder()
					during = confirmed("a")
					return dbs.applyOrder(o)
				}
			})
			attempt(succession.Stalled)
			Expect(during).To(BeFalse())
			dbs.withLock(func() { Expect(dbs.primary).NotTo(Equal("a")) })
			Expect(received(statement.Pause)).To(BeNumerically(">", 0))
			Expect(confirmed(func() (id string) { dbs.withLock(func() { id = dbs.primary }); return id }())).To(BeTrue(), "replicas are paused for good")
			Expect(storedLease().Settled(2)).To(BeTrue())
		},
		Entry("if every host states the present rules", func() { storeEntry("host-2", present); g.peers.handleMessage(heard(1)) }, none),
		Entry("if a host's entry states no rules", func() { storeEntry("host-2", older) }, none),
		Entry("if a host of older rules starts while the order is given", none, func() { storeEntry("host-2", older) }),
		Entry("if a host states none in its messages, only in its entry", func() { storeEntry("host-2", present); g.peers.handleMessage(heard(0)) }, none),
		Entry("if the hosts of another data centre state none", func() {
			g.peers.handleMessage(&gossippb.Gossip{Host: "host-3", Address: "127.0.0.1:9", DataCentre: "dc-b", Boot: 1, Sequence: 1, Rules: 1, Centres: []*gossippb.Centre{{Name: "dc-b", Hosts: 2}}})
		}, none),
		Entry("if the entries cannot be read", func() { p.api = hostsUnreadable{p.api} }, none),
		Entry("if an entry is another writer's", func() { storeEntry("host-2", `{"slots":7}`); storeEntry("host-3", `[]`) }, none),
	)

	// Until then every commit is confirmed by the successor, which is paused last.
	It("confirms no commit by a replica that the successor of a leaving primary may lack", func() {
		storeEntry("host-2", older)
		dbs.withLock(func() {
			dbs.promoteHook = func(o succession.Order) error {
				before := ends()
				if confirmed("a") {
					return errors.New("a replica receives")
				}
				for id, end := range ends() {
					if id != "a" && end != before[id] || end > before[o.Database] && id != "a" {
						return errors.New("the successor's log is not the longest, or another replica receives: " + id)
					}
				}
				return dbs.applyOrder(o)
			}
		})
		attempt(succession.Leaving)
		dbs.withLock(func() {
			Expect(dbs.orders).To(HaveLen(1))
			Expect(dbs.primary).NotTo(Equal("a"))
		})
		Expect(received(statement.Pause)).To(Equal(2))
	})

	It("promotes nothing if a replica that may confirm commits cannot be paused", func() {
		dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
		attempt(succession.Leaving)
		dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
		dbs.withLock(func() { dbs.databases["c"].unresponsive = false })
		Expect(confirmed("a")).To(BeTrue())
	})

	It("does not resume replicas that another host may have paused since", func() {
		storeEntry("host-2", older)
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				held, err := p.api.Get(context.Background(), kindLeases, testService)
				if err == nil {
					_, err = p.api.Update(context.Background(), kindLeases, testService, held.Version, []byte(`{"holder":"host-2","claim":"x"}`))
				}
				return errors.Join(err, succession.ErrRefused)
			}
		})
		attempt(succession.Stalled)
		Expect(received(statement.Resume)).To(BeZero())
		Expect(storedLease().Holder).To(Equal("host-2"))
	})

	// It would go on with what the former primary has sent it.
	It("does not resume a replica that has not joined the new primary's term", func() {
		storeEntry("host-2", older)
		dbs.withLock(func() {
			dbs.databases["b"].end.Index = 12
			dbs.promoteHook = func(o succession.Order) error {
				dbs.withLock(func() { dbs.databases["c"].joinsLate = true })
				return dbs.applyOrder(o)
			}
		})
		attempt(succession.Stalled)
		dbs.withLock(func() {
			Expect(dbs.primary).To(Equal("b"))
			Expect(dbs.databases["c"].received).To(ContainElement(statement.Pause))
			Expect(dbs.databases["c"].received).NotTo(ContainElement(statement.Resume))
		})
		Expect(storedLease().Settled(2)).To(BeTrue())
	})

	DescribeTable("takes a replica that has not joined the new primary's term for left paused only if that primary cannot reach it either",
		func(pausedTo uint64, left bool) {
			dbs.withLock(func() {
				dbs.term, dbs.primary = 2, "b"
				dbs.databases["c"].joinsLate, dbs.databases["c"].paused = true, pausedTo
			})
			svc.recordPrimary("b", position.Position{Term: 2, Index: 10}, time.Now())
			Expect(svc.anyPaused(svc.allPools())).To(Equal(left))
			svc.mu.Lock()
			a := svc.newReplacement(succession.Paused, position.Position{}, time.Now())
			svc.mu.Unlock()
			a.settle()
			dbs.withLock(func() {
				if left {
					Expect(dbs.databases["c"].paused).To(BeZero())
				} else {
					Expect(dbs.databases["c"].paused).To(Equal(pausedTo))
				}
			})
		},
		Entry("paused before the promotion", uint64(2), false),
		Entry("paused after it", uint64(3), true),
	)

	It("leaves the lease to expire if a RESUME may be carried out late", func() {
		storeEntry("host-2", older)
		dbs.withLock(func() {
			dbs.promoteHook = func(succession.Order) error {
				dbs.withLock(func() { dbs.databases["c"].unresponsive = true })
				return succession.ErrRefused
			}
		})
		a := attempt(succession.Stalled)
		Expect(storedLease().Released).To(BeFalse())
		Expect(a.pausing.unanswered).To(BeTrue())
	})

	DescribeTable("resumes replicas that a host has left paused",
		func(prepare func(), paused ...string) {
			prepare()
			dbs.withLock(func() {
				for _, id := range paused {
					dbs.databases[id].paused = 2
				}
			})
			Eventually(func() (n uint64) {
				svc.maybeReplacePrimary(time.Now())
				dbs.withLock(func() { n = dbs.databases["b"].paused + dbs.databases["c"].paused })
				return n
			}).WithTimeout(4 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
			Expect(storedLease().Settled(1)).To(BeTrue())
			dbs.withLock(func() { Expect(dbs.orders).To(BeEmpty()) })
		},
		Entry("while there are older hosts", func() { storeEntry("host-2", older); g.peers.listHosts() }, "b", "c"),
		Entry("while there are no commits", none, "b", "c"),
		Entry("while the primary confirms no commit", func() {
			dbs.withLock(func() { dbs.databases["b"].paused, dbs.databases["c"].paused = 2, 2 })
			svc.mu.Lock()
			svc.promotion.lastPausedCheck, svc.homeRank = time.Now(), 1
			svc.mu.Unlock()
			go func() { _ = newTestSession(g, "own").serve(request(statement.Write)) }()
		}, "b", "c"),
		Entry("once one is seen paused", func() {
			dbs.withLock(func() { dbs.databases["b"].paused = 2 })
			Expect(newTestSession(g, "own").serve(request(statement.Write)).Err).To(BeNil())
		}, "b"),
	)

	// It drops its order when the platform has answered an order for the present primary,
	// though an earlier one may be under way.
	DescribeTable("relies on no lease that a host of older rules has written",
		func(value string) {
			dbs.withLock(func() { dbs.databases["b"].notReplicating = true })
			_, err := p.api.Create(context.Background(), kindLeases, testService, []byte(value))
			Expect(err).NotTo(HaveOccurred())
			acknowledged := func() bool { return newTestSession(g, "own").serve(request(statement.Write)).Err == nil }
			ordered := make(chan time.Time, 10)
			dbs.withLock(func() {
				dbs.promoteHook = func(o succession.Order) error {
					ordered <- time.Now()
					return dbs.applyOrder(o)
				}
			})
			Expect(acknowledged()).To(BeFalse())
			Eventually(acknowledged).WithTimeout(12 * time.Second).Should(BeTrue())
			Expect(ordered).To(HaveLen(succession.VoidRounds))
			Expect(time.Since(<-ordered)).To(BeNumerically(">=", succession.VoidRounds*succession.PromotionLimit))
			dbs.withLock(func() { Expect(dbs.primary).To(Equal("a")) })
			Expect(storedLease().Settled(1)).To(BeTrue())
		},
		Entry("that is released", `{"holder":"host-2","claim":"x","released":true}`),
		Entry("that is released and names a term", `{"holder":"host-2","claim":"x","released":true,"term":1}`),
		Entry("that this host's own older version released", `{"holder":"host-1","claim":"x","released":true}`),
	)

	// The commits up to its floor may be on the silent primary alone.
	It("does not forget the end of the last successor's log because an older host rewrites the lease", func() {
		dbs.withLock(func() { dbs.databases["b"].end.Index = 12 })
		attempt(succession.Stalled)
		held, err := p.api.Get(context.Background(), kindLeases, testService)
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Update(context.Background(), kindLeases, testService, held.Version, []byte(`{"holder":"host-2","claim":"x","released":true}`))
		Expect(err).NotTo(HaveOccurred())
		dbs.withLock(func() {
			Expect(dbs.primary).To(Equal("b"))
			dbs.databases["b"].unresponsive = true
		})
		attempt(succession.Silent)
		dbs.withLock(func() { Expect(dbs.primary).To(Equal("b")) })
	})
})
