// Package loopback runs a whole site in one process on the loopback interface:
// stand-in databases and entry hosts, for trials and for tests that involve several
// hosts. A platform, if the hosts use one, is started by the caller.
package loopback

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/host"
	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/settings"
)

// DatabasePassword is the password with which hosts log in to the stand-in
// databases.
const DatabasePassword = "database-login"

// Config describes a Site.
type Config struct {
	Snapshot *contract.Snapshot // Start fills in the addresses and the roster
	Hosts    int                // entry hosts, spread over the data centres
	// PlatformURL is the base URL of the platform that hosts use. If it is
	// empty, hosts get their configuration only through host.Host.Offer.
	PlatformURL string
	// Database, if set, may change the settings of a database before it starts.
	Database func(id string, cfg *dbserver.Config)
	// Settings, if set, may change the settings of host i, counted from 0, before
	// AddHost starts it.
	Settings func(i int, set *settings.Host)
	Logger   *slog.Logger
}

// Site is a running site.
type Site struct {
	Config    Config
	Snapshot  *contract.Snapshot
	Hosts     []*host.Host
	Databases map[string]*dbserver.Server

	mu   sync.Mutex // guards next, and Hosts while AnyURL and changes of hosts run concurrently
	next int        // round-robin counter of AnyURL
}

// ReplaceHost shuts host i down gracefully and starts a new one with the same
// caller and peer addresses.
func (s *Site) ReplaceHost(ctx context.Context, i int) error {
	old := s.Hosts[i]
	set := *old.Settings()
	set.Callers.Listen = old.CallerAddr()
	set.Peers.Listen = old.PeerAddr()
	set.Peers.Seeds = nil
	for _, h := range s.Hosts {
		if h != old {
			set.Peers.Seeds = append(set.Peers.Seeds, h.PeerAddr())
		}
	}
	if err := old.Drain(ctx); err != nil {
		return eris.Wrap(err, "drain")
	}
	old.Close()
	replacement, err := s.startHost(&set)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Hosts[i] = replacement
	return nil
}

// AnyURL returns the URL with which the customer shop connects to a ready host, chosen
// round robin as a load balancer would. If no host is ready, it returns that of any
// host.
func (s *Site) AnyURL(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.Hosts {
		s.next++
		if s.Hosts[s.next%len(s.Hosts)].Ready() {
			break
		}
	}
	h := s.Hosts[s.next%len(s.Hosts)]
	return fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable", key, h.CallerAddr())
}

// Start starts the databases and the hosts and fills in the snapshot's addresses
// and roster. It neither publishes the snapshot nor offers it to the hosts.
func Start(cfg Config) (*Site, error) {
	s := &Site{Config: cfg, Snapshot: cfg.Snapshot, Databases: map[string]*dbserver.Server{}}
	if err := s.startDatabases(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.startHosts(); err != nil {
		s.Close()
		return nil, err
	}
	s.Snapshot.Roster = s.roster()
	return s, nil
}

// startDatabases starts the databases of each service, the first one as the
// primary that the others follow. A database that several services list is
// started once.
func (s *Site) startDatabases() error {
	for i := range s.Snapshot.Services {
		svc := &s.Snapshot.Services[i]
		primary := ""
		for j := range svc.Databases {
			db := &svc.Databases[j]
			if old := s.Databases[db.ID]; old != nil {
				db.Address = old.Addr()
				continue
			}
			cfg := dbserver.Config{
				ID:         db.ID,
				Password:   DatabasePassword,
				MaxConns:   svc.MaxConns,
				Slots:      svc.Slots,
				Primary:    j == 0,
				FollowAddr: primary,
			}
			if s.Config.Database != nil {
				s.Config.Database(db.ID, &cfg)
			}
			srv, err := dbserver.Start(cfg)
			if err != nil {
				return eris.Wrapf(err, "start database %s", db.ID)
			}
			s.Databases[db.ID] = srv
			db.Address = srv.Addr()
			if j == 0 {
				primary = db.Address
			}
		}
	}
	return nil
}

func (s *Site) startHosts() error {
	for range s.Config.Hosts {
		if _, err := s.AddHost(); err != nil {
			return err
		}
	}
	return nil
}

// AddHost starts one more host, and does not add it to the roster. Hosts are assigned
// to data centres round robin.
func (s *Site) AddHost() (*host.Host, error) {
	i := len(s.Hosts)
	centres := s.dataCentres()
	set := &settings.Host{
		Host:      settings.Identity{ID: fmt.Sprintf("host-%d", i+1), DataCentre: centres[i%len(centres)]},
		Callers:   settings.Callers{Listen: "127.0.0.1:0", MaxConnections: 10_000, StartupTimeout: 5 * time.Second},
		Peers:     settings.Peers{Listen: "127.0.0.1:0"},
		Databases: settings.Databases{User: "bronzeloft", Password: DatabasePassword, ConnectTimeout: time.Second},
		Admin:     settings.Admin{Listen: "127.0.0.1:0"},
		Shutdown:  settings.Shutdown{Grace: 5 * time.Second},
	}
	for _, h := range s.Hosts {
		set.Peers.Seeds = append(set.Peers.Seeds, h.PeerAddr())
	}
	if s.Config.Settings != nil {
		s.Config.Settings(i, set)
	}
	h, err := s.startHost(set)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.Hosts = append(s.Hosts, h)
	s.mu.Unlock()
	return h, nil
}

func (s *Site) startHost(set *settings.Host) (*host.Host, error) {
	opt := host.Options{Settings: set, Logger: s.Config.Logger}
	if s.Config.PlatformURL != "" {
		opt.Platform = s.Client()
	}
	h := host.New(opt)
	if err := h.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", set.Host.ID)
	}
	return h, nil
}

func (s *Site) dataCentres() []string {
	seen := map[string]bool{}
	var all []string
	for _, svc := range s.Snapshot.Services {
		for _, db := range svc.Databases {
			if !seen[db.DataCentre] {
				seen[db.DataCentre] = true
				all = append(all, db.DataCentre)
			}
		}
	}
	return all
}

func (s *Site) roster() contract.Roster {
	r := contract.Roster{Version: s.Snapshot.Roster.Version + 1}
	for _, h := range s.Hosts {
		r.Hosts = append(r.Hosts, contract.RosterHost{Address: h.PeerAddr(), DataCentre: h.Status().DataCentre})
	}
	return r
}

// WaitReady waits until every host is ready, has at least the given version of the
// configuration in force, and knows the primary of every group. It returns an error
// if ctx ends first.
func (s *Site) WaitReady(ctx context.Context, version uint64) error {
	for _, h := range s.Hosts {
		for !ready(h.Status(), version) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: wait was cancelled or timed out", h.Status().Host)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

func ready(st host.Status, version uint64) bool {
	if !st.Ready || st.ConfigVersion < version {
		return false
	}
	for _, g := range st.Groups {
		if !g.Established {
			return false
		}
	}
	return true
}

// Close stops all hosts and databases.
func (s *Site) Close() {
	for _, h := range s.Hosts {
		h.Close()
	}
	for _, db := range s.Databases {
		db.Close()
	}
}

// Client returns a client of the site's platform.
func (s *Site) Client() *objectapi.Client {
	return objectapi.NewClient(objectapi.ClientConfig{BaseURL: s.Config.PlatformURL})
}
