package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

// awayStore is a store that a host does not reach while away is set.
type awayStore struct {
	objectapi.Objects
	away  atomic.Bool
	calls atomic.Int64
}

func (s *awayStore) reach() error {
	s.calls.Add(1)
	if s.away.Load() {
		return objectapi.ErrUnavailable
	}
	return nil
}

func (s *awayStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if err := s.reach(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Objects.Get(ctx, kind, name)
}

func (s *awayStore) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if err := s.reach(); err != nil {
		return nil, 0, err
	}
	return s.Objects.List(ctx, kind)
}

func (s *awayStore) Watch(ctx context.Context, kind string, version uint64) ([]objectapi.Event, uint64, error) {
	if err := s.reach(); err != nil {
		return nil, 0, err
	}
	return s.Objects.Watch(ctx, kind, version)
}

func (s *awayStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error) {
	if err := s.reach(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Objects.Create(ctx, kind, name, value)
}

func (s *awayStore) Update(ctx context.Context, kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	if err := s.reach(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Objects.Update(ctx, kind, name, version, value)
}

// evacuationLimit is the site's limit in these specs. A host stops a second before it.
const evacuationLimit = 2500 * time.Millisecond

// evacuationSite is a host in dc-a and one service's databases in several data centres.
type evacuationSite struct {
	dbs   *group
	p     *fakePlatform
	store *awayStore // as the host reaches it
	g     *Gateway
	svc   *service
}

// newEvacuationSite starts a host with the given databases and their data centres; a is the primary.
// The host's periodic work and its watch of the requests run.
func newEvacuationSite(places map[string]string) *evacuationSite {
	s := &evacuationSite{dbs: newGroup("a")}
	for id := range places {
		s.dbs.databases[id] = &standin{group: s.dbs, id: id, end: position.Position{Term: 1, Index: 10}}
	}
	s.p = newFakePlatform(s.dbs)
	s.store = &awayStore{Objects: s.p.api}
	host := *s.p
	host.api = s.store
	s.g = newTestGatewayWith(&host, slog.New(slog.DiscardHandler), withEvacuations)
	s.svc = s.g.service(testService)
	list := map[string]routes.Database{}
	for id, dc := range places {
		list[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: dc, Slots: 4, Primary: id == "a"}
	}
	s.g.mu.Lock()
	s.g.databases = list
	s.g.mu.Unlock()
	s.svc.mu.Lock()
	s.svc.pools, s.svc.table = map[string]*pool{}, lead.New()
	for _, db := range list {
		s.svc.pools[db.ID] = newPool(s.g, s.svc, db, 8)
	}
	s.svc.mu.Unlock()
	all := []routes.Database{}
	for _, db := range list {
		all = append(all, db)
	}
	s.svc.setDatabasesAgo(time.Minute, all...)
	s.g.started = s.g.started.Add(-initialStateTimeout)
	return s
}

func withEvacuations(opt *Options) {
	opt.Features.Evacuation, opt.Evacuation = true, evacuationLimit
}

func (s *evacuationSite) start() *evacuationSite {
	s.otherWatches(true)
	s.g.startWorker(s.g.watchEvacuations)
	s.g.startWorker(s.g.tick)
	Eventually(s.g.evacuations.known).Should(BeTrue())
	DeferCleanup(func() {
		s.g.Close()
		s.g.workers.Wait()
	})
	return s
}

// otherWatches sets whether the store answers the host's watches of the configuration and the databases,
// which do not run.
func (s *evacuationSite) otherWatches(answered bool) {
	s.g.recordStoreState(s.p.ConfigurationKind(), answered)
	s.g.recordStoreState(s.p.DatabasesKind(), answered)
}

// evacuate requests the evacuation of a data centre and returns when the store has acknowledged it.
func (s *evacuationSite) evacuate(dataCentre string) time.Time {
	GinkgoHelper()
	_, err := s.p.api.Create(context.Background(), s.p.EvacuationsKind(), dataCentre, []byte("{}"))
	Expect(err).NotTo(HaveOccurred())
	return time.Now()
}

func (s *evacuationSite) takeBack(dataCentre string) {
	GinkgoHelper()
	Expect(s.p.store.Delete(s.p.EvacuationsKind(), dataCentre)).To(Succeed())
}

func (s *evacuationSite) primary() (id string) {
	s.dbs.withLock(func() { id = s.dbs.primary })
	return id
}

func (s *evacuationSite) orders() (n int) {
	s.dbs.withLock(func() { n = len(s.dbs.orders) })
	return n
}

// lastRequest returns when the last request reached one of the databases.
func (s *evacuationSite) lastRequest(ids ...string) (at time.Time) {
	s.dbs.withLock(func() {
		for _, id := range ids {
			if t := s.dbs.databases[id].lastRequest; t.After(at) {
				at = t
			}
		}
	})
	return at
}

func (s *evacuationSite) write() (statement.Answer, time.Duration) {
	from := time.Now()
	a := newTestSession(s.g, "current").serve(request(statement.Write))
	return a, time.Since(from)
}

// callers is a load of writers and readers that send one statement after the other.
type callers struct {
	stop chan struct{}
	all  sync.WaitGroup

	mu     sync.Mutex
	acked  []position.Position
	writes int
	pause  time.Duration // the longest time without an acknowledged write of any
	lastAt time.Time
	refuse map[errkind.Kind]int
}

func (s *evacuationSite) load(writers, readers int) *callers {
	c := &callers{stop: make(chan struct{}), lastAt: time.Now(), refuse: map[errkind.Kind]int{}}
	run := func(route string, kind statement.Kind) {
		session := newTestSession(s.g, route)
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			c.record(kind, session.serve(nextRequest(kind)))
		}
	}
	for range writers {
		c.all.Go(func() { run("current", statement.Write) })
	}
	for range readers {
		c.all.Go(func() { run("bounded", statement.Read) })
	}
	return c
}

var loadRequests atomic.Int64

// nextRequest is request for concurrent callers.
func nextRequest(kind statement.Kind) statement.Request {
	return statement.Request{ID: "load" + time.Duration(loadRequests.Add(1)).String(), Statement: statement.Statement{Kind: kind, Text: "text"}}
}

func (c *callers) record(kind statement.Kind, a statement.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.Err != nil:
		c.refuse[a.Err.Kind]++
	case kind == statement.Write:
		now := time.Now()
		c.pause, c.lastAt = max(c.pause, now.Sub(c.lastAt)), now
		c.acked, c.writes = append(c.acked, a.Position), c.writes+1
	}
}

func (c *callers) end() {
	close(c.stop)
	c.all.Wait()
}
