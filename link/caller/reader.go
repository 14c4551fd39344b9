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

// Sizes of reading.
const (
	readBuffer = 4 << 10 // of a caller that is sending, in bytes
	bodyStep   = 64 << 10
)

var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// messageReader reads a caller's messages. It holds a buffer only while bytes
// are there to be read, since most callers are idle.
type messageReader struct {
	src   io.Reader
	max   int           // bytes of one message's body
	buf   *bufio.Reader // nil while idle
	first [1]byte
}

// next returns the next message, which the caller may keep, and the size of its
// body. A timeout before its first byte leaves the reader as it was; any error
// later on ends its use.
func (r *messageReader) next() (pgproto3.FrontendMessage, int, error) {
	kind, err := r.kind()
	if err != nil {
		return nil, 0, err
	}
	body, err := r.body()
	if err != nil {
		return nil, 0, brokeOff(err)
	}
	r.rest()
	msg := newMessage(kind)
	if msg == nil {
		return nil, 0, errkind.New(errkind.Protocol, "message type %q", kind)
	}
	if err := msg.Decode(body); err != nil {
		return nil, 0, errkind.Wrap(errkind.Protocol, err, "malformed message")
	}
	return msg, len(body), nil
}

// brokeOff turns a timeout inside a message into a protocol error: what was
// read of it is gone.
func brokeOff(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errkind.Wrap(errkind.Protocol, err, "message broke off")
	}
	return err
}

// kind waits for a message's first byte.
func (r *messageReader) kind() (byte, error) {
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

// body reads the length and that many bytes.
func (r *messageReader) body() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r.buf, head[:]); err != nil {
		return nil, err
	}
	return r.read(int(binary.BigEndian.Uint32(head[:])) - len(head))
}

// read returns the next size bytes. Memory grows as bytes arrive, so that a
// length alone costs nothing.
func (r *messageReader) read(size int) ([]byte, error) {
	switch {
	case size < 0:
		return nil, errkind.New(errkind.Protocol, "message length")
	case size > r.max:
		// Fatal: the body is unread, and must not be taken for messages.
		return nil, errkind.New(errkind.Protocol, "message over %d bytes", r.max)
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

// rest gives the buffer back when nothing is left in it.
func (r *messageReader) rest() {
	if r.buf.Buffered() > 0 {
		return
	}
	r.buf.Reset(nil)
	readBuffers.Put(r.buf)
	r.buf = nil
}

// Codes that tell startup messages apart.
const (
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// errNoStartup reports a peer that does not speak the protocol: it is not
// answered.
var errNoStartup = errors.New("caller: no startup message")

// startup returns the next message of a startup, which has no type byte.
func (r *messageReader) startup() (pgproto3.FrontendMessage, error) {
	first, err := r.kind()
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
	r.rest()
	msg := newStartup(binary.BigEndian.Uint32(body))
	if msg == nil {
		return nil, errNoStartup
	}
	if err := msg.Decode(body); err != nil {
		return nil, errkind.Wrap(errkind.Protocol, err, "malformed startup")
	}
	return msg, nil
}

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

// newMessage returns an empty message of a type, nil for an unknown one.
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
