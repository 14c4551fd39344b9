package dbserver

import (
	"context"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// maxNamed is the maximum number of prepared statements and, separately, of
// portals in a session. Beyond it Parse and Bind fail.
const maxNamed = 4096

// handle processes one message from the client.
func (c *session) handle(msg pgproto3.FrontendMessage) {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		c.skipToSync = false
		c.simpleQuery(msg.String)
	case *pgproto3.Sync:
		c.skipToSync = false
		c.endQueryCycle()
	case *pgproto3.Flush:
		c.sendPending()
		_ = c.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Remaining messages of a failed COPY are ignored.
	default:
		if c.skipToSync {
			return
		}
		if err := c.extended(msg); err != nil {
			c.skipToSync = true
			c.fail(err)
		}
	}
}

// simpleQuery runs the statements of one Query message.
func (c *session) simpleQuery(sql string) {
	parts := split(sql)
	if len(parts) == 0 {
		c.send(&pgproto3.EmptyQueryResponse{})
	}
	for _, part := range parts {
		ctx, done := c.queryContext()
		err := c.execute(ctx, part, nil, true)
		done()
		if err != nil {
			c.fail(err)
			break
		}
	}
	if c.disconnected {
		return
	}
	c.endQueryCycle()
}

// extended handles one message of the extended query protocol.
func (c *session) extended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(msg)
	case *pgproto3.Bind:
		return c.bind(msg)
	case *pgproto3.Describe:
		return c.describe(msg)
	case *pgproto3.Execute:
		return c.executePortal(msg)
	case *pgproto3.Close:
		c.closeNamed(msg)
		return nil
	default:
		return fatalError(codeProtocol, "unexpected message %T", msg)
	}
}

func (c *session) parse(msg *pgproto3.Parse) error {
	parts := split(msg.Query)
	if len(parts) > 1 {
		return newError(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	sql := strings.Join(parts, "")
	if _, taken := c.statements[msg.Name]; taken && msg.Name != "" {
		return newError("42P05", "prepared statement %q already exists", msg.Name)
	}
	if len(c.statements) >= maxNamed {
		return newError(codeTooComplex, "session already has the maximum of %d prepared statements", maxNamed)
	}
	if _, err := c.describeStatement(sql); err != nil {
		return err
	}
	oids := append([]uint32(nil), msg.ParameterOIDs...)
	c.statements[msg.Name] = &prepared{sql: sql, oids: oids}
	c.send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(msg *pgproto3.Bind) error {
	p := c.statements[msg.PreparedStatement]
	if p == nil {
		return newError(codeNoStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(c.portals) >= maxNamed {
		return newError(codeTooComplex, "session already has the maximum of %d portals", maxNamed)
	}
	for _, format := range msg.ResultFormatCodes {
		if format != pgproto3.TextFormat {
			return newError(codeNotSupported, "results are supported in the text format only")
		}
	}
	args := make([]Arg, len(msg.Parameters))
	for i, raw := range msg.Parameters {
		arg, err := decodeArg(raw, formatOf(msg.ParameterFormatCodes, i), oidOf(p.oids, i))
		if err != nil {
			return err
		}
		args[i] = arg
	}
	c.portals[msg.DestinationPortal] = &portal{sql: p.sql, args: args}
	c.send(&pgproto3.BindComplete{})
	return nil
}

// formatOf returns the format of parameter i. Without codes all parameters are in
// the text format; a single code applies to all parameters.
func formatOf(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	default:
		return pgproto3.TextFormat
	}
}

// oidOf returns the type OID that Parse gave for parameter i, 0 if none.
func oidOf(oids []uint32, i int) uint32 {
	if i < len(oids) {
		return oids[i]
	}
	return 0
}

// decodeArg decodes a parameter. A binary value must have a supported type.
func decodeArg(raw []byte, format int16, oid uint32) (Arg, error) {
	if raw == nil {
		return Arg{Null: true}, nil
	}
	if format == pgproto3.TextFormat {
		return Arg{Text: string(raw)}, nil
	}
	switch {
	case oid == pgtype.ByteaOID:
		return Arg{Blob: append([]byte{}, raw...)}, nil
	case oid == pgtype.TextOID || oid == pgtype.VarcharOID:
		return Arg{Text: string(raw)}, nil
	case oid == pgtype.Int4OID && len(raw) == 4:
		return Arg{Text: strconv.Itoa(int(int32(be32(raw))))}, nil
	case oid == pgtype.Int8OID && len(raw) == 8:
		n := int64(be32(raw))<<32 | int64(be32(raw[4:]))
		return Arg{Text: strconv.FormatInt(n, 10)}, nil
	case oid == pgtype.Float8OID && len(raw) == 8:
		bits := uint64(be32(raw))<<32 | uint64(be32(raw[4:]))
		return Arg{Text: strconv.FormatFloat(math.Float64frombits(bits), 'g', -1, 64)}, nil
	default:
		return Arg{}, newError(codeNotSupported, "binary parameter of type OID %d is not supported", oid)
	}
}

func (c *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		p := c.portals[msg.Name]
		if p == nil {
			return newError(codeNoPortal, "portal %q does not exist", msg.Name)
		}
		d, err := c.describeStatement(p.sql)
		if err != nil {
			return err
		}
		c.sendColumns(d.columns)
		return nil
	}
	p := c.statements[msg.Name]
	if p == nil {
		return newError(codeNoStatement, "prepared statement %q does not exist", msg.Name)
	}
	d, err := c.describeStatement(p.sql)
	if err != nil {
		return err
	}
	oids := make([]uint32, d.params)
	copy(oids, p.oids)
	c.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	c.sendColumns(d.columns)
	return nil
}

// sendColumns sends a RowDescription, or NoData if there are no columns.
func (c *session) sendColumns(columns []string) {
	if len(columns) == 0 {
		c.send(&pgproto3.NoData{})
		return
	}
	c.send(rowDescription(columns))
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func (c *session) executePortal(msg *pgproto3.Execute) error {
	p := c.portals[msg.Portal]
	if p == nil {
		return newError(codeNoPortal, "portal %q does not exist", msg.Portal)
	}
	if p.sql == "" {
		c.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, done := c.queryContext()
	defer done()
	return c.execute(ctx, p.sql, p.args, false)
}

func (c *session) closeNamed(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		delete(c.statements, msg.Name)
	} else {
		delete(c.portals, msg.Name)
	}
	c.send(&pgproto3.CloseComplete{})
}

// acquireSlot waits for a statement slot, which the caller gives back with release.
// A session that holds the transaction lock needs no slot, so that its transaction
// can always end.
func (c *session) acquireSlot(ctx context.Context) (release func(), err error) {
	if c.tx != nil {
		return func() {}, nil
	}
	select {
	case c.server.slots <- struct{}{}:
		return func() { <-c.server.slots }, nil
	case <-ctx.Done():
		return nil, canceledError()
	}
}
