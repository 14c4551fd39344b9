package group

import (
	"time"

	"github.com/bronzeloft/bronzeloft/position"
)

// TokenState is the result of checking a session token's position against the
// group's log.
type TokenState uint8

// The token states.
const (
	TokenUnknown TokenState = iota // cannot be checked yet: no confirmation or primary's report since the request
	TokenOK                        // reads at or past the position are possible
	TokenAhead                     // past the end of the log
	TokenCut                       // its entry was cut off by a later term
)

// CheckToken checks a token's position p for a request that arrived at since. It
// needs a confirmation by probes sent since then (RequestConfirmation). A token of
// an acknowledged write never gives TokenAhead or TokenCut.
func (t *Table) CheckToken(p position.Position, since time.Time) TokenState {
	if _, ok := t.Confirmed(since); !ok || !t.established {
		return TokenUnknown
	}
	switch {
	case p.Term > t.view.Term:
		return TokenAhead
	case p.Term < t.view.Term:
		if t.view.Marker > 0 && p.Index >= t.view.Marker {
			return TokenCut
		}
		return TokenOK
	}
	primary := t.member(t.view.Primary)
	switch {
	case primary == nil || !isPrimary(primary, t.view.Term):
		return TokenUnknown
	case !primary.report.Position.Before(p):
		return TokenOK
	case primary.sentAt.Before(since):
		return TokenUnknown
	default:
		return TokenAhead
	}
}
