package datacentre

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

// encoded is the current snapshot's JSON, made on first use.
type encoded struct {
	json []byte
	sum  uint64
}

// keptSnapshots is the number of earlier snapshots kept for deltas.
const keptSnapshots = 4

func (c *Configuration) keepEarlier(snap *contract.Snapshot) {
	if snap.Version == 0 {
		return
	}
	c.earlier = append(c.earlier, snap)
	if len(c.earlier) > keptSnapshots {
		c.earlier = c.earlier[1:]
	}
}

// Reply answers a peer's snapshot request. The snapshot is left out when the
// peer has this version or a higher one.
func (c *Configuration) Reply(request *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	reply := &peerpb.SnapshotReply{Version: c.Version()}
	if request.GetHaveVersion() >= reply.Version {
		return reply, nil
	}
	if err := c.encode(); err != nil {
		return nil, err
	}
	reply.Snapshot = c.encoded.json
	reply.Sum = c.encoded.sum
	return reply, nil
}

func (c *Configuration) encode() error {
	if c.encoded.json != nil {
		return nil
	}
	data, err := json.Marshal(c.Current())
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	c.encoded = encoded{json: data, sum: xxhash.Sum64(data)}
	return nil
}

// DecodeReply returns the snapshot of a peer's answer, nil when it holds none.
// It needs no lock.
func DecodeReply(reply *peerpb.SnapshotReply) (*contract.Snapshot, error) {
	if len(reply.GetSnapshot()) == 0 {
		return nil, nil
	}
	if xxhash.Sum64(reply.GetSnapshot()) != reply.GetSum() {
		return nil, eris.New("snapshot damaged")
	}
	snap := &contract.Snapshot{}
	if err := json.Unmarshal(reply.GetSnapshot(), snap); err != nil {
		return nil, eris.Wrap(err, "decode snapshot")
	}
	if snap.Version != reply.GetVersion() {
		return nil, eris.Errorf("snapshot of version %d, announced as %d", snap.Version, reply.GetVersion())
	}
	return snap, nil
}
