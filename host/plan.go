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

// maxStatements limits the number of prepared statements of one caller.
const maxStatements = 1000

// statement is a caller's prepared statement. Database connections are shared
// by many callers, so on them the statement has a name derived from its
// content.
type statement struct {
	sql  string
	oids []uint32 // parameter types
	name string   // on database connections
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

// statements maps a caller's statement names to its prepared statements; the
// empty name is the unnamed statement. It is not safe for concurrent use.
type statements map[string]*statement

// batchSQL returns the text of the first statement that the batch executes, and
// whether it executes any. If it executes none, the text is that of the first
// Parse.
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

// batchTexts returns the distinct texts of the statements that the batch parses
// or binds.
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

// stepKind says where the answer of a step comes from and whether it is
// forwarded to the caller.
type stepKind uint8

const (
	stepForward    stepKind = iota // the database's answer is forwarded to the caller
	stepDiscard                    // the database's answer to an inserted Parse is discarded
	stepSynthesize                 // nothing is sent to the database; the proxy answers
	stepParse                      // as stepForward; the connection is then marked as having the statement prepared
)

// answerStep is the answer to one message of an extended batch.
type answerStep struct {
	kind   stepKind
	name   string                  // for stepDiscard and stepParse: statement name on the connection
	answer pgproto3.BackendMessage // for stepSynthesize
}

// plan is a batch as rewritten for one database connection.
type plan struct {
	messages []pgproto3.FrontendMessage
	steps    []answerStep
}

// newPlan rewrites the request's batch for conn. A retry of a batch that closes
// statements starts from the statements that existed before the first attempt.
func (s *session) newPlan(r *request, conn *database.Conn) (*plan, error) {
	if r.stmtsBefore != nil {
		s.stmts = maps.Clone(r.stmtsBefore)
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

// newPlan rewrites a batch for conn: it replaces statement names by those used
// on the connection and inserts a Parse for statements that conn has not
// prepared.
func (s statements) newPlan(b *caller.Batch, conn *database.Conn) (*plan, error) {
	p := &plan{}
	if b.Simple {
		p.messages = b.Messages
		return p, nil
	}
	parsedInBatch := map[string]bool{} // parsed earlier in this batch
	for _, msg := range b.Messages {
		if err := s.planMessage(p, msg, conn, parsedInBatch); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (s statements) planMessage(p *plan, msg pgproto3.FrontendMessage, conn *database.Conn, parsedInBatch map[string]bool) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.planParse(p, m, conn, parsedInBatch)
	case *pgproto3.Bind:
		st, err := s.ensureParsed(p, m.PreparedStatement, conn, parsedInBatch)
		if err != nil {
			return err
		}
		bind := *m
		bind.PreparedStatement = st.name
		p.add(&bind, answerStep{kind: stepForward})
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			p.add(m, answerStep{kind: stepForward})
			return nil
		}
		st, err := s.ensureParsed(p, m.Name, conn, parsedInBatch)
		if err != nil {
			return err
		}
		p.add(&pgproto3.Describe{ObjectType: 'S', Name: st.name}, answerStep{kind: stepForward})
	case *pgproto3.Close:
		if m.ObjectType != 'S' {
			p.add(m, answerStep{kind: stepForward})
			return nil
		}
		delete(s, m.Name)
		p.steps = append(p.steps, answerStep{kind: stepSynthesize, answer: &pgproto3.CloseComplete{}})
	case *pgproto3.Sync:
		p.messages = append(p.messages, m)
	default:
		p.add(msg, answerStep{kind: stepForward})
	}
	return nil
}

func (s statements) planParse(p *plan, m *pgproto3.Parse, conn *database.Conn, parsedInBatch map[string]bool) error {
	if _, ok := s[m.Name]; !ok && len(s) >= maxStatements {
		return errkind.New(errkind.TooLarge, "more than %d prepared statements in one session", maxStatements)
	}
	st := newStatement(m.Query, m.ParameterOIDs)
	s[m.Name] = st
	if conn.Prepared(st.name) || parsedInBatch[st.name] {
		p.steps = append(p.steps, answerStep{kind: stepSynthesize, answer: &pgproto3.ParseComplete{}})
		return nil
	}
	parsedInBatch[st.name] = true
	p.add(st.parse(), answerStep{kind: stepParse, name: st.name})
	return nil
}

// ensureParsed returns the caller's statement with the given name. It adds a
// Parse to the plan if the connection has not prepared the statement.
func (s statements) ensureParsed(p *plan, name string, conn *database.Conn, parsedInBatch map[string]bool) (*statement, error) {
	st := s[name]
	if st == nil {
		return nil, errkind.New(errkind.UnknownStatement, "prepared statement %q", name)
	}
	if !conn.Prepared(st.name) && !parsedInBatch[st.name] {
		parsedInBatch[st.name] = true
		p.add(st.parse(), answerStep{kind: stepDiscard, name: st.name})
	}
	return st, nil
}

func (p *plan) add(msg pgproto3.FrontendMessage, st answerStep) {
	p.messages = append(p.messages, msg)
	p.steps = append(p.steps, st)
}

// endsStep reports whether msg is the last message of the answer to one step.
func endsStep(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData,
		*pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true
	}
	return false
}
