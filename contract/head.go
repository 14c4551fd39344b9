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

// Limits of published chunks and heads.
const (
	customersPerChunk = 128 // customers in one chunk
	MaxRecent         = 64  // publications in the history of a head
	maxOperatorBytes  = 64  // longer operator names are truncated
)

// Errors from reading published snapshots.
var (
	ErrNotPublished = errors.New("contract: no snapshot is published")
	ErrChunkMissing = errors.New("contract: chunk is missing")
	ErrCorrupt      = errors.New("contract: published data is corrupt")
	ErrTooOld       = errors.New("contract: version is not in the publication history")
)

// Head is the value of the single head object. It lists the chunks that make up
// the snapshot in force.
type Head struct {
	Version   uint64        `json:"version"`
	PublishID string        `json:"publishId"` // unique, so that a publisher recognizes its own head after a lost answer
	Operator  string        `json:"operator"`
	Parts     []Part        `json:"parts"`
	Recent    []Publication `json:"recent"` // newest first, this one included
}

// Part is a reference to one chunk of a snapshot.
type Part struct {
	Name string `json:"name"` // such as "service/orders"
	Hash string `json:"hash"` // hex SHA-256 of the chunk, which is also the name of its object
}

// Publication is one entry in the publication history of a head.
type Publication struct {
	Version   uint64 `json:"version"`
	PublishID string `json:"publishId"`
	Operator  string `json:"operator"`
	Manifest  string `json:"manifest"` // hash of the chunk that lists the parts of this version
}

// findRecent returns the newest publication that match accepts, or nil.
func (h *Head) findRecent(match func(Publication) bool) *Publication {
	if i := slices.IndexFunc(h.Recent, match); i >= 0 {
		return &h.Recent[i]
	}
	return nil
}

// chunk is the content of one chunk object: a section of a snapshot, or the
// manifest of one version.
type chunk struct {
	DataCentres []string   `json:"dataCentres,omitempty"`
	Services    []Service  `json:"services,omitempty"`
	Customers   []Customer `json:"customers,omitempty"`
	Roster      *Roster    `json:"roster,omitempty"`
	Manifest    []Part     `json:"manifest,omitempty"`
}

// blob is an encoded chunk with its reference.
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
		return blob{}, eris.Wrapf(ErrTooLarge, "chunk %s has %d bytes", name, len(value))
	}
	return blob{part: Part{Name: name, Hash: hashOf(value)}, value: value}, nil
}

func hashOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// split encodes a snapshot as chunks: one for the fleet, one for each service, and
// one for every customersPerChunk customers, so that a change rewrites few bytes.
// Each chunk of a snapshot that passes Check fits into objectapi.MaxValueBytes.
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

// encodeManifest returns the chunk that lists the parts of blobs.
func encodeManifest(blobs []blob) (blob, error) {
	parts := make([]Part, len(blobs))
	for i, b := range blobs {
		parts[i] = b.part
	}
	return encodeChunk("manifest", chunk{Manifest: parts})
}

// assemble merges chunks, given in the order of their parts, into a snapshot.
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

// DecodeHead parses and checks the value of the head object.
func DecodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "decode head: %v", err)
	}
	if h.Version == 0 || len(h.Parts) == 0 {
		return nil, eris.Wrap(ErrCorrupt, "head has no version or no parts")
	}
	return h, nil
}
