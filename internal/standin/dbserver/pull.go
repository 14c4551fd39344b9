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

// Times of replication.
const (
	pullWait     = time.Second           // a primary with nothing new answers after it
	pullTimeout  = 2 * time.Second       // a primary that gave no answer is asked anew
	pullRetry    = 5 * time.Millisecond  // pause after a failed pull
	lagStep      = 10 * time.Millisecond // a change of lag takes effect within it
	conflictWait = 100 * time.Millisecond
)

// following is what a replica pulls: the log of the primary of term at source.
type following struct {
	epoch  uint64
	term   uint64
	source string
}

// pullLoop pulls while the server follows a primary, until ctx ends.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pullCtx, cancel := context.WithCancel(ctx)
		f, changed := s.nextPull(cancel)
		if f.source == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			cancel()
			continue
		}
		err := s.pullFrom(pullCtx, f)
		if pullCtx.Err() == nil {
			s.cfg.Logger.Debug("Pull failed.", "source", f.source, "error", err)
			sleep(ctx, pullRetry)
		}
		cancel()
	}
}

// nextPull returns what to follow, nothing when the server is no replica, and
// makes cancel the means to end that pull.
func (s *Server) nextPull(cancel context.CancelFunc) (following, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopPull = cancel
	st := s.state
	return following{epoch: st.epoch, term: st.term, source: st.source}, s.changed
}

// pullFrom connects to the primary and applies its log until an error.
func (s *Server) pullFrom(ctx context.Context, f following) error {
	if s.faults.isBlocked(f.source) {
		return eris.New("blocked")
	}
	conn, err := s.dial(ctx, f.source)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	probe := s.last()
	for {
		answer, err := s.ask(ctx, conn, f, probe)
		if err != nil {
			return err
		}
		if s.faults.isBlocked(f.source) {
			return eris.New("blocked")
		}
		if probe, err = s.take(ctx, f, probe, answer); err != nil {
			return err
		}
	}
}

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
	hint    uint64
	entries []Entry
}

func (s *Server) ask(ctx context.Context, conn *pgconn.PgConn, f following, from position.Position) (pullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, pullSQL(f.term, from, pullWait)).ReadAll()
	if err != nil {
		return pullAnswer{}, err
	}
	if len(results) != 1 || len(results[0].Rows) < 2 {
		return pullAnswer{}, eris.New("malformed pull answer")
	}
	return parseAnswer(results[0].Rows)
}

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

// take acts on an answer to a pull from probe and returns where to pull next.
func (s *Server) take(ctx context.Context, f following, probe position.Position, a pullAnswer) (position.Position, error) {
	switch a.status {
	case pullMismatch:
		return s.at(a.hint), nil
	case pullMatch:
	default:
		return probe, eris.Errorf("pull was refused by %s", f.source)
	}
	if s.last() != probe {
		if err := s.cutAfter(ctx, f, probe.Index); err != nil {
			return probe, err
		}
	}
	for _, e := range a.entries {
		if err := s.waitLag(ctx, e); err != nil {
			return probe, err
		}
		if err := s.applyEntry(ctx, f, e); err != nil {
			return probe, err
		}
	}
	return s.last(), nil
}

// at returns the position of the own entry at index.
func (s *Server) at(index uint64) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return position.Position{Term: s.state.termAt(index), Index: index}
}

// waitLag waits until e may show here.
func (s *Server) waitLag(ctx context.Context, e Entry) error {
	for {
		due := time.Unix(0, e.Committed).Add(s.faults.lagNow())
		left := time.Until(due)
		if left <= 0 {
			return ctx.Err()
		}
		if !sleep(ctx, min(left, lagStep)) {
			return ctx.Err()
		}
	}
}

// applyEntry adds e to the log and the database as one step.
func (s *Server) applyEntry(ctx context.Context, f following, e Entry) error {
	return s.change(ctx, func(st *state) error {
		if s.faults.isBlocked(f.source) || !st.accept(f.epoch, e) {
			return eris.New("entry no longer wanted")
		}
		if err := s.engine.apply(e); err != nil {
			st.drop()
			return err
		}
		return nil
	})
}

// cutAfter drops the log's tail after index and rebuilds the database.
func (s *Server) cutAfter(ctx context.Context, f following, index uint64) error {
	return s.change(ctx, func(st *state) error {
		if !st.cut(f.epoch, index) {
			return eris.New("tail no longer to be cut")
		}
		s.cfg.Logger.Info("Cut the differing tail of the log.", "index", index)
		return s.engine.rebuild(st.log)
	})
}

// change runs fn with the engine and the state locked.
func (s *Server) change(ctx context.Context, fn func(*state) error) error {
	if err := s.takeTurn(ctx); err != nil {
		return err
	}
	defer s.engine.unlock()
	var failure error
	if err := s.updateData(ctx, func(st *state) { failure = fn(st) }); err != nil {
		return err
	}
	return failure
}

// takeTurn waits for the engine's turn. A transaction that stands in the way
// for longer than conflictWait is rolled back.
func (s *Server) takeTurn(ctx context.Context) error {
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
