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
	keptSnapshots   = 2        // earlier snapshots, for deltas
	maxSnapshotJSON = 64 << 20 // bytes of a snapshot or delta after decompression
)

// transfer holds the encoded forms of the snapshot in force.
type transfer struct {
	mu       sync.Mutex // guards the fields below
	earlier  []*contract.Snapshot
	full     encoded
	deltas   []encodedDelta // to the version of full; at most keptSnapshots
	wantFull bool           // the last delta did not apply
}

// encoded is one snapshot as it travels; the zero value is of no version.
type encoded struct {
	version uint64
	sum     uint64 // of its JSON
	packed  []byte // compressed JSON, made on first use
}

type encodedDelta struct {
	base, version uint64
	packed        []byte
}

// keepEarlier keeps a snapshot that was replaced.
func (t *transfer) keepEarlier(snap *contract.Snapshot) {
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

// Reply answers a peer's request: with a delta if the peer's version is one of
// the last few, with the whole snapshot otherwise, and with neither when the
// peer has this version or a higher one. It needs no lock of the caller's.
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

// encode makes sure that full is of the snapshot.
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

// deltaFrom returns the delta from the base version, nil when that snapshot is
// not kept.
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

// Decode returns the snapshot of a peer's answer, nil when it holds none. The
// caller hands it to HandleSnapshot. It needs no lock of the caller's. After a
// delta that does not apply the next Request asks for the whole snapshot.
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
	return c.received(snap, data, reply, nil)
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
		return nil, eris.Errorf("delta from version %d, in force is %d", delta.Base, base.Version)
	}
	snap := delta.Apply(base)
	if data, err = json.Marshal(snap); err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	kept := &encodedDelta{base: delta.Base, version: delta.Version, packed: reply.GetDelta()}
	return c.received(snap, data, reply, kept)
}

// received checks a decoded snapshot against its sum, keeps its encoded form
// for the peers that ask for it next, and returns it.
func (c *Configuration) received(
	snap *contract.Snapshot, data []byte, reply *peerpb.SnapshotReply, delta *encodedDelta,
) (*contract.Snapshot, error) {
	t := &c.transfer
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := xxhash.Sum64(data)
	t.wantFull = delta != nil && sum != reply.GetSum()
	switch {
	case sum != reply.GetSum():
		return nil, eris.Errorf("snapshot %d is damaged", reply.GetVersion())
	case snap.Version != reply.GetVersion():
		return nil, eris.Errorf("snapshot of version %d, announced as %d", snap.Version, reply.GetVersion())
	}
	if snap.Version > t.full.version {
		t.full = encoded{version: snap.Version, sum: sum}
	}
	if delta != nil && reply.GetCompressed() {
		t.keepDelta(*delta)
	}
	return snap, nil
}

// packers holds gzip writers, which are costly to make.
var packers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := packers.Get().(*gzip.Writer)
	defer packers.Put(w)
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
		return nil, eris.New("snapshot too large")
	}
	return plain, nil
}
