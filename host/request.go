package host

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/caller"
	"github.com/bronzeloft/bronzeloft/position"
)

// request is one batch of a caller while the host processes it.
type request struct {
	batch       *caller.Batch
	tags        caller.Tags        // from the leading comment of sql
	sql         string             // of the first statement that the batch executes, else of its first Parse
	texts       []string           // of the statements that the batch parses or binds, including sql
	parsed      []caller.Statement // statements of all texts
	stmtsBefore statements         // prepared statements before the batch; nil if it closes none
	executes    bool               // executes a statement
	spec        contract.Request   // declared in the contract; changed to a write if a declared read contains one
	service     *service
	customer    *contract.Customer // nil for a caller without a key
	arrived     time.Time
	deadline    time.Time
	keyID       string
	dirty       bool // may leave session state on its connection, which must not return to the pool
}

// serve runs one batch. An *errkind.Error that it returns has not been sent to
// the caller yet.
func (s *session) serve(b *caller.Batch) error {
	req, err := s.newRequest(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(s.host.ctx, req.deadline)
	defer cancel()
	err = s.dispatch(ctx, req)
	s.host.recordOutcome(req, err)
	return err
}

func (s *session) newRequest(b *caller.Batch) (*request, error) {
	now := s.host.now()
	v := s.host.view.Load()
	svc := s.host.serviceWithRunner(s.service)
	if svc == nil || svc.group == nil {
		return nil, errkind.New(errkind.UnknownDatabase, "service %s was removed from the configuration", s.service)
	}
	r := &request{batch: b, service: svc, arrived: now, keyID: s.keyID, customer: v.customer(s.customer)}
	if s.keyID != "" && r.customer == nil {
		return nil, errkind.New(errkind.KeyWithdrawn, "customer was removed from the configuration")
	}
	if err := s.host.checkKey(r); err != nil {
		return nil, err
	}
	r.sql, r.executes = s.stmts.batchSQL(b)
	r.tags = caller.ParseTags(r.sql)
	r.spec = svc.spec.Request(r.tags.Request)
	r.deadline = now.Add(r.spec.Deadline)
	r.texts = s.stmts.batchTexts(b)
	if closesStatement(b) {
		r.stmtsBefore = maps.Clone(s.stmts)
	}
	for _, text := range r.texts {
		r.parsed = append(r.parsed, caller.Split(text)...)
	}
	if r.spec.Access == contract.Read && !readsOnly(r.parsed) {
		r.spec.Access, r.spec.MaxAge, r.spec.Open = contract.Write, 0, false
	}
	if err := s.checkOpenAccess(r); err != nil {
		return nil, err
	}
	return r, s.checkStatements(r)
}

// checkOpenAccess refuses requests of a caller without a key unless their
// contract marks them as open.
func (s *session) checkOpenAccess(r *request) error {
	if s.customer == "" && r.executes && !r.spec.Open {
		return errkind.New(errkind.BadKey, "request requires a key")
	}
	return nil
}

// checkStatements refuses statements that are not supported or would leave session
// state on a shared connection, and gives COPY its own deadline. Inside a
// transaction session state is allowed, since the connection is closed after it. It
// is also closed after DO and CALL, which may leave session state unseen.
func (s *session) checkStatements(r *request) error {
	for _, st := range r.parsed {
		switch {
		case st.Is("COPY"):
			if !r.batch.Simple || len(r.parsed) > 1 || r.tags.RequestID != "" {
				return errkind.New(errkind.NotSupported, "COPY must be the only statement of a simple query, without a request id")
			}
			r.deadline = r.arrived.Add(copyDeadline)
		case st.Is("LISTEN"), st.Is("UNLISTEN"), st.Is("NOTIFY"):
			return errkind.New(errkind.NotSupported, "%s statement", st.Words[0])
		case st.Is("DO"), st.Is("CALL"):
			r.dirty = true
		case st.Is("SET", "LOCAL"), st.Is("SET", "TRANSACTION"), st.Is("SET", "CONSTRAINTS"):
		case leavesSessionState(st):
			if s.tx == nil {
				return errkind.New(errkind.SessionState, "%s outside a transaction", st.Words[0])
			}
			r.dirty = true
		}
	}
	return nil
}

func leavesSessionState(st caller.Statement) bool {
	if len(st.SessionEffects) > 0 || st.Is("SET") || st.Is("RESET") || st.Is("DISCARD") || st.Is("LOAD") ||
		st.Is("PREPARE") || st.Is("DEALLOCATE") || st.Is("DECLARE") || st.Is("CREATE", "TEMP") ||
		st.Is("CREATE", "TEMPORARY") || st.Is("CREATE", "LOCAL") {
		return true
	}
	return st.Is("CREATE", "GLOBAL") || st.Is("CREATE", "OR", "REPLACE", "TEMP") || st.Is("CREATE", "OR", "REPLACE", "TEMPORARY")
}

// readsOnly reports whether the statements look like reads. It guards against a
// contract that declares a write as a read, which would route it to a replica.
func readsOnly(list []caller.Statement) bool {
	for _, st := range list {
		switch st.Words[0] {
		case "SELECT", "VALUES", "TABLE", "WITH", "SHOW", "EXPLAIN", "(":
		default:
			return false
		}
		if st.Writes {
			return false
		}
	}
	return true
}

// dispatch runs the request according to its kind. Outside a transaction, a request
// that executes a statement must first be admitted by the customer's rate.
func (s *session) dispatch(ctx context.Context, r *request) error {
	if s.tx != nil {
		return s.runInTransaction(ctx, r)
	}
	if r.isEmpty() {
		return s.answerEmpty(r)
	}
	if !r.executes {
		return s.describe(ctx, r)
	}
	if err := s.admit(ctx, r); err != nil {
		return err
	}
	switch {
	case r.spec.Access == contract.Read:
		return s.read(ctx, r)
	case r.tags.RequestID != "":
		return s.writeOnce(ctx, r)
	default:
		return s.writeRequest(ctx, r)
	}
}

// exchange sends the batch on conn and reads its answer. sent is false only
// when no byte of the batch can have reached the database. rep is nil if the batch
// could not be rewritten for conn.
func (s *session) exchange(conn *database.Conn, r *request, check func() error) (rep *reply, sent bool, err error) {
	p, err := s.newPlan(r, conn)
	if err != nil {
		return nil, false, err
	}
	rep = &reply{conn: conn, steps: p.steps, check: check, copyIn: s.copyIn}
	// Without this deadline a caller that does not read its answer could block
	// the database connection.
	rep.write = func(buf []byte) error { return s.writeWithDeadline(buf, r.deadline) }
	conn.SetDeadline(r.deadline)
	s.setRunning(conn)
	defer s.setRunning(nil)
	sent, err = conn.Send(p.messages...)
	if err != nil {
		return rep, sent, err
	}
	return rep, true, rep.read()
}

// readFloor returns the log position that a database must have reached to serve
// the request. sampled is the time at which the floor was current, zero for a
// fresh read.
func (s *session) readFloor(ctx context.Context, r *request) (floor position.Position, sampled time.Time, err error) {
	g := r.service.group
	ownFloor := s.token.Floor(r.service.spec.Group)
	if r.tags.Token != "" {
		t, err := position.ParseToken(r.tags.Token)
		if err != nil {
			return floor, sampled, errkind.New(errkind.Protocol, "malformed session token")
		}
		ownFloor = position.Max(ownFloor, t.Floor(r.service.spec.Group))
	}
	// A session without a token may have written through another host, so only
	// a confirmed position is certain to include its own writes.
	hasToken := s.hasToken || r.tags.Token != ""
	if r.spec.MaxAge > 0 && hasToken {
		if f, at, ok := g.ageFloor(r.spec.MaxAge); ok {
			return position.Max(ownFloor, f), at, nil
		}
	}
	confirmed, err := g.waitForConfirmation(ctx, r.arrived)
	if err != nil {
		if r.spec.MaxAge > 0 {
			return floor, sampled, errkind.New(errkind.TooStale, "cannot confirm data within the accepted age of %s", r.spec.MaxAge)
		}
		return floor, sampled, err
	}
	if confirmed.Before(ownFloor) {
		if err := g.checkToken(ownFloor, r.arrived); err != nil {
			return floor, sampled, err
		}
	}
	return position.Max(ownFloor, confirmed), sampled, nil
}

// copyDeadline bounds one COPY, from its arrival to its answer.
const copyDeadline = 10 * time.Minute

// copyIn forwards COPY data from the caller to the database.
func (s *session) copyIn(conn *database.Conn) error {
	for {
		msg, err := s.conn.ReceiveCopy()
		if err != nil {
			return errors.Join(errCallerConn, err)
		}
		if _, err := conn.Send(msg); err != nil {
			return err
		}
		switch msg.(type) {
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			return nil
		}
	}
}

// errBehind reports that the data of a read does not meet its freshness
// requirement: its position is before the floor, its sampled floor is too old,
// or the position was lost before a majority reached it.
var errBehind = errors.New("host: database is behind the read's floor")

// isEmpty reports whether the request is an empty simple query or only a Sync.
func (r *request) isEmpty() bool {
	if r.batch.Simple {
		return len(r.parsed) == 0
	}
	return len(r.batch.Messages) == 1
}
