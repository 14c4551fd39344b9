package choice

import "time"

// When a read leaves its data centre, and how many do.
const (
	// bytePrice is what a kilobyte between data centres counts, as a part of the time
	// that a read gains there.
	bytePrice = 2 * time.Millisecond
	// leaveMargin is the gain that a read must have beyond the price, lessUrgentMargin
	// that of one which lets more urgent ones leave first.
	leaveMargin      = 2 * time.Millisecond
	lessUrgentMargin = 10 * time.Millisecond
	// leastLeaving is the least share of the reads that may leave.
	leastLeaving = 1.0 / 8
	// leavingBurst is the number of reads that may leave beyond the share.
	leavingBurst = 2.0
)

// leaving is the share of the reads that may leave the data centre. It is doubled in a
// step after reads were kept here for it, and halved in one without a read that gains.
type leaving struct {
	share  float64
	credit float64 // reads that may leave now
	gained int     // reads since the last step that would have gained
	kept   int     // those among them that were kept for the share
}

func newLeaving() leaving { return leaving{share: leastLeaving, credit: leavingBurst} }

// leaves reports whether a read leaves that gains the given time.
func (l *leaving) leaves(gain time.Duration) bool {
	l.credit = min(leavingBurst, l.credit+l.share)
	if gain <= 0 {
		return false
	}
	l.gained++
	if l.credit < 1 {
		l.kept++
		return false
	}
	l.credit--
	return true
}

func (l *leaving) step() {
	switch {
	case l.kept > 0:
		l.share = min(1, l.share*2)
	case l.gained == 0:
		l.share = max(leastLeaving, l.share/2)
	}
	l.gained, l.kept = 0, 0
}

// Leaving returns the share of the reads that may leave the data centre.
func (t *Table) Leaving() float64 { return t.leaving.share }

func margin(urgent bool) time.Duration {
	if urgent {
		return leaveMargin
	}
	return lessUrgentMargin
}

// price returns what the bytes of a read between data centres count.
func (t *Table) price() time.Duration {
	const kilobyte = 1024
	return time.Duration(float64(bytePrice) * t.bytes.value(0, 1, t.bytes.at) / kilobyte)
}

// Limits of a distance.
const (
	// unknownDistance is the distance of another data centre before the first answer.
	unknownDistance = 5 * time.Millisecond
	// distanceEvery is the time after which the least round trip is measured anew.
	distanceEvery = 10 * time.Second
)

// distance is the least round trip to the databases of a data centre, in the present
// period and the one before.
type distance struct {
	least, before time.Duration
	since         time.Time
}

// RecordRoundTrip records the time of an answer from a database in a data centre.
func (t *Table) RecordRoundTrip(dataCentre string, took time.Duration, now time.Time) {
	d := t.distances[dataCentre]
	switch {
	case d == nil:
		t.distances[dataCentre] = &distance{least: took, before: took, since: now}
	case now.Sub(d.since) >= distanceEvery:
		d.before, d.least, d.since = d.least, took, now
	default:
		d.least = min(d.least, took)
	}
}

// distance returns the round trip to a data centre.
func (t *Table) distance(dataCentre string) time.Duration {
	if d := t.distances[dataCentre]; d != nil {
		return min(d.least, d.before)
	}
	if dataCentre == t.dataCentre {
		return 0
	}
	return unknownDistance
}
