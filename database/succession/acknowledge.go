package succession

import "github.com/bronzeloft/bronzeloft/position"

// Copy is what one replica has reported of its log.
type Copy struct {
	// Established is set for a replica that has been in the platform's list for
	// lead.EstablishedAfter, so that every host that may replace the primary knows it.
	Established bool
	// First is set for a replica of this host's first list, which may have been listed long
	// before.
	First bool
	// Recorded is set for a replica that counts on the roster that the host read last; see
	// Roster.Counts.
	Recorded bool
	Answered bool
	Primary  bool // it reports that it is the primary
	Term     uint64
	Received position.Position
}

// Holds reports whether the replica has received a commit from the primary of the
// commit's term.
func (c Copy) Holds(commit position.Position) bool {
	return c.Answered && !c.Primary && c.Term == commit.Term && !c.Received.Before(commit)
}

// Evidence is how well a commit is protected against a replacement of its primary.
type Evidence uint8

// The evidence, weakest first.
const (
	// NoCopy means that no established replica is known to hold the commit, and not all
	// replicas are.
	NoCopy Evidence = iota
	// OneCopy means that an established replica holds the commit. A host that takes
	// the lease later reads that replica's log if the roster has it. A host that has taken it
	// before may already have chosen another successor.
	OneCopy
	// AllCopies means that every replica holds the commit, whichever is promoted. One of
	// them was listed before and is on the roster, so that they are not only replicas that
	// nobody else knows, and a takeover waits for its log.
	AllCopies
)

// EvidenceFor returns the evidence for a commit, given the reports of all replicas
// that might be promoted.
func EvidenceFor(commit position.Position, replicas []Copy) Evidence {
	all, lasting, established := true, false, false
	for _, c := range replicas {
		holds := c.Holds(commit)
		all = all && holds
		established = established || holds && c.Established
		lasting = lasting || holds && c.Recorded && (c.Established || c.First)
	}
	switch {
	case all && lasting:
		return AllCopies
	case established:
		return OneCopy
	}
	return NoCopy
}
