package live

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/host"
	"github.com/bronzeloft/bronzeloft/internal/loopback"
	"github.com/bronzeloft/bronzeloft/internal/standin/dbserver"
	"github.com/bronzeloft/bronzeloft/internal/standin/platformserver"
)

// Limits of a rig.
const (
	readyTimeout     = 20 * time.Second
	requestDeadline  = 1500 * time.Millisecond
	connectTimeout   = 2 * time.Second
	keyFragmentBytes = 16 // of a secret's start and end, by which it is detected in a stream
)

// Rig is a running site with the controls that faults need. It runs one cell at a
// time.
type Rig struct {
	Site      *loopback.Site
	Platform  *platformserver.Server
	Addresses []string // of the hosts' caller listeners; unchanged when a host is replaced
	key       string   // plaintext key of the customer shop

	hostsMu sync.Mutex               // held by Host, and while a host is replaced
	secrets atomic.Pointer[[][]byte] // parts of keys that no database may receive
	leaked  atomic.Bool              // a database received part of a key
}

// StartRig starts a site of three hosts, three databases and a platform, publishes
// its configuration and creates the table orders.
func StartRig(ctx context.Context) (*Rig, error) {
	r := &Rig{}
	r.secrets.Store(&[][]byte{})
	var err error
	if r.Platform, err = platformserver.Start(platformserver.Config{}); err != nil {
		return nil, err
	}
	key := loopback.MustKey("shop-key")
	r.key = key.Plaintext
	r.watchForKey(key.Plaintext)
	snap := loopback.OneService(key.Stored)
	for i := range snap.Services[0].Requests {
		snap.Services[0].Requests[i].Deadline = requestDeadline
	}
	r.Site, err = loopback.Start(loopback.Config{
		Snapshot:    snap,
		Hosts:       3,
		PlatformURL: r.Platform.URL(),
		Logger:      slog.New(slog.DiscardHandler),
		Database:    func(_ string, cfg *dbserver.Config) { cfg.Tap = r.checkForKeys },
	})
	if err != nil {
		r.Platform.Close()
		return nil, err
	}
	if err := r.prepare(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	res, err := contract.Publish(ctx, r.Site.Client(), r.Site.Snapshot, contract.PublishOptions{Operator: "live"})
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	if err := r.Site.WaitReady(ctx, res.Version); err != nil {
		return err
	}
	for _, h := range r.Site.Hosts {
		r.Addresses = append(r.Addresses, h.CallerAddr())
	}
	conn, err := r.Connect(ctx, 0, r.key)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "CREATE TABLE orders (id TEXT, part INTEGER)")
	return eris.Wrap(err, "create table orders")
}

// Close stops the site and the platform.
func (r *Rig) Close() {
	r.Site.Close()
	r.Platform.Close()
}

// watchForKey adds the start and the end of a key's secret to the bytes that no
// database may receive.
func (r *Rig) watchForKey(key string) {
	_, secret, _ := bytes.Cut([]byte(key), []byte("."))
	all := append([][]byte{secret[:keyFragmentBytes], secret[len(secret)-keyFragmentBytes:]}, *r.secrets.Load()...)
	r.secrets.Store(&all)
}

// checkForKeys is called with all bytes that a database receives. It records
// whether b contains part of a watched key.
func (r *Rig) checkForKeys(b []byte) {
	for _, s := range *r.secrets.Load() {
		if bytes.Contains(b, s) {
			r.leaked.Store(true)
		}
	}
}

// Connect opens a connection to a host as the customer shop with the given key.
func (r *Rig) Connect(ctx context.Context, host int, key string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://shop:%s@%s/orders?sslmode=disable", key, r.Addresses[host]))
}

// Primary returns the primary as far as the first host knows, or the first
// database if that host knows none.
func (r *Rig) Primary() *dbserver.Server {
	if db := r.Site.Databases[r.primaryID()]; db != nil {
		return db
	}
	return r.Site.Databases["orders-1"]
}

func (r *Rig) primaryID() string { return r.Site.Hosts[0].Status().Groups[0].Primary }

// Replicas returns all databases except Primary.
func (r *Rig) Replicas() []*dbserver.Server {
	primary := r.Primary()
	var list []*dbserver.Server
	for i := range len(r.Site.Databases) {
		if db := r.Site.Databases[fmt.Sprintf("orders-%d", i+1)]; db != primary {
			list = append(list, db)
		}
	}
	return list
}

// Host returns host i. It waits while a host is being replaced.
func (r *Rig) Host(i int) *host.Host {
	r.hostsMu.Lock()
	defer r.hostsMu.Unlock()
	return r.Site.Hosts[i]
}

// KillHost stops host i at once, without draining it.
func (r *Rig) KillHost(i int) { r.Host(i).Close() }

// Replace starts another host at the addresses of host i. If host i still runs, it
// is drained first.
func (r *Rig) Replace(ctx context.Context, i int) error {
	r.hostsMu.Lock()
	defer r.hostsMu.Unlock()
	return r.Site.ReplaceHost(ctx, i)
}

// WaitReady waits until a write succeeds through every host and every host is
// ready, but no longer than readyTimeout.
func (r *Rig) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range r.Addresses {
		if err := r.probe(ctx, i); err != nil {
			return eris.Wrapf(err, "host %d does not accept writes", i)
		}
	}
	return r.Site.WaitReady(ctx, 0)
}

func (r *Rig) probe(ctx context.Context, i int) error {
	for {
		conn, err := r.Connect(ctx, i, r.key)
		if err == nil {
			_, err = conn.Exec(ctx, "/*request='order.place'*/ INSERT INTO orders VALUES ('probe', 1)")
			conn.Close(ctx)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// findOrder returns a line on each database's state and a line for each of its log
// entries that mention the order.
func (r *Rig) findOrder(id string) []string {
	var lines []string
	for name, db := range r.Site.Databases {
		report := db.Report()
		lines = append(lines, fmt.Sprintf("%s: %+v", name, report))
		for _, e := range db.Entries() {
			if text := fmt.Sprintf("%+v", e); strings.Contains(text, id) {
				lines = append(lines, fmt.Sprintf("%s: holds %s", name, text))
			}
		}
	}
	return lines
}
