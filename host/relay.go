package host

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/caller"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/position"
)

// Limits of session relaying.
const (
	relayBufferBytes = 4 << 10 // per direction of a relayed session
	// relayConnectTimeout bounds the wait for a stream to a serving host.
	relayConnectTimeout = 500 * time.Millisecond
	relayPollInterval   = 10 * time.Millisecond
)

// relay forwards a session to a host that serves its group until the session
// ends. It returns false when no such host can be reached; this host then
// serves the group itself.
func (h *Host) relay(conn *caller.Conn, s *session) bool {
	stream := h.openRelay(s)
	if stream == nil {
		return false
	}
	h.metrics.relayed.Inc()
	conn.Relay(stream, relayBufferBytes)
	return true
}

// openRelay opens a stream to the first serving host that accepts it, or
// returns nil after relayConnectTimeout.
func (h *Host) openRelay(s *session) net.Conn {
	open := &peerpb.OpenSession{
		Customer: s.customer,
		KeyId:    s.keyID,
		Service:  s.service,
		Token:    s.token.Encode(),
		HasToken: s.hasToken,
	}
	servers := h.members.servers(h.groupOf(s.service))
	ctx, cancel := context.WithTimeout(h.ctx, relayConnectTimeout)
	defer cancel()
	for {
		for _, address := range servers {
			h.contacts.touch(address, h.now())
			if stream, err := h.mesh.OpenSession(address, open); err == nil {
				return stream
			}
		}
		h.members.connect()
		if !retry.Wait(ctx, relayPollInterval) {
			return nil
		}
	}
}

// serveRelayed runs a session that another host relays to this one. That host
// has authenticated the caller; the key is checked again at each request.
func (h *Host) serveRelayed(from peer.Info, open *peerpb.OpenSession, stream net.Conn) {
	conn := caller.Attach(stream)
	if !h.callers.admit(h.set.Callers.MaxConnections) {
		h.refuseStartup(conn, h.admissionError())
		return
	}
	defer h.callers.release()
	token, err := position.ParseToken(open.Token)
	if err != nil {
		h.refuseStartup(conn, errkind.New(errkind.Protocol, "malformed session token"))
		return
	}
	h.serveSession(conn, &session{
		host:      h,
		conn:      conn,
		customer:  open.Customer,
		keyID:     open.KeyId,
		service:   open.Service,
		token:     *token,
		hasToken:  open.HasToken,
		stmts:     statements{},
		relayHost: from.Address,
	})
}

// endSessionsRelayedBy ends the sessions that a leaving host relays to this one,
// each between two requests, and returns when none is left.
func (h *Host) endSessionsRelayedBy(address string) {
	force := h.now().Add(h.set.Shutdown.Grace / 2)
	for {
		remaining := 0
		now := h.now()
		for _, s := range h.callers.all() {
			if s.relayHost == address {
				remaining++
				s.relayHostLeaving.Store(true)
				s.endIfIdle(now, now.After(force))
			}
		}
		if remaining == 0 || !retry.Wait(h.ctx, drainPollInterval) {
			return
		}
	}
}

// groupOf returns the group of a service, empty if the service is unknown.
func (h *Host) groupOf(name string) string {
	if svc := h.view.Load().services[name]; svc != nil {
		return svc.spec.Group
	}
	return ""
}

// centresOf returns the data centres that hold a group's databases.
func (h *Host) centresOf(name string) []string { return h.view.Load().centres[name] }

// serviceWithRunner returns the service, nil if it is unknown. It starts a
// runner for the service's group if this host has none.
func (h *Host) serviceWithRunner(name string) *service {
	svc := h.view.Load().services[name]
	if svc == nil || svc.group != nil {
		return svc
	}
	h.startGroups([]string{svc.spec.Group})
	return h.view.Load().services[name]
}

// startGroups starts runners for those of the groups that have none.
func (h *Host) startGroups(names []string) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	old := h.view.Load()
	for _, name := range names {
		if h.groups[name] != nil {
			continue
		}
		for _, svc := range old.snap.Services {
			if svc.Group == name {
				h.groupRunner(name).setDatabases(svc.Databases)
			}
		}
	}
	h.view.Store(old.withGroups(h.groups))
}

// stopGroups stops the runners of the named groups, which no session on this host
// uses.
func (h *Host) stopGroups(names []string) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	for _, name := range names {
		if g := h.groups[name]; g != nil {
			g.close()
			delete(h.groups, name)
		}
	}
	h.view.Store(h.view.Load().withGroups(h.groups))
}

// withGroups returns a copy of v whose services have the given runners.
func (v *view) withGroups(groups map[string]*groupRunner) *view {
	next := &view{snap: v.snap, databases: v.databases, customers: v.customers, centres: v.centres, services: make(map[string]*service, len(v.services))}
	for name, svc := range v.services {
		next.services[name] = &service{spec: svc.spec, group: groups[svc.spec.Group]}
	}
	return next
}

// runnerReconciler starts and stops runners to match the groups that this host
// serves. Its fields belong to the goroutine that calls reconcile, except for
// reconciled.
type runnerReconciler struct {
	host          *Host
	lastReconcile time.Time
	reconciled    atomic.Bool          // the first reconciliation is complete
	unusedSince   map[string]time.Time // time since which a running group is neither served nor used
}

// Timing of runnerReconciler.
const (
	reconcileInterval = 5 * time.Second  // between reconciliations
	runnerIdleTimeout = 30 * time.Second // time for which a group is neither served nor used before its runner is stopped
	// membersSettleTime is how long a newly started host in a large data centre
	// collects digests of other hosts before it decides which groups to serve.
	membersSettleTime = 2 * time.Second
)

// reconcile starts and stops runners once the membership has settled. It does so
// at most once per reconcileInterval, and additionally when changed reports a new
// configuration.
func (r *runnerReconciler) reconcile(changed bool) {
	now := r.host.now()
	if !r.host.membershipSettled() || !changed && r.reconciled.Load() && now.Sub(r.lastReconcile) < reconcileInterval {
		return
	}
	defer r.reconciled.Store(true)
	r.lastReconcile = now
	used := r.usedGroups()
	var start, stop []string
	for _, name := range r.host.groupNames() {
		switch {
		case r.host.members.serves(name):
			start = append(start, name)
			delete(r.unusedSince, name)
		case used[name]:
			delete(r.unusedSince, name)
		case r.host.group(name) == nil:
		case r.unusedSince[name].IsZero():
			r.unusedSince[name] = now
		case now.Sub(r.unusedSince[name]) >= runnerIdleTimeout:
			stop = append(stop, name)
			delete(r.unusedSince, name)
		}
	}
	if len(start) > 0 {
		r.host.startGroups(start)
	}
	if len(stop) > 0 {
		r.host.stopGroups(stop)
	}
}

// membershipSettled reports whether this host knows enough other hosts to
// decide which of them serve a group. A newly started host of a data centre
// with more hosts than serve a group waits membersSettleTime for their digests.
func (h *Host) membershipSettled() bool {
	here := 0
	for _, r := range h.view.Load().snap.Roster.Hosts {
		if r.DataCentre == h.set.Host.DataCentre {
			here++
		}
	}
	return here <= h.servingHosts() || h.now().Sub(h.started) >= membersSettleTime
}

// usedGroups returns the groups of the sessions on this host.
func (r *runnerReconciler) usedGroups() map[string]bool {
	used := map[string]bool{}
	for _, sess := range r.host.callers.all() {
		used[r.host.groupOf(sess.service)] = true
	}
	return used
}

// groupNames returns the distinct groups of the configuration in force.
func (h *Host) groupNames() []string {
	seen := map[string]bool{}
	var names []string
	for _, svc := range h.view.Load().services {
		if !seen[svc.spec.Group] {
			seen[svc.spec.Group] = true
			names = append(names, svc.spec.Group)
		}
	}
	return names
}
