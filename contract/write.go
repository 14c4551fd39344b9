package contract

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// write stores the chunks that the head in force does not list, then the head, and
// returns the number of chunks written.
func (p *publisher) write(ctx context.Context, cur *current, snap *Snapshot) (int, error) {
	blobs, err := split(snap)
	if err != nil {
		return 0, err
	}
	manifest, err := encodeManifest(blobs)
	if err != nil {
		return 0, err
	}
	written := 0
	for _, b := range append(blobs, manifest) {
		if cur.has(b.part) {
			continue
		}
		if err := p.writeChunk(ctx, b); err != nil {
			return written, err
		}
		written++
	}
	head := p.head(cur, snap, blobs, manifest)
	return written, p.writeHead(ctx, cur, head)
}

// has reports whether the version in force contains the same chunk under the same
// name.
func (c *current) has(part Part) bool {
	return c.head != nil && slices.Contains(c.head.Parts, part)
}

// writeChunk creates a chunk, waiting while the call budget is exhausted. A chunk
// that already exists has the same content, because its name is its hash.
func (p *publisher) writeChunk(ctx context.Context, b blob) error {
	_, err := p.api.Create(ctx, objectapi.KindChunk, b.part.Hash, b.value)
	for errors.Is(err, objectapi.ErrBudget) && p.opts.Pause(ctx) == nil {
		_, err = p.api.Create(ctx, objectapi.KindChunk, b.part.Hash, b.value)
	}
	if err == nil || errors.Is(err, objectapi.ErrExists) {
		return nil
	}
	return retryable{eris.Wrapf(err, "contract: write chunk %s", b.part.Name)}
}

func (p *publisher) head(cur *current, snap *Snapshot, blobs []blob, manifest blob) *Head {
	h := &Head{Version: snap.Version, PublishID: p.id, Operator: operatorName(p.opts.Operator)}
	for _, b := range blobs {
		h.Parts = append(h.Parts, b.part)
	}
	h.Recent = []Publication{{Version: h.Version, PublishID: p.id, Operator: h.Operator, Manifest: manifest.part.Hash}}
	if cur.head != nil {
		h.Recent = append(h.Recent, cur.head.Recent...)
	}
	h.Recent = h.Recent[:min(len(h.Recent), MaxRecent)]
	return h
}

func operatorName(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxOperatorBytes)], "")
}

// writeHead replaces the head if it is still the one that was read. After any error
// other than a definite refusal the outcome is unknown until the head is read
// again.
func (p *publisher) writeHead(ctx context.Context, cur *current, head *Head) error {
	value, err := json.Marshal(head)
	if err != nil {
		return eris.Wrap(err, "contract: encode head")
	}
	if len(value) > objectapi.MaxValueBytes {
		return eris.Wrapf(ErrTooLarge, "head has %d bytes", len(value))
	}
	if cur.head == nil {
		_, err = p.api.Create(ctx, objectapi.KindHead, objectapi.HeadName, value)
	} else {
		_, err = p.api.Update(ctx, objectapi.KindHead, objectapi.HeadName, cur.objectVersion, value)
	}
	if err == nil {
		return nil
	}
	if !isRefusal(err) {
		p.lostAnswer = err
	}
	return retryable{eris.Wrap(err, "contract: write head")}
}

// isRefusal reports whether err proves that the update did not take effect.
func isRefusal(err error) bool {
	return errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrExists) ||
		errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, objectapi.ErrBudget)
}

// normalised returns a copy of s, sorted as it is published, whose lists of
// services, customers, keys and hosts can be changed without changing s.
func normalised(s *Snapshot) *Snapshot {
	next := *s
	next.Services = slices.Clone(s.Services)
	next.Customers = slices.Clone(s.Customers)
	for i := range next.Customers {
		next.Customers[i].Keys = slices.Clone(next.Customers[i].Keys)
	}
	next.Roster.Hosts = slices.Clone(s.Roster.Hosts)
	slices.SortFunc(next.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(next.Customers, func(a, b Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(next.Roster.Hosts, func(a, b RosterHost) int { return cmp.Compare(a.Address, b.Address) })
	return &next
}

// carryKeys sets the keys of the customers in next to those in force.
func carryKeys(inForce, next *Snapshot) {
	held := make(map[string][]Key, len(inForce.Customers))
	for _, c := range inForce.Customers {
		held[c.ID] = c.Keys
	}
	for i := range next.Customers {
		next.Customers[i].Keys = held[next.Customers[i].ID]
	}
}
