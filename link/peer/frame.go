package peer

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// MaxFrame is the maximum size of one encoded envelope, in bytes.
const MaxFrame = 2 << 20

// keepBuffer limits the read buffer that a connection keeps between frames: a
// buffer of more than twice this size is not kept. A larger envelope is read in
// steps, the first of this size.
const keepBuffer = 16 << 10

const headerLen = 4 // big-endian length of the envelope that follows

// encodeFrame encodes env with a length prefix.
func encodeFrame(env *peerpb.Envelope) ([]byte, error) {
	size := proto.Size(env)
	if size > MaxFrame {
		return nil, ErrTooLarge
	}
	frame := make([]byte, headerLen, headerLen+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, env)
}

// frameReader reads envelopes from a stream. It is not safe for concurrent use.
type frameReader struct {
	r   io.Reader
	buf []byte
}

// next returns the next envelope. After an error the stream must not be read
// again.
func (f *frameReader) next() (*peerpb.Envelope, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return nil, ErrTooLarge
	}
	body, err := f.read(int(size))
	if err != nil {
		return nil, err
	}
	env := &peerpb.Envelope{}
	if err := proto.Unmarshal(body, env); err != nil {
		return nil, eris.Wrap(err, "cannot decode envelope")
	}
	return env, nil
}

// read returns size bytes, valid until the next call. It allocates memory as bytes
// arrive, so that a large length prefix without a body does not allocate a large
// buffer.
func (f *frameReader) read(size int) ([]byte, error) {
	buf := f.buf[:0]
	for len(buf) < size {
		step := min(size-len(buf), max(keepBuffer, len(buf)))
		from := len(buf)
		buf = append(buf, make([]byte, step)...)
		if _, err := io.ReadFull(f.r, buf[from:]); err != nil {
			return nil, err
		}
	}
	if cap(buf) <= 2*keepBuffer {
		f.buf = buf
	}
	return buf, nil
}
