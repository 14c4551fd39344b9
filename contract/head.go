package contract

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Bounds of the published form.
const (
	customersPerChunk = 128 // customers of one chunk
	MaxRecent         = 64  // publications that a head remembers
	maxOperatorBytes  = 64  // of an operator's name; the rest is cut off
)

// Errors of published snapshots.
var (
	ErrNotPublished = errors.New("contract: nothing is published")
	ErrChunkMissing = errors.New("contract: chunk is missing")
	ErrCorrupt      = errors.New("contract: published data is corrupt")
	ErrTooOld       = errors.New("contract: version is no longer remembered")
)

// Head is the value of the one head object: the snapshot in force, by the exact
// chunks that make it up.
type Head struct {
	Version   uint64        `json:"version"`
	PublishID string        `json:"publishId"` // unique, so that a publisher whose answer was lost knows its own head
	Operator  string        `json:"operator"`
	Parts     []Part        `json:"parts"`
	Recent    []Publication `json:"recent"` // newest first, this one included
}

// Part names one chunk of a snapshot.
type Part struct {
	Name string `json:"name"` // such as "service/orders"
	Hash string `json:"hash"` // hex SHA-256 of the chunk, which is its name
}

// Publication is one entry of a head's memory.
type Publication struct {
	Version   uint64 `json:"version"`
	PublishID string `json:"publishId"`
	Operator  string `json:"operator"`
	Manifest  string `json:"manifest"` // hash of the chunk that lists its parts
}

// recent returns the publication that match accepts, nil when there is none.
func (h *Head) recent(match func(Publication) bool) *Publication {
	if i := slices.IndexFunc(h.Recent, match); i >= 0 {
		return &h.Recent[i]
	}
	return nil
}

// chunk is the content of one chunk object: some part of a snapshot.
type chunk struct {
	DataCentres []string   `json:"dataCentres,omitempty"`
	Services    []Service  `json:"services,omitempty"`
	Customers   []Customer `json:"customers,omitempty"`
	Roster      *Roster    `json:"roster,omitempty"`
	Manifest    []Part     `json:"manifest,omitempty"`
}

// blob is an encoded chunk.
type blob struct {
	part  Part
	value []byte
}

func encodeChunk(name string, c chunk) (blob, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return blob{}, eris.Wrap(err, "contract: encode chunk")
	}
	if len(value) > objectapi.MaxValueBytes {
		return blob{}, eris.Wrapf(ErrTooLarge, "chunk %s of %d bytes", name, len(value))
	}
	return blob{part: Part{Name: name, Hash: hashOf(value)}, value: value}, nil
}

func hashOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// split cuts a snapshot into chunks: the fleet, each service, and customers by
// the hundred, so that a change rewrites little. Whatever Check allows fits
// objectapi.MaxValueBytes.
func split(s *Snapshot) ([]blob, error) {
	chunks := map[string]chunk{"fleet": {DataCentres: s.DataCentres, Roster: &s.Roster}}
	for i := range s.Services {
		chunks["service/"+s.Services[i].Name] = chunk{Services: s.Services[i : i+1]}
	}
	n := 0
	for part := range slices.Chunk(s.Customers, customersPerChunk) {
		chunks[fmt.Sprintf("customers/%03d", n)] = chunk{Customers: part}
		n++
	}
	blobs := make([]blob, 0, len(chunks))
	for name, c := range chunks {
		b, err := encodeChunk(name, c)
		if err != nil {
			return nil, err
		}
		blobs = append(blobs, b)
	}
	slices.SortFunc(blobs, func(a, b blob) int { return cmp.Compare(a.part.Name, b.part.Name) })
	return blobs, nil
}

// manifest returns the chunk that lists the parts of blobs.
func manifest(blobs []blob) (blob, error) {
	parts := make([]Part, len(blobs))
	for i, b := range blobs {
		parts[i] = b.part
	}
	return encodeChunk("manifest", chunk{Manifest: parts})
}

// assemble puts chunks together in the order of their parts.
func assemble(version uint64, chunks []*chunk) *Snapshot {
	s := &Snapshot{Version: version}
	for _, c := range chunks {
		s.DataCentres = append(s.DataCentres, c.DataCentres...)
		s.Services = append(s.Services, c.Services...)
		s.Customers = append(s.Customers, c.Customers...)
		if c.Roster != nil {
			s.Roster = *c.Roster
		}
	}
	return s
}

// DecodeHead reads the value of the head object.
func DecodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "head: %v", err)
	}
	if h.Version == 0 || len(h.Parts) == 0 {
		return nil, eris.Wrap(ErrCorrupt, "head names no version or no parts")
	}
	return h, nil
}
