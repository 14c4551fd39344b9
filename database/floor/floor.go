// Package floor decides which log position a read's data must have reached.
//
// A sample is the end of the primary's log at a moment at which it proved that
// it led. Every commit that was acknowledged before that moment lies at or
// below the sample. So a read that accepts data of some age may take any sample
// that is no older than that age when the read arrives; the oldest of those is
// the one that most replicas have reached.
package floor

import (
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// maxSamples bounds the samples kept; at spacing they cover 5 s, the oldest
// age that routes accept today twice over.
const maxSamples = 64

// spacing is the least time between two samples kept. Closer ones would push
// out older ones, which more replicas have reached.
const spacing = 80 * time.Millisecond

// Sample is the end of a primary's log at a moment.
type Sample struct {
	Position position.Position
	At       time.Time // before the database was asked
}

// Samples holds the samples of one service. It is not safe for concurrent use.
// At most maxSamples are kept; the oldest go first.
type Samples struct {
	kept   []Sample // ordered by At
	newest Sample
}

// Add takes a sample. Samples of terms before the sample's are dropped: what
// lay beyond the end of such a term may have been rolled back.
func (s *Samples) Add(sample Sample) {
	if sample.Position.Term < s.newest.Position.Term {
		return
	}
	if sample.Position.Term > s.newest.Position.Term {
		s.kept = s.kept[:0]
		s.newest = Sample{}
	}
	if s.newest.At.Before(sample.At) {
		s.newest = sample
	}
	if n := len(s.kept); n > 0 && sample.At.Sub(s.kept[n-1].At) < spacing {
		return
	}
	if len(s.kept) == maxSamples {
		s.kept = append(s.kept[:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, sample)
}

// Newest returns the newest sample; its time is zero when there is none.
func (s *Samples) Newest() Sample { return s.newest }

// Since returns the oldest sample taken at or after t.
func (s *Samples) Since(t time.Time) (Sample, bool) {
	for _, sample := range s.kept {
		if !sample.At.Before(t) {
			return sample, true
		}
	}
	return s.newest, !s.newest.At.IsZero() && !s.newest.At.Before(t)
}

// For returns the position that a read must have reached: the sample's, and
// the session's own last commit. A commit of an earlier term than the sample
// lies below it, or was rolled back.
func For(sample Sample, own position.Position) position.Position {
	if own.Term < sample.Position.Term {
		return sample.Position
	}
	return position.Max(sample.Position, own)
}
