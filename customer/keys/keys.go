// Package keys issues callers' keys and checks them.
//
// A key has the form KEYID.SECRET. The id is public and may be logged; the secret
// holds 256 random bits and is stored only as a salted hash. Because the secret
// is uniformly random, one round of SHA-256 is as hard to reverse as the secret
// is to guess.
package keys

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Sizes of a key, in bytes.
const (
	SecretBytes       = 32  // random bytes of a secret, 256 bits
	SaltBytes         = 16  // salt, per key
	MaxPlaintextBytes = 128 // longest key that Check parses
)

// separator separates a key's id from its secret.
const separator = "."

// ErrID reports an invalid key id.
var ErrID = errors.New("keys: invalid key id: must be 1 to 64 lower-case letters, digits, '-' and '_'")

// New generates a key with the given id and reads its secret and salt from
// random. It returns the key as stored and its plaintext, which is shown to its
// holder once and never stored. The error is ErrID for an invalid id.
func New(random io.Reader, id string) (contract.Key, string, error) {
	if !contract.ValidKeyID(id) {
		return contract.Key{}, "", ErrID
	}
	raw := make([]byte, SecretBytes+SaltBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return contract.Key{}, "", eris.Wrap(err, "keys: read the random source")
	}
	secret := base64.RawURLEncoding.EncodeToString(raw[:SecretBytes])
	salt := raw[SecretBytes:]
	key := contract.Key{ID: id, Salt: salt, Hash: hash(salt, secret)}
	return key, id + separator + secret, nil
}

// hash returns the salted hash of secret, as it is stored.
func hash(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}

// split splits a presented key into id and secret; ok is false for text that
// cannot be a key.
func split(plaintext string) (id, secret string, ok bool) {
	if len(plaintext) > MaxPlaintextBytes {
		return "", "", false
	}
	return strings.Cut(plaintext, separator)
}
