package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/standin/platformserver"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// group is a stand-in for one service's databases. A commit is acknowledged when
// one replica has received it.
type group struct {
	mu          sync.Mutex
	term        uint64
	primary     string
	databases   map[string]*standin
	fence       uint64
	orders      []succession.Order
	promoteHook func(succession.Order) error // called by promote instead of applyOrder if set
	cutAtCall   bool                         // a promoted database leads with what it had when the call was made
	atCall      map[uint64]position.Position // by fence, the end of the ordered database's log when the call was made
	ran         []string                     // ids of writes and commits that took effect
	committed   [][]string                   // ids of the writes of each committed transaction
}

// standin is a stand-in for one database of a group.
type standin struct {
	group          *group
	id             string
	end            position.Position
	unresponsive   bool // answers nothing and refuses new connections
	notReplicating bool // receives no commits from the primary
	paused         uint64
	ignoresPause   bool // it answers PAUSE, and receives on
	losePauses     int  // so many answers to PAUSE are lost, and come no sooner than the deadline
	joinsLate      bool // it still reports the term before the last promotion
	unaware        bool // the same, and that it is the primary
	received       []statement.Kind
	lastRequest    time.Time // arrival of the last statement that asks for more than its state
	receivedAt     []time.Time
	reads          int
	holdReads      chan struct{}  // reads wait until it is closed; nil if reads do not wait
	loseNextAnswer bool           // the next commit takes effect, but its answer is lost
	unsigned       bool           // answers carry no signature
	unpositioned   bool           // answers carry no position
	commitHook     func()         // called, with the group's lock held, between the next commit and its answer
	beginHook      func()         // the same for the next Begin
	busyFor        statement.Kind // statements of this kind are refused as if the database were overloaded; none if 0
	failReads      bool           // reads run and fail
	refuseNextSet  bool           // the next Set is refused as if the database were overloaded
	resets         int
}

func newGroup(ids ...string) *group {
	g := &group{term: 1, primary: ids[0], databases: map[string]*standin{}, atCall: map[uint64]position.Position{}}
	for _, id := range ids {
		g.databases[id] = &standin{group: g, id: id, end: position.Position{Term: 1, Index: 10}}
	}
	return g
}

// link is a connection to a standin.
type link struct {
	db       *standin
	values   map[string]string // of Set statements, by name
	shapes   map[string]string // of prepared statements, by name
	writers  map[string]bool   // prepared statements that write, by name
	open     bool              // a transaction is open
	readOnly bool              // the open transaction is read-only
	wrote    []string          // ids of the writes of the open transaction
	closed   chan struct{}
	once     sync.Once
}

func (g *group) dial(id string) (*link, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	db := g.databases[id]
	if db == nil {
		return nil, fmt.Errorf("dial %s: %w", id, syscall.ECONNREFUSED)
	}
	if db.unresponsive {
		return nil, errors.New("no route to host")
	}
	return &link{db: db, values: map[string]string{}, shapes: map[string]string{}, writers: map[string]bool{}, closed: make(chan struct{})}, nil
}

func (l *link) Close() error { l.once.Do(func() { close(l.closed) }); return nil }

func (l *link) Reset() {
	l.once.Do(func() {
		l.db.group.mu.Lock()
		l.db.resets++
		l.db.group.mu.Unlock()
		close(l.closed)
	})
}

func (l *link) Report(a statement.Answer) (statement.Report, error) {
	if a.Err != nil {
		return statement.Report{}, a.Err
	}
	g := l.db.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.term
	if l.db.joinsLate || l.db.unaware {
		term--
	}
	return statement.Report{Primary: g.primary == l.db.id || l.db.unaware, Term: term, Received: l.db.end, Paused: l.db.paused}, nil
}

func (l *link) Run(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error) {
	var out []statement.Answer
	for _, r := range requests {
		a, err := l.runOne(deadline, r)
		if err != nil {
			return out, err
		}
		out = append(out, a)
	}
	return out, nil
}

var errStandinTimeout = errors.New("i/o timeout")

func (l *link) runOne(deadline time.Time, r statement.Request) (statement.Answer, error) {
	if r.Kind == statement.Read || r.Kind == statement.Execute {
		if err := l.wait(deadline); err != nil {
			return statement.Answer{}, err
		}
	}
	g := l.db.group
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-l.closed:
		return statement.Answer{}, io.ErrClosedPipe
	default:
	}
	if l.db.unresponsive {
		return statement.Answer{}, errStandinTimeout
	}
	l.db.received, l.db.receivedAt = append(l.db.received, r.Kind), append(l.db.receivedAt, time.Now())
	if r.Kind != statement.Status && r.Kind != statement.Pause && r.Kind != statement.Resume {
		l.db.lastRequest = time.Now()
	}
	if r.Kind == statement.Pause && l.db.losePauses > 0 {
		l.db.losePauses--
		_, err := l.execute(r)
		g.mu.Unlock()
		time.Sleep(time.Until(deadline))
		g.mu.Lock()
		return statement.Answer{}, errors.Join(err, errStandinTimeout)
	}
	return l.execute(r)
}

// wait blocks a read while the test holds reads on the database.
func (l *link) wait(deadline time.Time) error {
	l.db.group.mu.Lock()
	hold := l.db.holdReads
	l.db.group.mu.Unlock()
	if hold == nil {
		return nil
	}
	select {
	case <-hold:
		return nil
	case <-l.closed:
		return io.ErrClosedPipe
	case <-time.After(time.Until(deadline)):
		return errStandinTimeout
	}
}

func (l *link) refuse(kind errkind.Kind) (statement.Answer, error) {
	state := statement.Idle
	if l.open {
		state = statement.Failed
	}
	return statement.Answer{Err: errkind.New(kind, "%s", l.db.id), State: state, Position: l.db.end}, nil
}

func (l *link) succeed(rows ...string) (statement.Answer, error) {
	state := statement.Idle
	if l.open {
		state = statement.Open
	}
	a := statement.Answer{Rows: rows, Signature: "signed-" + l.db.id, State: state, Position: l.db.end}
	if l.db.unsigned {
		a.Signature = ""
	}
	if l.db.unpositioned {
		a.Position = position.Position{}
	}
	return a, nil
}

// execute runs a statement. The group's mutex is held.
func (l *link) execute(r statement.Request) (statement.Answer, error) {
	g, isPrimary := l.db.group, l.db.group.primary == l.db.id
	if l.db.busyFor != 0 && r.Kind == l.db.busyFor {
		return l.refuse(errkind.DatabaseBusy)
	}
	switch r.Kind {
	case statement.Begin:
		if !isPrimary {
			return l.refuse(errkind.PrimaryReplaced)
		}
		l.open, l.readOnly, l.wrote = true, false, nil
		if hook := l.db.beginHook; hook != nil {
			l.db.beginHook = nil
			hook()
		}
	case statement.BeginRead:
		if l.db.end.Before(r.After) {
			return l.refuse(errkind.DatabaseBehind)
		}
		l.open, l.readOnly, l.wrote = true, true, nil
	case statement.Rollback:
		l.open, l.wrote = false, nil
	case statement.Set:
		if l.db.refuseNextSet {
			l.db.refuseNextSet = false
			return l.refuse(errkind.DatabaseBusy)
		}
		l.values[r.Name] = r.Args
	case statement.Reset:
		l.values, l.shapes, l.writers = map[string]string{}, map[string]string{}, map[string]bool{}
	case statement.Prepare:
		l.shapes[r.Name], l.writers[r.Name] = r.Shape, r.Writes
	case statement.Read, statement.Execute:
		if r.Kind == statement.Execute && l.writers[r.Name] {
			return l.write(r, isPrimary)
		}
		if l.db.failReads {
			return l.refuse(errkind.StatementFailed)
		}
		return l.read(r, isPrimary)
	case statement.Write:
		return l.write(r, isPrimary)
	case statement.Pause:
		if !isPrimary && r.Term > g.term && !l.db.ignoresPause {
			l.db.paused = r.Term
		}
	case statement.Resume:
		l.db.paused = 0
	case statement.Commit:
		l.open = false
		if len(l.wrote) > 0 {
			g.committed = append(g.committed, l.wrote)
			return l.commit(r)
		}
	}
	_ = g
	return l.succeed()
}

func (l *link) read(r statement.Request, isPrimary bool) (statement.Answer, error) {
	if r.Kind == statement.Execute && l.shapes[r.Name] == "" {
		return l.refuse(errkind.UnknownStatement)
	}
	if l.db.end.Before(r.After) {
		return l.refuse(errkind.DatabaseBehind)
	}
	if l.open && !l.readOnly && !isPrimary {
		return l.refuse(errkind.PrimaryReplaced)
	}
	l.db.reads++
	var values []string
	for _, name := range slices.Sorted(maps.Keys(l.values)) {
		values = append(values, name+"="+l.values[name])
	}
	return l.succeed(strings.Join(values, ",") + " " + l.shapes[r.Name])
}

func (l *link) write(r statement.Request, isPrimary bool) (statement.Answer, error) {
	if !isPrimary {
		return l.refuse(errkind.PrimaryReplaced)
	}
	if l.open {
		l.wrote = append(l.wrote, r.ID)
		return l.succeed()
	}
	return l.commit(r)
}

// commit appends to the log and replicates the new entry. It times out if no
// replica receives it, or if its answer is to be lost.
func (l *link) commit(r statement.Request) (statement.Answer, error) {
	g := l.db.group
	if g.primary != l.db.id {
		return l.refuse(errkind.PrimaryReplaced)
	}
	l.db.end = position.Position{Term: g.term, Index: l.db.end.Index + 1}
	g.ran = append(g.ran, r.ID)
	replicated := 0
	for _, other := range g.databases {
		if other != l.db && other.paused <= g.term && !other.notReplicating && !other.unresponsive {
			other.end = l.db.end
			replicated++
		}
	}
	if replicated == 0 {
		return statement.Answer{}, errStandinTimeout
	}
	if l.db.loseNextAnswer {
		l.db.loseNextAnswer = false
		return statement.Answer{}, errStandinTimeout
	}
	if hook := l.db.commitHook; hook != nil {
		l.db.commitHook = nil
		hook()
	}
	return l.succeed()
}

// promote records a promotion order and passes it to promoteHook if one is set,
// else to applyOrder.
func (g *group) promote(o succession.Order) error {
	g.mu.Lock()
	g.orders = append(g.orders, o)
	if db := g.databases[o.Database]; db != nil {
		g.atCall[o.Fence] = db.end
	}
	hook := g.promoteHook
	g.mu.Unlock()
	if hook != nil {
		return hook(o)
	}
	return g.applyOrder(o)
}

// applyOrder makes a database the primary of the next term and cuts longer logs to
// the length of its log, unless the order's fence is outdated or the database is
// unavailable.
func (g *group) applyOrder(o succession.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	db := g.databases[o.Database]
	if o.Fence < g.fence || db == nil || db.unresponsive {
		return succession.ErrRefused
	}
	g.fence = o.Fence
	if g.primary == o.Database {
		return nil
	}
	g.term++
	g.primary = o.Database
	if at, ok := g.atCall[o.Fence]; ok && g.cutAtCall {
		db.end = at
	}
	for _, other := range g.databases {
		if db.end.Before(other.end) {
			other.end = db.end
		}
	}
	return nil
}

// withLock runs f under the group's lock.
func (g *group) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// fakePlatform is a platform with one group and a stand-in for the store.
type fakePlatform struct {
	group *group
	store *platformserver.Server
	api   objectapi.Objects
	eras  *objectapi.Eras
}

func newFakePlatform(g *group) *fakePlatform {
	store, err := platformserver.Start(platformserver.Config{Listen: "127.0.0.1:0"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	api := objectapi.NewClient(objectapi.ClientConfig{BaseURL: store.URL(), CallsPerSecond: 1e4, Burst: 1e4, WatchWait: 200 * time.Millisecond})
	return &fakePlatform{group: g, store: store, api: api, eras: api.Eras()}
}

func (p *fakePlatform) Objects() objectapi.Objects         { return p.api }
func (p *fakePlatform) Eras() *objectapi.Eras              { return p.eras }
func (*fakePlatform) ConfigurationKind() string            { return "config" }
func (*fakePlatform) ConfigurationName() string            { return "main" }
func (*fakePlatform) DatabasesKind() string                { return "databases" }
func (*fakePlatform) EvacuationsKind() string              { return "evacuations" }
func (*fakePlatform) CheckDataCentre(string) error         { return nil }
func (*fakePlatform) Accept(net.Conn, CallerLimits) Caller { return nil }

func (*fakePlatform) DecodeConfiguration([]byte) (*routes.Configuration, error) {
	return nil, errors.New("not used")
}

func (*fakePlatform) DecodeDatabase(string, []byte) (routes.Database, error) {
	return routes.Database{}, errors.New("not used")
}

func (p *fakePlatform) Dial(_ context.Context, db routes.Database, _ string) (Connection, error) {
	l, err := p.group.dial(db.ID)
	if err != nil {
		return nil, err
	}
	return l, nil
}

func (p *fakePlatform) Promote(_ context.Context, o succession.Order) error {
	return p.group.promote(o)
}

func (*fakePlatform) ReadyHandler(func() bool) http.Handler { return http.NotFoundHandler() }

// Names in the test configuration.
const (
	testService  = "orders-db"
	testCustomer = "shop"
	testKey      = "key-1"
)

// newTestGateway returns a gateway with a test configuration and the group's
// databases. It listens for other hosts but not for callers.
// runAttempt replaces a service's primary for a reason. While it runs, the host starts no
// other attempt.
func runAttempt(svc *service, reason succession.Reason) *replacement {
	setRunning := func(running bool) {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		svc.promotion.running = running
	}
	svc.mu.Lock()
	a := svc.newReplacement(reason, position.Position{}, time.Now())
	svc.mu.Unlock()
	setRunning(true)
	defer setRunning(false)
	a.run()
	return a
}

// leaseSettled reads the service's lease, after the roster, and reports whether it is settled.
func (s *service) leaseSettled(term uint64) bool {
	s.mu.Lock()
	pauses := s.replication.pauses
	s.mu.Unlock()
	return s.leaseSettledSince(term, pauses)
}

func newTestGateway(p *fakePlatform) *Gateway {
	return newLoggingTestGateway(p, slog.New(slog.DiscardHandler))
}

func newLoggingTestGateway(p *fakePlatform, logger *slog.Logger) *Gateway {
	return newTestGatewayWith(p, logger, func(*Options) {})
}

// newTestGatewayWith returns a test gateway with some options changed.
func newTestGatewayWith(p *fakePlatform, logger *slog.Logger, change func(*Options)) *Gateway {
	offset := &atomic.Int64{}
	opt := Options{
		Name: "host-1", DataCentre: "dc-a", Centres: []string{"dc-a"}, Peers: "127.0.0.1:0", Grace: time.Second, MaxCallers: 10,
		MessageTimeout: time.Second, Platform: p, Logger: logger,
		Now: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) },
	}
	change(&opt)
	g := New(opt)
	clockOffsets.Store(g, offset)
	var err error
	g.peers, err = listenPeers(g)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(g.Close)
	config := &routes.Configuration{
		Version: 1,
		Routes: map[string]routes.Route{
			"current": {Name: "current", Service: testService, Timeout: 800 * time.Millisecond, Objective: 100 * time.Millisecond},
			"own":     {Name: "own", Service: testService, Freshness: routes.ReadYourWrites, MaxAge: 2 * time.Second, Timeout: 800 * time.Millisecond, Objective: 100 * time.Millisecond},
			"bounded": {Name: "bounded", Service: testService, Freshness: routes.Bounded, MaxAge: time.Second, Timeout: 800 * time.Millisecond, Objective: 100 * time.Millisecond},
		},
		Services:  map[string]routes.Service{testService: {Name: testService, MaxConns: 40, SyncReplicas: 1}},
		Customers: map[string]routes.Customer{testCustomer: {Name: testCustomer, Keys: []string{testKey}}},
	}
	config.IndexKeys()
	g.config.Store(&loadedConfiguration{Configuration: config})
	databases := map[string]routes.Database{}
	p.group.withLock(func() {
		for id := range p.group.databases {
			databases[id] = routes.Database{ID: id, Service: testService, Address: id, DataCentre: "dc-a", Slots: 4, Primary: p.group.primary == id}
		}
	})
	g.setDatabases(databases)
	g.confirmDatabaseList(time.Now())
	svc := g.service(testService)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.table = lead.New()
	svc.table.SetDatabases(slices.Collect(maps.Values(databases)), time.Now().Add(-time.Minute))
	return g
}

// clockOffsets holds by how much the clocks of test gateways differ from the machine's, as
// *atomic.Int64 of nanoseconds by *Gateway.
var clockOffsets sync.Map

// ago runs f with the host's clock set back.
func (g *Gateway) ago(d time.Duration, f func()) {
	v, _ := clockOffsets.Load(g)
	offset := v.(*atomic.Int64)
	offset.Add(-int64(d))
	defer offset.Add(int64(d))
	f()
}

// setDatabasesAgo applies a list of the service's databases as of a time ago, and now.
func (s *service) setDatabasesAgo(ago time.Duration, list ...routes.Database) {
	s.mu.Lock()
	s.table.SetDatabases(list, time.Now().Add(-ago))
	s.mu.Unlock()
	s.setDatabases(list, 4)
}

// updateRoute changes a route of the test configuration.
func (g *Gateway) updateRoute(name string, change func(*routes.Route)) {
	config := *g.config.Load().Configuration
	config.Routes = maps.Clone(config.Routes)
	route := config.Routes[name]
	change(&route)
	config.Routes[name] = route
	g.config.Store(&loadedConfiguration{Configuration: &config})
}

// inUse returns the number of connections that are neither idle nor closed.
func (p *pool) inUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle)
}

// newTestSession returns a session that is logged in.
func newTestSession(g *Gateway, routeName string) *session {
	s := newSession(g, nil)
	s.routeName, s.key = routeName, testKey
	_, err := s.route()
	Expect(err).NotTo(HaveOccurred())
	return s
}

var testRequests int

// request returns a caller's request with a new id.
func request(kind statement.Kind, fields ...string) statement.Request {
	testRequests++
	st := statement.Statement{Kind: kind, Text: "text"}
	if len(fields) > 0 {
		st.Name = fields[0]
	}
	if len(fields) > 1 {
		st.Args = fields[1]
	}
	return statement.Request{ID: fmt.Sprintf("r%d", testRequests), Statement: st}
}
