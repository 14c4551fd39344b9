package host

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/caller"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/position"
)

// cancelTimeout bounds the time that this host spends on one cancel request.
const cancelTimeout = 2 * time.Second

// cancelKey identifies a session in a cancel request.
type cancelKey struct {
	pid    uint32
	secret uint32
}

// registry holds the sessions of this host and counts caller connections, including
// the sessions that other hosts relay to it. The setting callers.max_connections
// limits their number; callers beyond it are refused.
type registry struct {
	prefix uint32 // host bits of the process ids issued by this host

	mu       sync.Mutex // guards all below; no other lock is taken under it
	sessions map[uint32]*registeredSession
	open     int
	closed   bool
}

type registeredSession struct {
	secret  uint32
	session *session
}

// Layout of a process id: sign bit clear, 15 bits that hash the address of the
// session's host, 16 bits for the session. The host bits let any host forward a
// cancel request to the host that runs the session.
const (
	sessionBits = 16
	sessionMask = 1<<sessionBits - 1
	hostMask    = 1<<15 - 1
)

// hostPrefix returns the host bits of the process ids that a host issues.
func hostPrefix(address string) uint32 {
	return uint32(xxhash.Sum64String(address)&hostMask) << sessionBits
}

func newRegistry() *registry { return &registry{sessions: map[uint32]*registeredSession{}} }

// admit counts a new connection. It returns false when the connection limit is
// reached or the registry is closed because the host is stopping.
func (r *registry) admit(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || limit > 0 && r.open >= limit {
		return false
	}
	r.open++
	return true
}

func (r *registry) release() {
	r.mu.Lock()
	r.open--
	r.mu.Unlock()
}

// add registers a session under a new, unused cancel key.
func (r *registry) add(s *session) (cancelKey, error) {
	var raw [8]byte
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if _, err := rand.Read(raw[:]); err != nil {
			return cancelKey{}, err
		}
		key := cancelKey{pid: r.prefix | binary.BigEndian.Uint32(raw[:4])&sessionMask, secret: binary.BigEndian.Uint32(raw[4:])}
		if r.sessions[key.pid] == nil && key.pid != 0 {
			r.sessions[key.pid] = &registeredSession{secret: key.secret, session: s}
			return key, nil
		}
	}
}

func (r *registry) remove(key cancelKey) {
	r.mu.Lock()
	delete(r.sessions, key.pid)
	r.mu.Unlock()
}

// find returns the session with the given process id and secret, or nil.
func (r *registry) find(pid uint32, secret []byte) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg := r.sessions[pid]
	if reg == nil || subtle.ConstantTimeCompare(binary.BigEndian.AppendUint32(nil, reg.secret), secret) != 1 {
		return nil
	}
	return reg.session
}

func (r *registry) all() []*session {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*session, 0, len(r.sessions))
	for _, reg := range r.sessions {
		list = append(list, reg.session)
	}
	return list
}

// openConnections returns the number of admitted caller connections, including
// those that have not logged in yet.
func (r *registry) openConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *registry) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
}

// acceptCallers accepts connections until the listener is closed.
func (h *Host) acceptCallers() {
	for {
		nc, err := h.callerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			retry.Wait(h.ctx, 10*time.Millisecond)
			continue
		}
		go h.serveCaller(nc)
	}
}

// serveCaller handles one connection from the startup message until it is
// closed.
func (h *Host) serveCaller(nc net.Conn) {
	defer nc.Close()
	conn, start, err := caller.Accept(nc, h.opt.CallerTLS, h.set.Callers.StartupTimeout)
	if err != nil {
		h.refuseStartup(conn, err)
		return
	}
	if start.Cancel != nil {
		h.cancel(start.Cancel)
		return
	}
	if !h.callers.admit(h.set.Callers.MaxConnections) {
		h.refuseStartup(conn, h.admissionError())
		return
	}
	defer h.callers.release()
	s, err := h.login(conn, start)
	if err != nil {
		h.refuseStartup(conn, err)
		return
	}
	if h.view.Load().services[s.service].group == nil && h.relay(conn, s) {
		return
	}
	h.serveSession(conn, s)
}

// serveSession runs a session whose caller is authenticated.
func (h *Host) serveSession(conn *caller.Conn, s *session) {
	if h.serviceWithRunner(s.service) == nil {
		h.refuseStartup(conn, errkind.New(errkind.UnknownDatabase, "service %q", s.service))
		return
	}
	key, err := h.callers.add(s)
	if err != nil {
		h.refuseStartup(conn, err)
		return
	}
	defer h.callers.remove(key)
	if conn.FinishStartup(key.pid, binary.BigEndian.AppendUint32(nil, key.secret), s.token.Encode()) == nil {
		s.run()
	}
}

// admissionError returns the error for a connection that the registry did not
// admit.
func (h *Host) admissionError() error {
	if h.leaving() {
		return errkind.New(errkind.Leaving, "")
	}
	return errkind.New(errkind.ConnectionLimit, "")
}

// refuseStartup sends a caller the reason why it cannot connect. An error
// without a kind means that the caller's connection failed, so nothing is sent
// for it.
func (h *Host) refuseStartup(conn *caller.Conn, err error) {
	var kindErr *errkind.Error
	if !errors.As(err, &kindErr) {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			h.log.Debug("Caller connection failed during startup.", "part", "session", "error", err)
		}
		return
	}
	h.metrics.countRefusal(kindErr.Kind)
	conn.Send(caller.ErrorMessage(kindErr))
}

// login authenticates the caller and checks that the requested service exists. A
// caller without a key is accepted; checkOpenAccess then limits its requests.
func (h *Host) login(conn *caller.Conn, start caller.Startup) (*session, error) {
	token, err := position.ParseToken(start.Token)
	if err != nil {
		return nil, errkind.New(errkind.Protocol, "malformed session token")
	}
	secret, err := conn.RequestKey()
	if err != nil {
		return nil, err
	}
	s := &session{host: h, conn: conn, service: start.Database, token: *token, hasToken: start.HasToken, stmts: statements{}}
	if secret != "" {
		s.customer, s.keyID, err = h.keys.Check(secret)
		if err != nil {
			return nil, err
		}
		if start.User != s.customer {
			return nil, errkind.New(errkind.BadKey, "user name does not match the customer of the key")
		}
	}
	if h.view.Load().services[start.Database] == nil {
		return nil, errkind.New(errkind.UnknownDatabase, "service %q", start.Database)
	}
	return s, nil
}

// cancel handles a cancel request. If the session does not run on this host,
// the request is forwarded to every connected peer whose host prefix matches
// the process id. It is lost when this host has no connection to the session's
// host; the protocol permits that, since a cancel request has no guaranteed
// effect.
func (h *Host) cancel(req *pgproto3.CancelRequest) {
	if h.cancelLocal(req.ProcessID, req.SecretKey) {
		return
	}
	for _, p := range h.mesh.Peers() {
		if hostPrefix(p.Address) == req.ProcessID&^sessionMask {
			h.sendToPeer(p.Address, &peerpb.Envelope{Body: &peerpb.Envelope_CancelStatement{
				CancelStatement: &peerpb.CancelStatement{ProcessId: req.ProcessID, Secret: req.SecretKey},
			}})
		}
	}
}

// cancelLocal cancels the running statement of a session on this host and
// reports whether the session exists.
func (h *Host) cancelLocal(pid uint32, secret []byte) bool {
	s := h.callers.find(pid, secret)
	if s == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(h.ctx, cancelTimeout)
	defer cancel()
	s.cancel(ctx)
	return true
}
