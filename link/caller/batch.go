package caller

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// Limits of one batch.
const (
	MaxMessageBytes  = 16 << 20 // one message
	MaxBatchBytes    = 32 << 20 // all messages up to Sync
	MaxBatchMessages = 10_000
)

// Batch is one request of the wire protocol: a simple query, or the messages
// up to and including Sync.
type Batch struct {
	Simple   bool
	SQL      string // the simple query's text
	Messages []pgproto3.FrontendMessage
	bytes    int
}

// add copies msg into the batch, since the decoder reuses its messages.
func (b *Batch) add(msg pgproto3.FrontendMessage) error {
	if len(b.Messages) >= MaxBatchMessages {
		return errkind.New(errkind.TooLarge, "over %d messages before Sync", MaxBatchMessages)
	}
	var size int
	switch m := msg.(type) {
	case *pgproto3.Parse:
		c := *m
		c.ParameterOIDs = append([]uint32(nil), m.ParameterOIDs...)
		size = len(c.Name) + len(c.Query) + 4*len(c.ParameterOIDs)
		msg = &c
	case *pgproto3.Bind:
		c := copyBind(m)
		size = bindBytes(c)
		msg = c
	case *pgproto3.Describe:
		c := *m
		size = len(c.Name)
		msg = &c
	case *pgproto3.Execute:
		c := *m
		size = len(c.Portal)
		msg = &c
	case *pgproto3.Close:
		c := *m
		size = len(c.Name)
		msg = &c
	case *pgproto3.Sync:
		msg = &pgproto3.Sync{}
	default:
		return errkind.New(errkind.NotSupported, "message %T", msg)
	}
	b.bytes += size
	if b.bytes > MaxBatchBytes {
		return errkind.New(errkind.TooLarge, "over %d bytes before Sync", MaxBatchBytes)
	}
	b.Messages = append(b.Messages, msg)
	return nil
}

func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	c := *m
	c.ParameterFormatCodes = append([]int16(nil), m.ParameterFormatCodes...)
	c.ResultFormatCodes = append([]int16(nil), m.ResultFormatCodes...)
	c.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		c.Parameters[i] = bytes.Clone(p)
	}
	return &c
}

func bindBytes(m *pgproto3.Bind) int {
	n := len(m.DestinationPortal) + len(m.PreparedStatement) + 2*len(m.ParameterFormatCodes) + 2*len(m.ResultFormatCodes)
	for _, p := range m.Parameters {
		n += len(p)
	}
	return n
}
