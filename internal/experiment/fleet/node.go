package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/datacentre"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

const (
	tickEvery    = 100 * time.Millisecond
	watchWait    = time.Second // a watch returns after this time if the version did not change
	fetchTimeout = 5 * time.Second
)

// node is one simulated host: a member table, a mesh, and the goroutines that pass
// messages between them.
type node struct {
	address   string
	listener  net.Listener
	store     *store
	mesh      *peer.Mesh
	inForce   *datacentre.Configuration
	groups    int  // number of database groups in its table
	watchOnly bool // the baseline: watches the store and has no peers

	mu    sync.Mutex // guards table
	table *datacentre.Table

	inForceSince sync.Map // version -> time when it came into force
	wg           sync.WaitGroup
}

func newNode(s *store, centre string, index int, cfg Config, tlsConfig *tls.Config) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{
		address:   listener.Addr().String(),
		listener:  listener,
		store:     s,
		inForce:   datacentre.NewConfiguration(0),
		groups:    cfg.Services,
		watchOnly: cfg.WatchPerHost,
	}
	bootID := fmt.Sprintf("boot-%d", index)
	n.table = datacentre.New(datacentre.Config{
		Self:       n.address,
		DataCentre: centre,
		BootID:     bootID,
		InForce:    n.inForce,
		Rand:       rand.New(rand.NewPCG(cfg.Seed, uint64(index))),
	})
	n.mesh = peer.New(peer.Config{
		Self:       n.address,
		DataCentre: centre,
		BootID:     bootID,
		TLS:        tlsConfig,
		Handler:    n,
		OnPeer:     n.onPeer,
	})
	return n, nil
}

// run passes the hosts to the table and starts the node's goroutines. Serve runs until
// close, the others until ctx ends.
func (n *node) run(ctx context.Context, hosts []objectapi.HostState) {
	n.mu.Lock()
	n.table.ObserveList(hosts, time.Now())
	for i := range n.groups {
		n.table.ObserveGroup(&peerpb.GroupView{Group: groupName(i), Term: 1, Primary: groupName(i) + "-0", MarkerIndex: 1})
	}
	n.mu.Unlock()
	n.wg.Go(func() { n.watchLoop(ctx) })
	if n.watchOnly {
		return
	}
	n.wg.Go(func() { _ = n.mesh.Serve(n.listener) })
	n.wg.Go(func() { n.tickLoop(ctx) })
}

func (n *node) close() {
	_ = n.listener.Close()
	n.mesh.Close()
	n.wg.Wait()
}

func (n *node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var peers []string
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		out := n.table.Tick(now)
		chosen := n.table.Peers(now)
		n.mu.Unlock()
		if !slices.Equal(chosen, peers) {
			peers = chosen
			n.mesh.SetPeers(peers)
		}
		n.applyOutput(ctx, out)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// watchLoop watches the store while this host is a watcher, and puts the versions
// that it reads in force.
func (n *node) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		watches := n.watchOnly || n.table.IsWatcher(time.Now())
		n.mu.Unlock()
		if !watches {
			sleep(ctx, tickEvery)
			continue
		}
		requestedAt := time.Now()
		version := n.store.watch(ctx, n.inForce.Version(), watchWait)
		if version > n.inForce.Version() {
			requestedAt = time.Now()
			n.offer(ctx, n.store.get(ctx))
		}
		n.mu.Lock()
		n.inForce.Confirm(version, requestedAt)
		n.mu.Unlock()
	}
}

// offer puts a snapshot from the store in force if it is newer than the current one.
// A nil snapshot is ignored.
func (n *node) offer(ctx context.Context, snap *contract.Snapshot) {
	n.mu.Lock()
	now := time.Now()
	applied := snap != nil && n.inForce.Offer(snap, "platform", now)
	var out datacentre.Output
	if !n.watchOnly {
		out = n.table.Tick(now)
	}
	n.mu.Unlock()
	if applied {
		n.inForceSince.Store(snap.Version, now)
	}
	n.applyOutput(ctx, out)
}

func (n *node) onPeer(info peer.Info, connected bool) {
	if !connected {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.ObserveHello(info.Address, info.DataCentre, info.BootID, time.Now())
}

// HandlePeer implements peer.Handler.
func (n *node) HandlePeer(from peer.Info, env *peerpb.Envelope) *peerpb.Envelope {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Digest:
		n.mu.Lock()
		out := n.table.HandleDigest(from.Address, body.Digest, time.Now())
		n.mu.Unlock()
		n.applyOutput(context.Background(), out)
	case *peerpb.Envelope_SnapshotRequest:
		reply, err := n.inForce.Reply(body.SnapshotRequest)
		if err != nil {
			return nil
		}
		return &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotReply{SnapshotReply: reply}}
	}
	return nil
}

// applyOutput sends the messages and starts the fetch that the table asked for.
func (n *node) applyOutput(ctx context.Context, out datacentre.Output) {
	for _, send := range out.Send {
		_ = n.mesh.Send(send.To, send.Env) // a peer that is not connected yet gets the next digest
	}
	if out.FetchFrom != "" {
		go n.fetch(ctx, out.FetchFrom)
	}
}

// fetch requests the newest configuration from a peer and passes the reply to the
// table, which gets nil if the request failed or the reply is invalid.
func (n *node) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := n.mesh.Request(ctx, from, &peerpb.Envelope{
		Body: &peerpb.Envelope_SnapshotRequest{SnapshotRequest: n.inForce.Request()},
	})
	var snap *contract.Snapshot
	if err == nil {
		snap, _ = n.inForce.Decode(reply.GetSnapshotReply())
	}
	n.mu.Lock()
	now := time.Now()
	before := n.inForce.Version()
	out := n.table.HandleSnapshot(from, snap, now)
	after := n.inForce.Version()
	n.mu.Unlock()
	if after != before {
		n.inForceSince.Store(after, now)
	}
	n.applyOutput(context.Background(), out)
}
