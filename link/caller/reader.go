package caller

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bronzeloft/bronzeloft/errkind"
)

// Buffer sizes in bytes.
const (
	readBuffer = 4 << 10  // of a caller that is sending
	bodyStep   = 64 << 10 // a larger message body is read in steps, the first of this size
)

var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// messageReader reads a caller's messages. It holds a buffer only while input is
// available, since most callers are idle.
type messageReader struct {
	src   io.Reader
	max   int           // maximum bytes of a message body
	buf   *bufio.Reader // nil while idle
	first [1]byte       // first byte of a message, read while buf is nil
}

// next returns the next message, which the calling code may keep, and the size of
// its body. After a timeout before the first byte the reader is still usable; after
// any later error it is not.
func (r *messageReader) next() (pgproto3.FrontendMessage, int, error) {
	kind, err := r.readType()
	if err != nil {
		return nil, 0, err
	}
	body, err := r.readBody()
	if err != nil {
		return nil, 0, timeoutAsProtocolError(err)
	}
	r.releaseBuffer()
	msg := newMessage(kind)
	if msg == nil {
		return nil, 0, errkind.New(errkind.Protocol, "unknown message type %q", kind)
	}
	if err := msg.Decode(body); err != nil {
		return nil, 0, errkind.Wrap(errkind.Protocol, err, "malformed message")
	}
	return msg, len(body), nil
}

// timeoutAsProtocolError turns a timeout in the middle of a request into a
// protocol error, because the part that was read is lost and reading cannot be
// resumed.
func timeoutAsProtocolError(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errkind.Wrap(errkind.Protocol, err, "timed out waiting for the rest of the request")
	}
	return err
}

// readType waits for a message's type byte or, in a startup message, which has none,
// for the first byte of its length.
func (r *messageReader) readType() (byte, error) {
	if r.buf != nil {
		return r.buf.ReadByte()
	}
	if _, err := io.ReadFull(r.src, r.first[:]); err != nil {
		return 0, err
	}
	r.buf = readBuffers.Get().(*bufio.Reader)
	r.buf.Reset(r.src)
	return r.first[0], nil
}

// readBody reads the message length and the body.
func (r *messageReader) readBody() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r.buf, head[:]); err != nil {
		return nil, err
	}
	return r.read(int(binary.BigEndian.Uint32(head[:])) - len(head))
}

// read returns the next size bytes. It allocates memory as bytes arrive, so that
// a large length without a body does not allocate a large buffer.
func (r *messageReader) read(size int) ([]byte, error) {
	switch {
	case size < 0:
		return nil, errkind.New(errkind.Protocol, "message length is below 4 bytes")
	case size > r.max:
		// Fatal: the unread body must not be parsed as messages.
		return nil, errkind.New(errkind.Protocol, "message body exceeds %d bytes", r.max)
	}
	var body []byte
	for len(body) < size {
		from := len(body)
		body = append(body, make([]byte, min(size-from, max(bodyStep, from)))...)
		if _, err := io.ReadFull(r.buf, body[from:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// releaseBuffer returns the buffer to the pool when it holds no unread bytes.
func (r *messageReader) releaseBuffer() {
	if r.buf.Buffered() > 0 {
		return
	}
	r.buf.Reset(nil)
	readBuffers.Put(r.buf)
	r.buf = nil
}

// Request codes of the messages before the startup message.
const (
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// errNoStartup is returned for a client that does not speak the protocol. Such a
// client gets no answer.
var errNoStartup = errors.New("caller: not a PostgreSQL startup message")

// nextStartup returns the next message of a startup; such messages have no type
// byte.
func (r *messageReader) nextStartup() (pgproto3.FrontendMessage, error) {
	first, err := r.readType()
	if err != nil {
		return nil, err
	}
	head := [4]byte{first}
	if _, err := io.ReadFull(r.buf, head[1:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:])) - len(head)
	if size < 4 || size > r.max {
		return nil, errNoStartup
	}
	body, err := r.read(size)
	if err != nil {
		return nil, err
	}
	r.releaseBuffer()
	msg := newStartup(binary.BigEndian.Uint32(body))
	if msg == nil {
		return nil, errNoStartup
	}
	if err := msg.Decode(body); err != nil {
		return nil, errkind.Wrap(errkind.Protocol, err, "malformed startup message")
	}
	return msg, nil
}

// newStartup returns an empty startup message for a request code or protocol
// version, or nil for an unknown one.
func newStartup(code uint32) pgproto3.FrontendMessage {
	switch code {
	case pgproto3.ProtocolVersion30, pgproto3.ProtocolVersion32:
		return &pgproto3.StartupMessage{}
	case cancelCode:
		return &pgproto3.CancelRequest{}
	case sslCode:
		return &pgproto3.SSLRequest{}
	case gssCode:
		return &pgproto3.GSSEncRequest{}
	}
	return nil
}

// newMessage returns an empty message of the given type, or nil for an unknown
// type.
func newMessage(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'B':
		return &pgproto3.Bind{}
	case 'C':
		return &pgproto3.Close{}
	case 'D':
		return &pgproto3.Describe{}
	case 'E':
		return &pgproto3.Execute{}
	case 'F':
		return &pgproto3.FunctionCall{}
	case 'H':
		return &pgproto3.Flush{}
	case 'P':
		return &pgproto3.Parse{}
	case 'Q':
		return &pgproto3.Query{}
	case 'S':
		return &pgproto3.Sync{}
	case 'X':
		return &pgproto3.Terminate{}
	case 'c':
		return &pgproto3.CopyDone{}
	case 'd':
		return &pgproto3.CopyData{}
	case 'f':
		return &pgproto3.CopyFail{}
	case 'p':
		return &pgproto3.PasswordMessage{}
	}
	return nil
}
