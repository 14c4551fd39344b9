package dbserver

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/position"
)

// Replication timing.
const (
	pullWait     = time.Second            // a primary without new entries answers after this time
	pullTimeout  = 2 * time.Second        // without an answer after this time the replica reconnects
	pullRetry    = 5 * time.Millisecond   // delay after a failed pull
	lagStep      = 10 * time.Millisecond  // a change of the lag takes effect within this time
	conflictWait = 100 * time.Millisecond // a transaction that blocks replication for longer is rolled back
)

// pullTarget identifies the log that a replica pulls: that of the primary of term
// at address source.
type pullTarget struct {
	epoch  uint64 // the replica's epoch when the target was read; a later epoch ends the pull
	term   uint64
	source string // empty if the server follows no primary
}

// pullLoop replicates from the followed primary, if there is one, until ctx ends.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pullCtx, cancel := context.WithCancel(ctx)
		target, changed := s.nextPull(cancel)
		if target.source == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			cancel()
			continue
		}
		err := s.pullFrom(pullCtx, target)
		if pullCtx.Err() == nil {
			s.cfg.Logger.Debug("Replication pull failed.", "source", target.source, "error", err)
			sleep(ctx, pullRetry)
		}
		cancel()
	}
}

// nextPull returns what to pull, and a channel that is closed when the state
// changes. It installs cancel as the function that ends this pull.
func (s *Server) nextPull(cancel context.CancelFunc) (pullTarget, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopPull = cancel
	st := s.state
	return pullTarget{epoch: st.epoch, term: st.term, source: st.source}, s.changed
}

// pullFrom connects to the primary and applies its log until an error occurs.
func (s *Server) pullFrom(ctx context.Context, target pullTarget) error {
	if s.faults.isBlocked(target.source) {
		return eris.New("blocked")
	}
	conn, err := s.dial(ctx, target.source)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	probe := s.last()
	for {
		answer, err := s.requestEntries(ctx, conn, target, probe)
		if err != nil {
			return err
		}
		if s.faults.isBlocked(target.source) {
			return eris.New("blocked")
		}
		if probe, err = s.applyAnswer(ctx, target, probe, answer); err != nil {
			return err
		}
	}
}

// dial opens a replication connection to the server at addr.
func (s *Server) dial(ctx context.Context, addr string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(number)
	cfg.User, cfg.Password, cfg.Database = s.cfg.ID, s.cfg.Password, "group"
	cfg.RuntimeParams = map[string]string{replicationParameter: "group"}
	cfg.Fallbacks = nil
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, cfg)
}

// pullAnswer is the primary's answer to one pull.
type pullAnswer struct {
	status  pullStatus
	hint    uint64 // after a mismatch: index to pull from next
	entries []Entry
}

// requestEntries sends one pull for the entries after from and returns the answer.
func (s *Server) requestEntries(ctx context.Context, conn *pgconn.PgConn, target pullTarget, from position.Position) (pullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, pullSQL(target.term, from, pullWait)).ReadAll()
	if err != nil {
		return pullAnswer{}, err
	}
	if len(results) != 1 || len(results[0].Rows) < 2 {
		return pullAnswer{}, eris.New("malformed pull answer: want one result with at least two rows")
	}
	return parseAnswer(results[0].Rows)
}

// parseAnswer parses the rows that servePull sends. There must be at least two.
func parseAnswer(rows [][][]byte) (pullAnswer, error) {
	hint, err := strconv.ParseUint(string(rows[1][0]), 10, 64)
	if err != nil {
		return pullAnswer{}, err
	}
	a := pullAnswer{status: pullStatus(rows[0][0]), hint: hint}
	for _, row := range rows[2:] {
		var e Entry
		if err := json.Unmarshal(row[0], &e); err != nil {
			return pullAnswer{}, err
		}
		a.entries = append(a.entries, e)
	}
	return a, nil
}

// applyAnswer applies the answer to a pull from probe and returns the position to
// pull from next.
func (s *Server) applyAnswer(ctx context.Context, target pullTarget, probe position.Position, a pullAnswer) (position.Position, error) {
	switch a.status {
	case pullMismatch:
		return s.positionAt(a.hint), nil
	case pullMatch:
	default:
		return probe, eris.Errorf("pull refused: %s is not the primary of the term that this replica follows", target.source)
	}
	if s.last() != probe {
		if err := s.truncateAfter(ctx, target, probe.Index); err != nil {
			return probe, err
		}
	}
	for _, e := range a.entries {
		if err := s.waitLag(ctx, e); err != nil {
			return probe, err
		}
		if err := s.applyEntry(ctx, target, e); err != nil {
			return probe, err
		}
	}
	return s.last(), nil
}

// positionAt returns the position of the entry at index in the local log.
func (s *Server) positionAt(index uint64) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return position.Position{Term: s.state.termAt(index), Index: index}
}

// waitLag waits until the configured lag has passed since the commit of e.
func (s *Server) waitLag(ctx context.Context, e Entry) error {
	for {
		due := time.Unix(0, e.Committed).Add(s.faults.currentLag())
		left := time.Until(due)
		if left <= 0 {
			return ctx.Err()
		}
		if !sleep(ctx, min(left, lagStep)) {
			return ctx.Err()
		}
	}
}

// applyEntry atomically appends e to the log and applies it to the data.
func (s *Server) applyEntry(ctx context.Context, target pullTarget, e Entry) error {
	return s.updateExclusively(ctx, func(st *state) error {
		if s.faults.isBlocked(target.source) || !st.appendReplicated(target.epoch, e) {
			return eris.New("entry not applied: replication is blocked, the server no longer follows this primary, or the entry is not the next one of the log")
		}
		if err := s.engine.apply(e); err != nil {
			st.dropLast()
			return err
		}
		return nil
	})
}

// truncateAfter removes the log entries after index and rebuilds the data from the
// remaining ones.
func (s *Server) truncateAfter(ctx context.Context, target pullTarget, index uint64) error {
	return s.updateExclusively(ctx, func(st *state) error {
		if !st.truncate(target.epoch, index) {
			return eris.New("log not truncated: the server no longer follows this primary, or has no entries after the index")
		}
		s.cfg.Logger.Info("Truncated the log where it diverged from the log of the primary.", "index", index)
		return s.engine.rebuild(st.log)
	})
}

// updateExclusively calls fn while no transaction runs, with the engine's data
// locked and the server's mutex held.
func (s *Server) updateExclusively(ctx context.Context, fn func(*state) error) error {
	if err := s.acquireLock(ctx); err != nil {
		return err
	}
	defer s.engine.unlock()
	var failure error
	if err := s.updateData(ctx, func(st *state) { failure = fn(st) }); err != nil {
		return err
	}
	return failure
}

// acquireLock acquires the engine's transaction lock. It rolls back a transaction
// that holds the lock for longer than conflictWait.
func (s *Server) acquireLock(ctx context.Context) error {
	for {
		holder := s.engine.running()
		if s.engine.lock(ctx, conflictWait) == nil {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		s.engine.abort(holder)
	}
}
