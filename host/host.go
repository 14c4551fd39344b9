// Package host implements an entry host: it accepts callers' connections, runs
// their requests on databases under the contracts of the services, and
// coordinates with the other hosts.
//
// Lock order: Host.applyMu, then members.mu, then any one of groupRunner.mu,
// sharedTable.mu, turn.Queue.mu, session.mu, registry.mu and contacts.mu, which are
// leaves.
package host

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/keys"
	"github.com/bronzeloft/bronzeloft/customer/rate"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/database/budget"
	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/report"
	"github.com/bronzeloft/bronzeloft/settings"
)

// Options configures a Host.
type Options struct {
	Settings *settings.Host
	Platform objectapi.API    // nil: the configuration comes from peers or Offer
	Logger   *slog.Logger     // slog.Default when nil
	Now      func() time.Time // time.Now when nil
	// CallerTLS and PeerTLS are nil for plain TCP.
	CallerTLS *tls.Config
	PeerTLS   *tls.Config
}

// Host is one running entry host.
type Host struct {
	opt     Options
	set     *settings.Host
	log     *slog.Logger
	now     func() time.Time
	bootID  string
	ctx     context.Context // ends when the host stops
	stop    context.CancelFunc
	metrics *hostMetrics

	view     atomic.Pointer[view]
	keys     *keys.Table
	rates    *rates
	permits  *permits
	retries  *retry.Budget
	members  *members
	mesh     *peer.Mesh
	callers  *registry
	admin    *adminServer
	burn     *report.Recorder
	fetcher  *contract.Fetcher // nil without a platform
	contacts *contacts

	applyMu sync.Mutex // guards groups and dbs, and serialises apply
	groups  map[string]*groupRunner
	dbs     map[string]*databaseState

	callerListener net.Listener
	peerListener   net.Listener
	shuttingDown   atomic.Bool
	started        time.Time
	workers        sync.WaitGroup
}

// view is the configuration in force as requests use it. It is immutable.
type view struct {
	snap      *contract.Snapshot
	customers map[string]*contract.Customer
	services  map[string]*service
	databases map[string]*databaseState
	centres   map[string][]string // data centres of each group's databases
}

// customer returns the customer with the given id, nil when there is none.
func (v *view) customer(id string) *contract.Customer { return v.customers[id] }

// service is one published service and its group's runner, which is nil while this
// host runs none.
type service struct {
	spec  *contract.Service
	group *groupRunner
}

// New returns a host that is not started.
func New(opt Options) *Host {
	if opt.Logger == nil {
		opt.Logger = slog.Default()
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	h := &Host{
		opt:      opt,
		set:      opt.Settings,
		log:      opt.Logger.With("host", opt.Settings.Host.ID),
		now:      opt.Now,
		bootID:   uuid.NewString(),
		keys:     keys.NewTable(),
		retries:  retry.NewBudget(retryShare, retryBurst),
		callers:  newRegistry(),
		contacts: newContacts(),
		groups:   map[string]*groupRunner{},
		dbs:      map[string]*databaseState{},
	}
	if opt.Platform != nil {
		h.fetcher = contract.NewFetcher(opt.Platform)
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.metrics = newHostMetrics(h)
	h.view.Store(&view{snap: &contract.Snapshot{}})
	return h
}

// Start opens the listeners and starts serving. Ready reports when the host
// should get callers. After an error, Close closes the listeners that were opened.
func (h *Host) Start() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.set.Callers.Listen); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if h.peerListener, err = net.Listen("tcp", h.set.Peers.Listen); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	self := h.set.Peers.Advertise
	if self == "" || self == h.set.Peers.Listen {
		self = h.peerListener.Addr().String()
	}
	h.mesh = peer.New(peer.Config{
		Self:       self,
		DataCentre: h.set.Host.DataCentre,
		BootID:     h.bootID,
		TLS:        h.opt.PeerTLS,
		Logger:     h.log,
		Handler:    h,
		Metrics:    h.metrics.set,
		OnPeer:     h.onPeer,
		OnSession:  h.serveRelayed,
	})
	h.started = h.now()
	h.callers.prefix = hostPrefix(self)
	h.members = newMembers(h, self)
	h.rates = newRates(rate.Config{
		Self:       self,
		DataCentre: h.set.Host.DataCentre,
		BootID:     h.bootID,
		Started:    h.started,
	}, h.now, h.sendToPeer)
	h.burn = report.NewRecorder(self, h.bootID, h.now())
	h.permits = newPermits(budget.Config{
		Self:       self,
		DataCentre: h.set.Host.DataCentre,
		BootID:     h.bootID,
		Started:    h.started,
	}, h.now, h.sendToPeer)
	if h.admin, err = startAdmin(h); err != nil {
		return err
	}
	h.startWorker(func() { h.mesh.Serve(h.peerListener) })
	h.startWorker(func() { h.rates.run(h.ctx) })
	h.startWorker(func() { h.permits.run(h.ctx) })
	h.startWorker(h.members.run)
	h.startWorker(h.maintain)
	h.startWorker(h.purgeRecords)
	if h.opt.Platform != nil {
		h.startWorker(h.watchConfiguration)
		h.startWorker(h.watchHosts)
	}
	h.startWorker(h.acceptCallers)
	h.log.Info("Host started.", "part", "host", "callers", h.CallerAddr(), "peers", self, "admin", h.AdminAddr())
	return nil
}

// startWorker runs f in a goroutine that Close waits for.
func (h *Host) startWorker(f func()) {
	h.workers.Add(1)
	go func() {
		defer h.workers.Done()
		f()
	}()
}

// CallerAddr returns the address that callers connect to.
func (h *Host) CallerAddr() string { return h.callerListener.Addr().String() }

// PeerAddr returns the address that other hosts connect to.
func (h *Host) PeerAddr() string { return h.peerListener.Addr().String() }

// AdminAddr returns the address of the operators' HTTP listener.
func (h *Host) AdminAddr() string { return h.admin.addr() }

// sendToPeer sends a message to a peer. The protocols above it recover from lost
// messages, so a failure is only counted and a connection to the peer requested.
func (h *Host) sendToPeer(to string, env *peerpb.Envelope) {
	if err := h.mesh.Send(to, env); err != nil {
		h.metrics.unsent.Inc()
		h.contacts.touch(to, h.now())
	}
}

// Settings returns the host's settings.
func (h *Host) Settings() *settings.Host { return h.set }

// Ready reports whether the host should get callers: it has a configuration, has
// determined which groups to serve, may use its shares of the databases' slots and
// of the customers' rates, and is not leaving.
func (h *Host) Ready() bool {
	return !h.leaving() && h.view.Load().snap.Version > 0 && h.members.runners.reconciled.Load() &&
		h.now().Sub(h.started) >= slotWarmUp && h.rates.settled()
}

// defaultIdleInTransaction is how long a transaction may wait for its caller
// by default. It is shorter than database.ServerIdleTimeout, so that the host ends
// an idle transaction before the database does.
const defaultIdleInTransaction = 10 * time.Second

func (h *Host) idleInTransaction() time.Duration {
	if d := h.set.Callers.IdleInTransaction; d > 0 {
		return d
	}
	return defaultIdleInTransaction
}

// defaultServingHosts is how many hosts of a data centre serve one group by
// default.
const defaultServingHosts = 8

func (h *Host) servingHosts() int {
	if n := h.set.Peers.ServingHosts; n > 0 {
		return n
	}
	return defaultServingHosts
}

// maintainEvery is the time between checks of idle connections.
const maintainEvery = 3 * time.Second

// maintain regularly closes database connections past their idle timeout and
// probes other idle ones, so that the server does not close them.
func (h *Host) maintain() {
	ticker := time.NewTicker(maintainEvery)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, db := range h.view.Load().databases {
			db.pool.CloseIdle()
			db.pool.KeepAlive()
		}
	}
}

// newGroupTable returns a new table of the named group, with the timing from the
// settings.
func (h *Host) newGroupTable(name string) *group.Table {
	timing := group.DefaultTiming()
	if d := h.set.Databases.ProbeInterval; d > 0 {
		timing.ProbeInterval = d
	}
	if d := h.set.Databases.SuspectAfter; d > 0 {
		timing.SuspectAfter = d
	}
	return group.New(group.Config{
		Group:      name,
		Self:       h.members.self,
		DataCentre: h.set.Host.DataCentre,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Timing:     timing,
	})
}

// poolConfig returns the configuration of the connections to one database.
func (h *Host) poolConfig(db contract.Database, maxOpen int) database.PoolConfig {
	return database.PoolConfig{
		ID:             db.ID,
		Address:        db.Address,
		Login:          database.Login{User: h.set.Databases.User, Password: h.set.Databases.Password.Reveal(), Database: "main"},
		MaxOpen:        maxOpen,
		ConnectTimeout: h.set.Databases.ConnectTimeout,
		IdleProbeAfter: h.set.Databases.IdleProbeAfter,
		IdleTimeout:    h.set.Databases.IdleTimeout,
		Now:            h.now,
	}
}

// NewControl returns a control connection to a database.
func (h *Host) NewControl(db contract.Database) *database.Control {
	return database.NewControl(h.poolConfig(db, 1))
}
