// Package floor computes the floor of a read: the log position that a database
// must have reached to serve it.
//
// A sample is the end of the primary's log at a time at which the database
// proved that it was the primary. Every commit acknowledged before that time is
// at or below the sample. A read that accepts data of some age can therefore use
// any sample that is no older than that age when the read arrives; the oldest
// such sample is the one that most replicas have reached.
package floor

import (
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// maxSamples bounds the samples kept. At minSpacing they cover 5 s, twice the
// greatest age that routes accept today.
const maxSamples = 64

// minSpacing is the least time between two samples kept. Closer samples would
// evict older ones, which more replicas have reached.
const minSpacing = 80 * time.Millisecond

// Sample is the end of a primary's log at a point in time.
type Sample struct {
	Position position.Position
	At       time.Time // just before the database was queried
}

// Samples holds the samples of one service. It is not safe for concurrent use.
// At most maxSamples are kept; the oldest are evicted first.
type Samples struct {
	kept   []Sample // ordered by At
	newest Sample
}

// Add records a sample, unless a sample of a newer term is known. Samples of
// older terms are dropped: entries beyond the end of such a term may have been
// rolled back. A sample taken less than minSpacing after the last one kept can only
// become the newest.
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
	if n := len(s.kept); n > 0 && sample.At.Sub(s.kept[n-1].At) < minSpacing {
		return
	}
	if len(s.kept) == maxSamples {
		s.kept = append(s.kept[:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, sample)
}

// Newest returns the newest sample; its time is zero if there is none.
func (s *Samples) Newest() Sample { return s.newest }

// Since returns the oldest sample taken at or after t, and false if there is none.
func (s *Samples) Since(t time.Time) (Sample, bool) {
	for _, sample := range s.kept {
		if !sample.At.Before(t) {
			return sample, true
		}
	}
	return s.newest, !s.newest.At.IsZero() && !s.newest.At.Before(t)
}

// Required returns the position that the database must have reached for a read:
// the later of the sample and own, the session's last commit. A commit of an
// earlier term than the sample's is ignored: it is below the sample or was
// rolled back.
func Required(sample Sample, own position.Position) position.Position {
	if own.Term < sample.Position.Term {
		return sample.Position
	}
	return position.Max(sample.Position, own)
}
