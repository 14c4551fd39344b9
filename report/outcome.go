// Package report measures service-level burn: what each customer was promised,
// how much of the error budget is spent, and how fast.
//
// Hosts record outcomes in a Recorder and return its Counts on request. A program
// that queries several hosts merges their Counts, computes the burn and renders
// it. A host keeps its counts in memory only; the counts of a replaced host are
// lost and their period is reported as a gap.
package report

import "github.com/bronzeloft/bronzeloft/errkind"

// Promise is a service-level indicator for which a customer may have an
// objective.
type Promise string

// The promises.
const (
	Availability Promise = "availability" // requests are answered
	Latency      Promise = "latency"      // requests are answered within the latency target
	Freshness    Promise = "freshness"    // no request is refused as too stale
	Admission    Promise = "admission"    // no request is refused for exceeding the rate
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

// class is how an outcome is counted.
type class uint8

const (
	classOK       class = iota // answered
	classFailed                // failure of the service
	classStale                 // refused because the required freshness could not be met
	classOverRate              // refused for exceeding the rate
	classIgnored               // the caller's error; not counted
)

// class classifies an outcome. Error kinds that are not listed count as failures
// of the service, so that a new kind is not left out of the counts by mistake.
func (o Outcome) class() class {
	if !o.failed {
		return classOK
	}
	switch o.kind {
	case errkind.OverRate:
		return classOverRate
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
