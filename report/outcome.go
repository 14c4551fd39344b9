// Package report measures service-level burn: what each customer was promised,
// how much of the error budget is spent, and how fast.
//
// Hosts record outcomes in a Recorder and hand out its Counts. Whoever asks
// several hosts merges their Counts, computes the burn and renders it. A host
// keeps its counts in memory only; what a replaced host had counted is lost and
// shows as a gap.
package report

import "github.com/bronzeloft/bronzeloft/errkind"

// Promise is one thing that customers are promised.
type Promise string

// The promises.
const (
	Availability Promise = "availability" // requests are answered
	Latency      Promise = "latency"      // answers come in time
	Freshness    Promise = "freshness"    // no request is refused as too stale
	Admission    Promise = "admission"    // no request is refused for rate
)

// Promises lists the promises in the order in which they are shown.
var Promises = []Promise{Availability, Latency, Freshness, Admission}

// Outcome is how one request ended: answered, or an error of some kind.
type Outcome struct {
	failed bool
	kind   errkind.Kind
}

// OK is the outcome of a request that was answered.
var OK = Outcome{}

// Failed is the outcome of a request that got an error of kind k.
func Failed(k errkind.Kind) Outcome { return Outcome{failed: true, kind: k} }

// class says what an outcome counts as.
type class uint8

const (
	classOK      class = iota // answered
	classFailed               // the service's fault
	classStale                // refused because it would have been too stale
	classOver                 // refused for rate
	classIgnored              // the caller's own fault
)

// class sorts outcomes. A kind that is not named is the service's fault, so
// that a new one cannot hide.
func (o Outcome) class() class {
	if !o.failed {
		return classOK
	}
	switch o.kind {
	case errkind.OverRate:
		return classOver
	case errkind.TooStale, errkind.NoMajority:
		return classStale
	case errkind.AnswerNotKept:
		return classOK
	case errkind.BadKey, errkind.KeyWithdrawn, errkind.UnknownDatabase, errkind.Protocol,
		errkind.TooLarge, errkind.NotSupported, errkind.SessionState, errkind.TokenAhead,
		errkind.TokenCut, errkind.RequestIDReused:
		return classIgnored
	default:
		return classFailed
	}
}
