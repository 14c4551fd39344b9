package choice

import (
	"math"
	"time"
)

// Memory and limits of an estimate.
const (
	// halfLife is the time in which an observation loses half of its weight.
	halfLife = 1500 * time.Millisecond
	// usualHalfLife applies to the service time of all databases, which a database is
	// taken to have that has no answers: long enough not to follow a single slow one.
	usualHalfLife = 15 * time.Second
	// behindHalfLife applies to refusals of a replica whose log lags: replication
	// catches up within tenths of a second.
	behindHalfLife = 300 * time.Millisecond
	// priorWeight is the number of answers, at the mean of all databases, with
	// which a service time begins; priorOutcomes is that of outcomes that begin a
	// share of failures.
	priorWeight   = 4.0
	priorOutcomes = 2.0
	// minOutcomes is the number of outcomes without which a database is not left out.
	minOutcomes = 5.0
	// maxFailureShare keeps the expected time of a database that answers nothing finite.
	maxFailureShare = 0.9
	// failureCost is what a failed attempt takes beside its time: its connection is
	// closed, and a new one takes a handshake; its caller may have to repeat the read.
	failureCost = 40 * time.Millisecond
)

// mean is a mean of observations whose weights decay with time.
type mean struct {
	sum, weight float64
	at          time.Time
	half        time.Duration
}

// decayed returns the sum and the weight of the observations at a time.
func (m *mean) decayed(now time.Time) (sum, weight float64) {
	if m.at.IsZero() || !now.After(m.at) {
		return m.sum, m.weight
	}
	f := math.Exp2(-float64(now.Sub(m.at)) / float64(m.half))
	return m.sum * f, m.weight * f
}

func (m *mean) add(x float64, now time.Time) {
	m.sum, m.weight = m.decayed(now)
	m.sum, m.weight = m.sum+x, m.weight+1
	if now.After(m.at) {
		m.at = now
	}
}

// value returns the mean, with the given weight on prior.
func (m *mean) value(prior, priorWeight float64, now time.Time) float64 {
	sum, weight := m.decayed(now)
	if weight+priorWeight == 0 {
		return prior
	}
	return (sum + prior*priorWeight) / (weight + priorWeight)
}

// estimate is what this host's statements have shown about one database.
type estimate struct {
	dataCentre string
	response   mean // time from sending to answer, in nanoseconds
	failed     mean // 1 for a statement that was refused, failed or got no answer
	behind     mean // 1 for one that the log of the database had not reached
	lost       mean // time that failures took, in nanoseconds
	share      float64
	returning  bool // the share has grown in its last change
	answers    int  // successful statements since the last step of the share
}

func newEstimate(dataCentre string) *estimate {
	return &estimate{
		dataCentre: dataCentre,
		response:   mean{half: halfLife}, failed: mean{half: halfLife},
		behind: mean{half: behindHalfLife}, lost: mean{half: halfLife},
		share: 1,
	}
}

// failureShare returns the expected share of attempts that do not succeed.
func (e *estimate) failureShare(now time.Time) float64 {
	failed := e.failed.value(0, priorOutcomes, now)
	behind := e.behind.value(0, priorOutcomes, now)
	return min(maxFailureShare, 1-(1-failed)*(1-behind))
}

// known reports whether there are enough outcomes to leave the database out.
func (e *estimate) known(now time.Time) bool {
	_, outcomes := e.failed.decayed(now)
	behind, _ := e.behind.decayed(now)
	return outcomes+behind >= minOutcomes
}

// withFailures returns the expected time to an answer whose attempts, with their
// wait, take once, if each failed one is repeated.
func (e *estimate) withFailures(once, wait time.Duration, now time.Time) time.Duration {
	p := e.failureShare(now)
	lost := failureCost + time.Duration(e.lost.value(0, 0, now))
	return once + time.Duration(p/(1-p)*float64(wait+lost))
}
