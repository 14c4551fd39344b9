// Package groupsql maps database group operations to statements on an ordinary
// PostgreSQL connection. Both the proxy and the stand-in database server use it.
//
// Each operation is one simple query that returns one row of Columns. In
// addition, a server reports positions on every connection as values of the
// parameter PositionParameter: the position that a statement reads at is sent
// before its first row, and that of a commit before its CommandComplete.
package groupsql

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/bronzeloft/bronzeloft/position"
)

// PositionParameter is the name of the ParameterStatus message that reports a
// position.
const PositionParameter = "group.position"

// Role is a server's current role in its group.
type Role string

// The roles.
const (
	Primary Role = "primary" // accepts writes in its accepted term
	Replica Role = "replica" // replicates from a primary
	Fenced  Role = "fenced"  // has promised a term or restarted; accepts no writes and follows no primary until OpPromote or OpFollow
)

// Report is the state that a server reports about itself.
type Report struct {
	Position position.Position // last entry of its log
	Accepted uint64            // highest term it has promised; it refuses writes and replication of older ones
	Claimant string            // claimant to which it promised Accepted
	Role     Role
	BootID   string // changes when the server restarts
	OK       bool   // whether the operation was carried out; false means refused
}

// Columns are the columns of every operation's row, all text.
var Columns = []string{"ok", "position", "accepted", "claimant", "role", "boot_id"}

// Row returns r as the row of Columns.
func (r Report) Row() []string {
	return []string{strconv.FormatBool(r.OK), r.Position.String(), strconv.FormatUint(r.Accepted, 10), r.Claimant, string(r.Role), r.BootID}
}

// ParseRow parses a row in the format that Row returns.
func ParseRow(row []string) (Report, error) {
	if len(row) != len(Columns) {
		return Report{}, fmt.Errorf("groupsql: row has %d columns, want %d", len(row), len(Columns))
	}
	ok, err := strconv.ParseBool(row[0])
	if err != nil {
		return Report{}, fmt.Errorf("groupsql: parse column ok: %w", err)
	}
	pos, err := position.Parse(row[1])
	if err != nil {
		return Report{}, err
	}
	accepted, err := strconv.ParseUint(row[2], 10, 64)
	if err != nil {
		return Report{}, fmt.Errorf("groupsql: parse column accepted: %w", err)
	}
	return Report{OK: ok, Position: pos, Accepted: accepted, Claimant: row[3], Role: Role(row[4]), BootID: row[5]}, nil
}

// OpKind is the kind of a group operation.
type OpKind uint8

// The operations.
const (
	OpPosition OpKind = iota // only report the state
	OpFence                  // promise Term to Claimant, unless a higher term, or Term to another claimant, is promised already; idempotent
	OpPromote                // become primary of Term, if fenced at exactly (Term, Claimant); writes the term's marker entry; idempotent
	OpFollow                 // follow the primary of Term at Address, if Accepted <= Term; drops a log tail that differs from the primary's log
)

// Op is one group operation.
type Op struct {
	Kind     OpKind
	Term     uint64
	Claimant string // OpFence, OpPromote
	Address  string // OpFollow: IP:port of the primary
}

// SQL returns the statement of op. Claimant and Address are not escaped; they must
// not contain a single quote.
func (op Op) SQL() string {
	switch op.Kind {
	case OpFence:
		return fmt.Sprintf("GROUP FENCE %d '%s'", op.Term, op.Claimant)
	case OpPromote:
		return fmt.Sprintf("GROUP PROMOTE %d '%s'", op.Term, op.Claimant)
	case OpFollow:
		return fmt.Sprintf("GROUP FOLLOW %d '%s'", op.Term, op.Address)
	default:
		return "GROUP POSITION"
	}
}

var opPattern = regexp.MustCompile(`^GROUP (POSITION|FENCE|PROMOTE|FOLLOW)(?: (\d+) '([^']*)')?$`)

// Parse parses a statement that Op.SQL returned; ok is false for any other text.
func Parse(sql string) (op Op, ok bool) {
	if len(sql) < 6 || sql[:6] != "GROUP " {
		return Op{}, false
	}
	m := opPattern.FindStringSubmatch(sql)
	if m == nil {
		return Op{}, false
	}
	if m[1] == "POSITION" {
		return Op{Kind: OpPosition}, m[2] == ""
	}
	term, err := strconv.ParseUint(m[2], 10, 64)
	if err != nil {
		return Op{}, false
	}
	switch m[1] {
	case "FENCE":
		return Op{Kind: OpFence, Term: term, Claimant: m[3]}, true
	case "PROMOTE":
		return Op{Kind: OpPromote, Term: term, Claimant: m[3]}, true
	default:
		return Op{Kind: OpFollow, Term: term, Address: m[3]}, true
	}
}
