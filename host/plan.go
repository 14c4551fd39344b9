package host

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/database"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/caller"
)

// maxStatements bounds the prepared statements of one caller.
const maxStatements = 1000

// statement is a caller's prepared statement. Database connections are shared,
// so each holds it under a name made from its content.
type statement struct {
	sql  string
	oids []uint32
	name string // on database connections
}

func newStatement(sql string, oids []uint32) *statement {
	h := sha256.New()
	h.Write([]byte(sql))
	for _, oid := range oids {
		h.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return &statement{sql: sql, oids: oids, name: "bl_" + hex.EncodeToString(h.Sum(nil)[:16])}
}

func (s *statement) parse() *pgproto3.Parse {
	return &pgproto3.Parse{Name: s.name, Query: s.sql, ParameterOIDs: s.oids}
}

// statements are the prepared statements of one caller by the caller's names;
// the empty name is the unnamed one. It is used by one goroutine.
type statements map[string]*statement

// batchSQL returns the text of the statement that the batch runs, and whether
// the batch executes anything.
func (s statements) batchSQL(b *caller.Batch) (sql string, executes bool) {
	if b.Simple {
		return b.SQL, true
	}
	parsed := map[string]string{}
	portals := map[string]string{}
	for _, msg := range b.Messages {
		switch m := msg.(type) {
		case *pgproto3.Parse:
			parsed[m.Name] = m.Query
			if sql == "" {
				sql = m.Query
			}
		case *pgproto3.Bind:
			portals[m.DestinationPortal] = s.text(m.PreparedStatement, parsed)
		case *pgproto3.Execute:
			return portals[m.Portal], true
		}
	}
	return sql, false
}

// batchTexts returns the text of each statement that the batch names, once.
func (s statements) batchTexts(b *caller.Batch) []string {
	if b.Simple {
		return []string{b.SQL}
	}
	var texts []string
	seen := map[string]bool{}
	parsed := map[string]string{}
	for _, msg := range b.Messages {
		text := ""
		switch m := msg.(type) {
		case *pgproto3.Parse:
			parsed[m.Name] = m.Query
			text = m.Query
		case *pgproto3.Bind:
			text = s.text(m.PreparedStatement, parsed)
		}
		if text != "" && !seen[text] {
			seen[text] = true
			texts = append(texts, text)
		}
	}
	return texts
}

func (s statements) text(name string, parsed map[string]string) string {
	if sql, ok := parsed[name]; ok {
		return sql
	}
	if st := s[name]; st != nil {
		return st.sql
	}
	return ""
}

// stepKind says which messages a step's answer holds and who gets them.
type stepKind uint8

const (
	stepPass  stepKind = iota // the database answers, the caller gets it
	stepDrop                  // the database answers, the caller does not see it
	stepMake                  // the database was not asked; the proxy answers
	stepParse                 // as stepPass, and the connection now holds the statement
)

// answerStep is the answer to one message of an extended batch.
type answerStep struct {
	kind   stepKind
	name   string                  // statement on the connection: stepDrop, stepParse
	answer pgproto3.BackendMessage // stepMake
}

// plan is a batch as sent on one database connection.
type plan struct {
	messages []pgproto3.FrontendMessage
	steps    []answerStep
}

// newPlan rewrites the request's batch for conn. A second try starts from the
// statements that the first one found.
func (s *session) newPlan(r *request, conn *database.Conn) (*plan, error) {
	if r.before != nil {
		s.stmts = maps.Clone(r.before)
	}
	return s.stmts.newPlan(r.batch, conn)
}

// closesStatement reports whether the batch closes a prepared statement.
func closesStatement(b *caller.Batch) bool {
	for _, msg := range b.Messages {
		if m, ok := msg.(*pgproto3.Close); ok && m.ObjectType == 'S' {
			return true
		}
	}
	return false
}

// newPlan rewrites a batch for conn: statement names become those on the
// connection, and statements that conn does not hold yet are parsed first.
func (s statements) newPlan(b *caller.Batch, conn *database.Conn) (*plan, error) {
	p := &plan{}
	if b.Simple {
		p.messages = b.Messages
		return p, nil
	}
	fresh := map[string]bool{} // parsed earlier in this batch
	for _, msg := range b.Messages {
		if err := s.planMessage(p, msg, conn, fresh); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (s statements) planMessage(p *plan, msg pgproto3.FrontendMessage, conn *database.Conn, fresh map[string]bool) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.planParse(p, m, conn, fresh)
	case *pgproto3.Bind:
		st, err := s.ensure(p, m.PreparedStatement, conn, fresh)
		if err != nil {
			return err
		}
		bind := *m
		bind.PreparedStatement = st.name
		p.add(&bind, answerStep{kind: stepPass})
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			p.add(m, answerStep{kind: stepPass})
			return nil
		}
		st, err := s.ensure(p, m.Name, conn, fresh)
		if err != nil {
			return err
		}
		p.add(&pgproto3.Describe{ObjectType: 'S', Name: st.name}, answerStep{kind: stepPass})
	case *pgproto3.Close:
		if m.ObjectType != 'S' {
			p.add(m, answerStep{kind: stepPass})
			return nil
		}
		delete(s, m.Name)
		p.steps = append(p.steps, answerStep{kind: stepMake, answer: &pgproto3.CloseComplete{}})
	case *pgproto3.Sync:
		p.messages = append(p.messages, m)
	default:
		p.add(msg, answerStep{kind: stepPass})
	}
	return nil
}

func (s statements) planParse(p *plan, m *pgproto3.Parse, conn *database.Conn, fresh map[string]bool) error {
	if _, ok := s[m.Name]; !ok && len(s) >= maxStatements {
		return errkind.New(errkind.TooLarge, "over %d prepared statements", maxStatements)
	}
	st := newStatement(m.Query, m.ParameterOIDs)
	s[m.Name] = st
	if conn.Prepared(st.name) || fresh[st.name] {
		p.steps = append(p.steps, answerStep{kind: stepMake, answer: &pgproto3.ParseComplete{}})
		return nil
	}
	fresh[st.name] = true
	p.add(st.parse(), answerStep{kind: stepParse, name: st.name})
	return nil
}

// ensure returns the caller's statement, parsing it first on a connection that
// lacks it.
func (s statements) ensure(p *plan, name string, conn *database.Conn, fresh map[string]bool) (*statement, error) {
	st := s[name]
	if st == nil {
		return nil, errkind.New(errkind.UnknownStatement, "%q", name)
	}
	if !conn.Prepared(st.name) && !fresh[st.name] {
		fresh[st.name] = true
		p.add(st.parse(), answerStep{kind: stepDrop, name: st.name})
	}
	return st, nil
}

func (p *plan) add(msg pgproto3.FrontendMessage, st answerStep) {
	p.messages = append(p.messages, msg)
	p.steps = append(p.steps, st)
}

// endsStep reports whether msg is the last message of one step's answer.
func endsStep(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true
	}
	return false
}
