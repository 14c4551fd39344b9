package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// Limits of one batch.
const (
	MaxMessageBytes  = 16 << 20 // body of one message
	MaxBatchBytes    = 32 << 20 // bodies of all messages up to Sync
	MaxBatchMessages = 10_000   // Sync included
)

// Batch is one request of the wire protocol: a simple query, or the
// extended-protocol messages up to and including Sync.
type Batch struct {
	Simple   bool
	SQL      string // text of the simple query
	Messages []pgproto3.FrontendMessage
	bytes    int
}

// add appends a message whose body has the given size.
func (b *Batch) add(msg pgproto3.FrontendMessage, size int) error {
	if len(b.Messages) >= MaxBatchMessages {
		return errkind.New(errkind.TooLarge, "more than %d messages before Sync", MaxBatchMessages)
	}
	switch msg.(type) {
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close, *pgproto3.Sync:
	default:
		return errkind.New(errkind.NotSupported, "message %T is not supported", msg)
	}
	b.bytes += size
	if b.bytes > MaxBatchBytes {
		return errkind.New(errkind.TooLarge, "more than %d bytes of messages before Sync", MaxBatchBytes)
	}
	b.Messages = append(b.Messages, msg)
	return nil
}
