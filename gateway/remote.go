package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/statement"
)

const (
	// resultSlack is how long after a statement's deadline its result may still
	// arrive from another host of the data centre.
	resultSlack = 60 * time.Millisecond
	// maxMessage is the maximum size, in bytes, of a Job or a Result. A Job holds a
	// statement, which is one line of the callers' protocol, and the session's
	// values.
	maxMessage = 4 << 20
	// maxIdleStreams is the maximum number of idle streams to one host.
	maxIdleStreams = 32
)

// errHomeUnavailable marks the error of a statement whose home host could not be
// reached or did not answer.
var errHomeUnavailable = errors.New("gateway: home host could not be reached or did not answer")

// isHomeUnavailable reports whether a statement failed because its home host could
// not be reached or did not answer.
func isHomeUnavailable(err error) bool { return errors.Is(err, errHomeUnavailable) }

// remote runs statements on another host's connections. Only the statements of a
// transaction share a stream; any number of others may run at a time.
type remote struct {
	g      *Gateway
	home   homeCandidate
	pinned *stream // carries the open transaction; nil if there is none
	wrote  bool    // a statement of the open transaction has written
}

// stream is a connection to another host that carries one Job and its Result at a
// time.
type stream struct {
	net.Conn
	r            *bufio.Reader
	access       string // IP:port of the host's access listener
	transactions uint64 // number of transactions so far, which numbers the last one
}

// run implements runner.
func (r *remote) run(ctx context.Context, op *operation) (statement.Answer, error) {
	st := r.pinned
	if st == nil || !op.inTransaction {
		var err error
		if st, err = r.g.streams.get(r.home); err != nil {
			r.g.peers.avoidHome(r.home.name)
			return statement.Answer{}, errkind.Wrap(errkind.DatabaseUnavailable, errors.Join(errHomeUnavailable, err), "host "+r.home.name)
		}
		if op.inTransaction {
			st.transactions++
		}
	}
	if op.inTransaction {
		r.pinned = nil // pinned again if the transaction goes on
	}
	result, err := r.exchange(ctx, st, op)
	if err != nil {
		st.Close()
		if ctx.Err() == nil {
			r.g.peers.avoidHome(r.home.name)
		}
		return statement.Answer{}, errkind.Wrap(errkind.OutcomeUnknown, errors.Join(errHomeUnavailable, err), "host "+r.home.name)
	}
	a, err := op.applyResult(result)
	r.recordCommit(op, a, err)
	if op.inTransaction && err == nil && op.Kind != statement.Commit {
		r.pinned = st
	} else {
		r.g.streams.put(st)
	}
	return a, err
}

// recordCommit records a commit that the home host has acknowledged, for the log.
// Statements outside of the transaction may run at the same time and don't touch its state.
func (r *remote) recordCommit(op *operation, a statement.Answer, err error) {
	wrote := op.writes()
	if op.inTransaction {
		wrote = wrote || r.wrote
		r.wrote = wrote && err == nil && op.Kind != statement.Commit
	}
	if wrote && err == nil && (!op.inTransaction || op.Kind == statement.Commit) {
		op.svc.recordRemoteCommit(commit{primary: op.database, at: a.Position, id: op.ID}, r.home.name)
	}
}

// exchange sends the statement and reads its result, waiting until resultSlack after
// the deadline. Cancelling ctx aborts it; closing the stream then cancels the statement
// on the home host. The deadline of ctx does not abort it: the home host then reports
// the outcome, and only its report distinguishes a statement that did not run from one
// that may have run.
func (r *remote) exchange(ctx context.Context, st *stream, op *operation) (*accesspb.Result, error) {
	left := op.deadline.Sub(r.g.now()) + resultSlack
	if err := st.SetDeadline(time.Now().Add(left)); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			_ = st.SetDeadline(time.Now())
		}
	})
	err := writeMessage(st, op.job(r.g.now(), st.transactions))
	var result accesspb.Result
	if err == nil {
		err = readMessage(st.r, &result)
	}
	if !stop() && err == nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = ctx.Err()
	}
	return &result, err
}

// rollbackAsync implements runner.
func (r *remote) rollbackAsync() {
	s := r.pinned
	if s == nil {
		return
	}
	r.pinned, r.wrote = nil, false
	go func() {
		err := s.SetDeadline(time.Now().Add(rollbackTimeout))
		if err == nil {
			err = writeMessage(s, &accesspb.Job{Kind: uint32(statement.Rollback), Transaction: s.transactions})
		}
		if err == nil {
			err = readMessage(s.r, &accesspb.Result{})
		}
		if err != nil {
			s.Close() // the home host rolls back when the stream ends
			return
		}
		r.g.streams.put(s)
	}()
}

// streams keeps idle streams to other hosts.
type streams struct {
	mesh *peer.Mesh

	mu   sync.Mutex           // guards idle; a leaf lock
	idle map[string][]*stream // by IP:port of the host's access listener
}

func newStreams() *streams { return &streams{idle: map[string][]*stream{}} }

// connected reports whether there is a connection to a host. Without a mesh it does
// not know.
func (s *streams) connected(access string) bool { return s.mesh == nil || s.mesh.Connected(access) }

// get returns an idle stream to a host, or opens one.
func (s *streams) get(to homeCandidate) (*stream, error) {
	s.mu.Lock()
	if list := s.idle[to.access]; len(list) > 0 {
		st := list[len(list)-1]
		s.idle[to.access] = list[:len(list)-1]
		s.mu.Unlock()
		return st, nil
	}
	s.mu.Unlock()
	raw, err := s.mesh.OpenSession(to.access, &peerpb.OpenSession{})
	if err != nil {
		return nil, err
	}
	return &stream{Conn: raw, r: bufio.NewReader(raw), access: to.access}, nil
}

// put keeps a stream that has no statement in flight, or closes it if enough
// are idle.
func (s *streams) put(st *stream) {
	s.mu.Lock()
	list := s.idle[st.access]
	keep := len(list) < maxIdleStreams
	if keep {
		s.idle[st.access] = append(list, st)
	}
	s.mu.Unlock()
	if !keep {
		st.Close()
	}
}

// closeIdle closes the idle streams to a host whose connection was lost.
func (s *streams) closeIdle(access string) {
	s.mu.Lock()
	list := s.idle[access]
	delete(s.idle, access)
	s.mu.Unlock()
	for _, st := range list {
		st.Close()
	}
}

// writeMessage writes a length-prefixed message in a single write.
func writeMessage(w io.Writer, m proto.Message) error {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return err
	}
	_, err := w.Write(buf.Bytes())
	return err
}

// readMessage reads a message that writeMessage wrote.
func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(r, m)
}

// readHeldMessage is readMessage, but calls hold with the size of the message before it keeps
// it. If hold returns an error, it skips the message and reports the error as refused.
func readHeldMessage(r *bufio.Reader, m proto.Message, hold func(bytes int) error) (refused, err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > maxMessage {
		return nil, fmt.Errorf("message of %d bytes, allowed are %d", size, maxMessage)
	}
	if refused = hold(int(size)); refused != nil {
		_, err = r.Discard(int(size))
		return refused, err
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(r, raw); err != nil {
		return nil, err
	}
	return nil, proto.Unmarshal(raw, m)
}
