package contract

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// MaxEncodedBytes bounds an encoded snapshot.
const MaxEncodedBytes = 64 << 20

// ErrTooLarge reports an encoded snapshot beyond MaxEncodedBytes.
var ErrTooLarge = errors.New("contract: snapshot is too large")

// Encode returns s as JSON.
func Encode(s *Snapshot) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "contract: encode")
	}
	if len(data) > MaxEncodedBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Decode reads what Encode returns. Fields that it does not know are passed
// over, so that an older host can read a newer snapshot. It checks the form
// only; see Check.
func Decode(data []byte) (*Snapshot, error) {
	if len(data) > MaxEncodedBytes {
		return nil, ErrTooLarge
	}
	s := &Snapshot{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(err, "contract: decode")
	}
	return s, nil
}
