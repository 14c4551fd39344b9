package peer

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// MaxFrame bounds one encoded envelope, in bytes.
const MaxFrame = 2 << 20

// keepBuffer bounds the read buffer that a connection keeps between frames.
const keepBuffer = 16 << 10

const headerLen = 4 // big-endian length of the envelope that follows

// encodeFrame returns env with its length in front.
func encodeFrame(env *peerpb.Envelope) ([]byte, error) {
	size := proto.Size(env)
	if size > MaxFrame {
		return nil, ErrTooLarge
	}
	frame := make([]byte, headerLen, headerLen+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, env)
}

// frameReader reads envelopes from a stream. It is not for concurrent use.
type frameReader struct {
	r   io.Reader
	buf []byte
}

// next returns the next envelope. After an error the stream is of no use.
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
		return nil, eris.Wrap(err, "decode envelope")
	}
	return env, nil
}

// read returns size bytes. It takes memory as bytes arrive, so that a length
// alone costs little.
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
