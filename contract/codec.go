package contract

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// MaxEncodedBytes is the maximum size of an encoded snapshot.
const MaxEncodedBytes = 64 << 20

// ErrTooLarge reports an encoded snapshot larger than MaxEncodedBytes, or a chunk
// or head larger than objectapi.MaxValueBytes.
var ErrTooLarge = errors.New("contract: snapshot is too large")

// Encode returns s as JSON.
func Encode(s *Snapshot) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "contract: encode snapshot")
	}
	if len(data) > MaxEncodedBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Decode parses the output of Encode. Unknown fields are ignored, so that an older
// host can read a newer snapshot. It checks only that the JSON is valid; Check
// validates the content.
func Decode(data []byte) (*Snapshot, error) {
	if len(data) > MaxEncodedBytes {
		return nil, ErrTooLarge
	}
	s := &Snapshot{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(err, "contract: decode snapshot")
	}
	return s, nil
}
