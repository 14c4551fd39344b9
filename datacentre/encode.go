package datacentre

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

const (
	keptSnapshots   = 2        // number of replaced snapshots kept as bases for deltas
	maxSnapshotJSON = 64 << 20 // maximum bytes of a snapshot or delta after decompression
)

// transfer holds the encoded forms of the snapshot in force, and the replaced
// snapshots from which deltas to it are built.
type transfer struct {
	mu       sync.Mutex           // guards the fields below
	earlier  []*contract.Snapshot // replaced snapshots, oldest first
	full     encoded
	deltas   []encodedDelta // the most recent ones, at most keptSnapshots
	wantFull bool           // the last delta gave a wrong checksum
}

// encoded is a snapshot as sent to peers. Its zero value holds no snapshot.
type encoded struct {
	version uint64
	sum     uint64 // xxhash of the canonical JSON
	packed  []byte // compressed JSON, built on first use
}

type encodedDelta struct {
	base, version uint64
	packed        []byte
}

// keepReplaced keeps a replaced snapshot as the base for deltas.
func (t *transfer) keepReplaced(snap *contract.Snapshot) {
	if snap.Version == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earlier = append(t.earlier, snap)
	if len(t.earlier) > keptSnapshots {
		t.earlier = t.earlier[1:]
	}
}

// Request returns the request for a newer snapshot.
func (c *Configuration) Request() *peerpb.SnapshotRequest {
	c.transfer.mu.Lock()
	defer c.transfer.mu.Unlock()
	if c.transfer.wantFull {
		return &peerpb.SnapshotRequest{}
	}
	return &peerpb.SnapshotRequest{HaveVersion: c.Version()}
}

// Reply answers a peer's request. The reply holds a delta if the peer's version is
// one of the replaced ones still kept, neither delta nor snapshot if the peer has
// this version or a higher one, and the whole snapshot otherwise. Reply is safe
// for concurrent use.
func (c *Configuration) Reply(request *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	snap := c.Current()
	reply := &peerpb.SnapshotReply{Version: snap.Version}
	if request.GetHaveVersion() >= snap.Version {
		return reply, nil
	}
	t := &c.transfer
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.encode(snap); err != nil {
		return nil, err
	}
	reply.Sum = t.full.sum
	reply.Compressed = true
	var err error
	if reply.Delta, err = t.deltaFrom(request.GetHaveVersion(), snap); err != nil || reply.Delta != nil {
		return reply, err
	}
	reply.Snapshot, err = t.packFull(snap)
	return reply, err
}

// encode sets t.full to the version and checksum of the snapshot, unless it
// already holds this version.
func (t *transfer) encode(snap *contract.Snapshot) error {
	if t.full.version == snap.Version {
		return nil
	}
	data, err := json.Marshal(canonical(snap))
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	t.full = encoded{version: snap.Version, sum: xxhash.Sum64(data)}
	return nil
}

func (t *transfer) packFull(snap *contract.Snapshot) ([]byte, error) {
	if t.full.packed != nil {
		return t.full.packed, nil
	}
	data, err := json.Marshal(canonical(snap))
	if err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	t.full.packed, err = pack(data)
	return t.full.packed, err
}

// deltaFrom returns the delta from the base version, or nil if that snapshot is no
// longer kept.
func (t *transfer) deltaFrom(base uint64, snap *contract.Snapshot) ([]byte, error) {
	for _, known := range t.deltas {
		if known.base == base && known.version == snap.Version {
			return known.packed, nil
		}
	}
	for _, old := range t.earlier {
		if old.Version == base {
			return t.makeDelta(old, snap)
		}
	}
	return nil, nil
}

func (t *transfer) makeDelta(old, snap *contract.Snapshot) ([]byte, error) {
	data, err := json.Marshal(Diff(old, snap))
	if err != nil {
		return nil, eris.Wrap(err, "encode delta")
	}
	packed, err := pack(data)
	if err == nil {
		t.keepDelta(encodedDelta{old.Version, snap.Version, packed})
	}
	return packed, err
}

func (t *transfer) keepDelta(delta encodedDelta) {
	t.deltas = append(t.deltas, delta)
	if len(t.deltas) > keptSnapshots {
		t.deltas = t.deltas[1:]
	}
}

// Decode returns the snapshot of a peer's reply, or nil if it holds none. The
// caller passes it to HandleSnapshot. If the snapshot built from a delta has a
// wrong checksum, the next Request is for the whole snapshot. Decode is safe for
// concurrent use.
func (c *Configuration) Decode(reply *peerpb.SnapshotReply) (*contract.Snapshot, error) {
	switch {
	case len(reply.GetDelta()) > 0:
		return c.decodeDelta(reply)
	case len(reply.GetSnapshot()) > 0:
		return c.decodeFull(reply)
	default:
		return nil, nil
	}
}

func (c *Configuration) decodeFull(reply *peerpb.SnapshotReply) (*contract.Snapshot, error) {
	data, err := unpack(reply.GetSnapshot(), reply.GetCompressed())
	if err != nil {
		return nil, err
	}
	snap := &contract.Snapshot{}
	if err := json.Unmarshal(data, snap); err != nil {
		return nil, eris.Wrap(err, "decode snapshot")
	}
	return c.accept(snap, data, reply, nil)
}

func (c *Configuration) decodeDelta(reply *peerpb.SnapshotReply) (*contract.Snapshot, error) {
	data, err := unpack(reply.GetDelta(), reply.GetCompressed())
	if err != nil {
		return nil, err
	}
	delta := &Delta{}
	if err := json.Unmarshal(data, delta); err != nil {
		return nil, eris.Wrap(err, "decode delta")
	}
	base := c.Current()
	if delta.Base != base.Version {
		return nil, eris.Errorf("delta applies to version %d, but version %d is in force", delta.Base, base.Version)
	}
	snap := delta.Apply(base)
	if data, err = json.Marshal(snap); err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	kept := &encodedDelta{base: delta.Base, version: delta.Version, packed: reply.GetDelta()}
	return c.accept(snap, data, reply, kept)
}

// accept checks a decoded snapshot against the checksum and version in the reply
// and returns it. It keeps the checksum and a compressed delta to answer later
// requests of peers.
func (c *Configuration) accept(
	snap *contract.Snapshot, data []byte, reply *peerpb.SnapshotReply, delta *encodedDelta,
) (*contract.Snapshot, error) {
	t := &c.transfer
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := xxhash.Sum64(data)
	t.wantFull = delta != nil && sum != reply.GetSum()
	switch {
	case sum != reply.GetSum():
		return nil, eris.Errorf("snapshot %d is damaged: its checksum does not match", reply.GetVersion())
	case snap.Version != reply.GetVersion():
		return nil, eris.Errorf("snapshot holds version %d, but the reply names version %d", snap.Version, reply.GetVersion())
	}
	if snap.Version > t.full.version {
		t.full = encoded{version: snap.Version, sum: sum}
	}
	if delta != nil && reply.GetCompressed() {
		t.keepDelta(*delta)
	}
	return snap, nil
}

// gzipWriters reuses gzip writers, which are expensive to allocate.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

func unpack(data []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxSnapshotJSON+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(plain) > maxSnapshotJSON {
		return nil, eris.New("snapshot or delta too large after decompression")
	}
	return plain, nil
}
