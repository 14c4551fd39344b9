package datacentre

import "github.com/cespare/xxhash/v2"

// keyedHash returns a hash of an address under a key: its rendezvous weight, of which
// the highest ranks first, or its place on the ring.
func keyedHash(key, address string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(address)
	return h.Sum64()
}

// bootHash returns the short form of a boot id used in digests; 0 means unknown.
func bootHash(bootID string) uint32 {
	if bootID == "" {
		return 0
	}
	return uint32(keyedHash("boot", bootID)) | 1
}
