package takeovermodel

import (
	"slices"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/position"
)

// taker adds the steps of one taker. It makes one attempt at a time.
func (e *explorer) taker(id uint8) {
	s, m := &e.s, e.m
	t := s.Takers[id-1]
	n := *s
	nt := &n.Takers[id-1]
	if t.Step != idle && (m.Stops || m.OlderStop && m.olderTaker(s, id)) {
		stopped := *s
		stopped.stop(id)
		e.add(Stop, id, 0, stopped)
	}
	if t.Step == idle && m.SwitchTakers && int(s.Switches) < m.Switches {
		switched := *s
		switched.Switches++
		switched.OlderTakers ^= 1 << (id - 1)
		e.add(SwitchTaker, id, 0, switched)
	}
	if t.Step > looking && t.Step != recordingSent && t.Step < renewing && !t.Pausing && !m.olderTaker(s, id) && s.olderHosts() && !m.LookOnce && !m.NoPausing {
		e.lookAgain(id)
	}
	switch t.Step {
	case idle:
		e.start(id)
	case readingLease:
		e.readLease(id)
	case acquiring:
		e.learn(id)
	case looking:
		nt.Pausing = s.olderHosts() && !m.NoPausing || t.Pausing
		m.startReading(&n, nt)
		e.add(Look, id, 0, n)
	case reading:
		if m.OlderStop && m.olderTaker(s, id) {
			return
		}
		e.read(id)
	case catchingUp:
		e.catchUp(id)
	case recording:
		if n.send(id, m.next(&n, id, t, Lease{Ordered: t.Chosen, Holder: m.holder(id)})) {
			nt.Step = recordingSent
			e.add(Record, id, t.Chosen, n)
		}
		if t.Pending {
			n := *s
			n.Takers[id-1].Step = releasing
			e.add(GiveUp, id, 0, n)
		}
	case recordingSent:
		e.learn(id)
		// If the answer is lost, the order is not given; the write may still be
		// carried out.
		nt.Step, nt.Settled = releasing, !t.Pending
		if s.Lease.Writer == id {
			nt.Version = s.Lease.Version // read back
		}
		e.add(GiveUp, id, 0, n)
	case checking:
		e.check(id)
	case calling:
		e.call(id)
	case called:
		if int(s.Unanswered) < m.LateCalls {
			n.Unanswered++
			for i := range n.Calls {
				if n.Calls[i].Sender == id {
					n.Calls[i].Sender = 0
				}
			}
			nt.timeOut()
			e.add(TimeOut, id, 0, n)
		}
	case accepted:
		if m.ResumePending {
			e.resumePending(id)
		}
		e.accepted(id)
	case waiting:
		ended, late := true, false
		for _, c := range s.Calls {
			ended = ended && c.Awaited&(1<<id) == 0
			late = late || c.Accepted && c.Database == t.Chosen && !t.Void
		}
		if ended || m.ReleaseEarly || m.LateEffect && late {
			for i := range n.Calls {
				n.Calls[i].Awaited &^= 1 << id
			}
			nt.Step = waited
			e.add(Waited, id, 0, n)
		}
	case renewing:
		if n.send(id, m.next(&n, id, t, Lease{Holder: m.holder(id)})) {
			nt.Step = renewSent
			e.add(Record, id, 0, n)
		}
	case renewSent:
		e.learn(id)
	case waited:
		// If no database reports that it is the primary, the lease is left to expire.
		if p := s.Databases[s.Primary-1]; !p.Dead || m.StaleTerm {
			nt.Step, nt.Settled = releasing, t.Void || s.Primary == t.Chosen || m.AnyPrimary
			if nt.Settled {
				nt.Step = s.settledStep(m, id)
			}
			if !m.StaleTerm {
				nt.Term = max(nt.Term, p.Term)
			}
			e.add(FindPrimary, id, s.Primary, n)
		} else {
			n.stop(id)
			e.add(GiveUp, id, 0, n)
		}
	case resuming:
		if !m.olderTaker(s, id) && s.Lease.Version != t.Version && !m.resumesLate() {
			n.stop(id)
			e.add(GiveUp, id, 0, n)
			return
		}
		for i := range m.Databases {
			// One that has not joined the primary's term goes on receiving when it does.
			if (m.olderTaker(s, id) || m.ResumeStale || s.Databases[i].Term == s.Term) && !m.staysPaused(i) {
				n.Databases[i].Pause = 0
			}
		}
		nt.Step = releasing
		e.add(Resume, id, 0, n)
		if m.LateResume {
			n := *s
			n.Resumes = 1<<m.Databases - 1
			if m.Leaving != 0 && m.staysPaused(m.Leaving-1) {
				n.Resumes &^= 1 << (m.Leaving - 1)
			}
			n.Takers[id-1].Step = releasing
			if !m.Unpaused && !m.ReleaseUnanswered && !m.olderTaker(s, id) {
				n.stop(id) // the lease is left to expire
			}
			e.add(ResumeLate, id, 0, n)
		}
	case releasing:
		if m.ResumePending && !t.Settled {
			e.resumePending(id)
		}
		l := m.next(&n, id, t, Lease{Released: true, Holder: m.holder(id)})
		if !t.Settled {
			if l.Ordered = t.Chosen; l.Ordered == 0 {
				l.Ordered = t.Ordered
			}
		}
		if n.send(id, l) {
			n.stop(id)
			e.add(Release, id, 0, n)
		}
	}
}

// start adds the steps of a taker that starts an attempt. Its view of the primary and
// of the term may be outdated.
func (e *explorer) start(id uint8) {
	s, m := &e.s, e.m
	if int(s.Attempts) >= m.Attempts {
		return
	}
	oldest := s.Term
	if m.OldViews {
		oldest = 1
	}
	for term := oldest; term <= s.Term; term++ {
		for of := oldest; of <= term; of++ {
			n := *s
			n.Attempts++
			t := Taker{Step: readingLease, Primary: s.Led[of], Term: term}
			if m.LogsBeforeLease {
				t.Step, t.LogsRead, t.Known, t.Common = reading, true, s.mask(establishedByTakers), s.mask(knownToAcker)
			}
			n.Takers[id-1] = t
			e.add(Start, id, t.Primary, n)
		}
	}
}

// olderTaker reports whether a taker runs the former protocol.
func (m Model) olderTaker(s *State, id uint8) bool {
	return m.Pauses || s.OlderTakers&(1<<(id-1)) != 0
}

// olderHosts reports whether a host's entry states the former protocol.
func (s *State) olderHosts() bool { return s.OlderAcker || s.OlderTakers != 0 }

// settledStep returns the step of a taker after which it releases the lease as settled.
func (s *State) settledStep(m Model, id uint8) uint8 {
	if m.olderTaker(s, id) {
		return resuming
	}
	if m.ResumeWithoutLease {
		return resuming
	}
	paused := s.Takers[id-1].Pausing
	for _, d := range s.Databases {
		paused = paused || d.paused()
	}
	if paused {
		return renewing
	}
	return releasing
}

// next completes a write of the lease by a taker: the newest term and the floor are
// kept from lease to lease, but not by a host of the former protocol among others.
func (m Model) next(s *State, id uint8, t Taker, l Lease) Lease {
	l.Version, l.Term, l.Floor = t.Version, max(t.Term, t.LeaseTerm), t.Floor
	if !m.Pauses && m.olderTaker(s, id) {
		l.Term, l.Floor = 0, [2]uint8{}
	}
	if m.ForgetTerm {
		l.Term = t.Term
	}
	return l
}

// holder returns the name under which a taker holds the lease.
func (m Model) holder(id uint8) uint8 {
	if m.SameName {
		return 1
	}
	return id
}

// stop ends a taker's attempt; what it has sent stays on its way.
func (s *State) stop(id uint8) {
	s.Takers[id-1] = Taker{}
	if s.Lease.Writer == id {
		s.Lease.Writer = 0
	}
	for i := range s.Writes {
		if s.Writes[i].By == id {
			s.Writes[i].By = 0
		}
	}
	for i := range s.Calls {
		if s.Calls[i].Sender == id {
			s.Calls[i].Sender = 0
		}
		s.Calls[i].Awaited &^= 1 << id
	}
}

// send puts a write of the lease on its way.
func (s *State) send(id uint8, l Lease) bool {
	if s.Lease.Writer == id {
		s.Lease.Writer = 0
	}
	if l.Version != s.Lease.Version {
		return true // it will conflict
	}
	for i := range s.Writes {
		if !s.Writes[i].Sent {
			s.Writes[i] = Write{Sent: true, By: id, Lease: l}
			return true
		}
	}
	return false
}

// readLease adds the step of a taker that reads the lease and, if it may have it, sends
// the write that takes it.
func (e *explorer) readLease(id uint8) {
	s, m := &e.s, e.m
	l := s.Lease
	if !l.Released && !m.Expiry && l.Holder != m.holder(id) {
		return
	}
	if !m.Unpaused && !m.StalledResume && !l.Released && s.Resumes != 0 {
		return // it has not expired yet
	}
	n := *s
	t := &n.Takers[id-1]
	t.Step, t.Version, t.Ordered, t.LeaseTerm, t.Floor = acquiring, l.Version, l.Ordered, l.Term, l.Floor
	if m.ForgetOrder {
		t.Ordered = 0
	}
	if m.RosterBeforeLease {
		t.Roster = s.Roster
	}
	if !m.olderTaker(s, id) && l.Term == 0 {
		if t.Ordered == 0 && !m.FormerSettled {
			t.Ordered = unknownOrder
		}
		if !m.ForgetFloor {
			t.Floor, t.LeaseTerm = s.Kept, s.KeptTerm
		}
	}
	t.Pausing = m.LookBefore && s.olderHosts() || !m.Unpaused && !m.olderTaker(s, id)
	t.Pending = t.Ordered != 0
	if n.send(id, m.next(&n, id, *t, Lease{Ordered: t.Ordered, Holder: m.holder(id)})) {
		e.add(ReadLease, id, 0, n)
	}
}

// startReading begins the reading of the logs of a taker that has taken the lease.
func (m Model) startReading(s *State, t *Taker) {
	t.Step, t.Known, t.Common = reading, s.mask(establishedByTakers), s.mask(knownToAcker)
	if !m.RosterBeforeLease {
		t.Roster = s.Roster
	}
	if m.OwnList {
		return
	}
	for i, d := range s.Databases {
		if d.Seen&knownToAcker != 0 && !(m.Outages > 0 && d.Dead) {
			s.Databases[i].Seen |= knownToTakers // what a host knows, the store lists
		}
	}
}

// learn adds the step of a taker that learns whether its write was carried out.
func (e *explorer) learn(id uint8) {
	s := &e.s
	t := s.Takers[id-1]
	n := *s
	nt := &n.Takers[id-1]
	switch {
	case s.Lease.Version == t.Version+1 && s.Lease.Writer == id:
		nt.Version++
		n.Lease.Writer = 0
		switch {
		case t.Step == recordingSent && e.m.restarted(s, t):
			nt.Step, nt.Settled = releasing, !t.Pending
		case t.Step == recordingSent && !e.m.Unpaused && !e.m.NoRecheck && !t.Void && !e.m.olderTaker(s, id):
			nt.Step = checking
		case t.Step == recordingSent:
			nt.Step = calling
		case t.Step == renewSent:
			nt.Step = resuming
		case t.LogsRead:
			e.decide(id, n)
			return
		case e.m.mixed() && !e.m.olderTaker(s, id) && !e.m.LookBefore && e.m.Unpaused:
			nt.Step = looking
		default:
			e.m.startReading(&n, nt)
		}
		e.add(Learn, id, 0, n)
	case s.Lease.Version != t.Version:
		n.stop(id)
		e.add(Learn, id, 0, n)
	}
}

// restarted reports whether a taker must not give its order, since the successor has
// restarted since the lease was taken, or another database has while the primary may return.
func (m Model) restarted(s *State, t Taker) bool {
	if m.IgnoreRestarts || t.Restarted == 0 || t.Void {
		return false
	}
	return t.Restarted&(1<<(t.Chosen-1)) != 0 || !s.Databases[t.Primary-1].Dead
}

// report returns a database's report. Under the former protocol, replicas are paused
// before.
func (m Model) report(s *State, i int) Report {
	d := s.Databases[i]
	return Report{Read: true, Primary: uint8(i+1) == s.Primary, Term: d.Term, At: m.end(d)}
}

// read adds the steps of a taker that reads the logs of the databases it knows. It gets
// no answer from a database that has ended, and possibly none from the primary that is
// to be replaced.
func (e *explorer) read(id uint8) {
	s, m := &e.s, e.m
	t := s.Takers[id-1]
	done := true
	for i := range m.Databases {
		d, db := s.Databases[i], uint8(i+1)
		if t.Reports[i].Read || t.Reports[i].Skipped || d.Seen&knownToTakers == 0 && t.Roster[i].State == absent {
			continue
		}
		done = false
		restarted := t.Roster[i].State != absent && t.Roster[i].Start != d.Start && !m.AnyStart // the recorded process does not answer
		if !d.Dead && !restarted {
			n := *s
			if (m.olderTaker(s, id) || t.Pausing) && db != s.Primary {
				n.Databases[i].pause(t.newestTerm() + 1)
			}
			n.Takers[id-1].Reports[i] = m.report(&n, i)
			e.add(Read, id, db, n)
			if !m.Unpaused && !m.olderTaker(s, id) && db != s.Primary && !m.Unplanned && t.mayPlan() {
				n := *s
				n.Takers[id-1].Reports[i] = m.report(&n, i)
				n.Takers[id-1].Reports[i].Running = true
				e.add(Read, id, db, n)
			}
			if m.LatePause && t.Pausing && db != s.Primary && s.Pauses[i] == 0 {
				n := *s
				n.Pauses[i] = t.newestTerm() + 1
				n.Takers[id-1].Reports[i] = Report{Skipped: true}
				e.add(PauseLate, id, db, n)
			}
		}
		if d.Dead || db == t.Primary || restarted || m.Unlisted && m.Recorded && t.Roster[i].State == absent {
			n := *s
			n.Takers[id-1].Reports[i] = Report{Skipped: true}
			e.add(Skip, id, db, n)
		}
	}
	if !t.LogsRead {
		e.giveUp(id, *s)
	}
	if !done {
		return
	}
	if t.LogsRead {
		n := *s
		n.Takers[id-1].Step = readingLease
		e.add(Decide, id, 0, n)
		return
	}
	n := *s
	if m.EstablishedLate {
		n.Takers[id-1].Known, n.Takers[id-1].Common = s.mask(establishedByTakers), s.mask(knownToAcker)
	}
	e.decide(id, n)
}

// decide adds the steps of a taker that has read the logs. If its view is outdated, it
// gives up. If the primary answers as such, it may be a planned replacement or not.
func (e *explorer) decide(id uint8, n State) {
	m := e.m
	t := n.Takers[id-1]
	older := m.olderTaker(&n, id)
	if !m.current(t, older) {
		e.giveUp(id, n)
		return
	}
	if older {
		e.choose(id, n)
		return
	}
	candidates := m.candidates(&n, t)
	if r := t.Reports[t.Primary-1]; r.Primary && !m.Unplanned {
		var staying []succession.Candidate
		for _, c := range candidates {
			if !c.Leaving {
				staying = append(staying, c)
			}
		}
		planned := n
		pt := &planned.Takers[id-1]
		if senior, ok := succession.Senior(staying); ok {
			pt.Step, pt.Planned, pt.Target, pt.Chosen = catchingUp, true, r.At, number(senior.ID)
			if !m.Unpaused && !m.ResumePlanned && !pt.Reports[pt.Chosen-1].Running {
				ok = false
			}
			if t.Pausing { // all but the successor
				if m.Unpaused || m.ResumePlanned {
					planned.Databases[pt.Chosen-1].Pause = 0
				}
				for _, r := range t.Reports {
					if r.Read && at(pt.Target).Before(at(r.At)) {
						pt.Target = r.At
					}
				}
			}
			if ok {
				e.add(Decide, id, pt.Chosen, planned)
			}
		}
	}
	if t.running() != 0 {
		n.Takers[id-1].Chosen = 0
		e.giveUp(id, n)
		return
	}
	senior, ok := succession.Senior(candidates)
	longest, _ := succession.Longest(candidates)
	if !ok || senior.ID == longest.ID || t.Pausing {
		e.choose(id, n)
		return
	}
	nt := &n.Takers[id-1]
	nt.Step, nt.Target, nt.Chosen, nt.LongestKnown = catchingUp, t.Reports[number(longest.ID)-1].At, number(senior.ID), longest.Established
	e.add(Decide, id, nt.Chosen, n)
}

// catchUp adds the steps of a taker that waits for the senior replica to reach the
// target. The wait may end at any time.
func (e *explorer) catchUp(id uint8) {
	s, m := &e.s, e.m
	t := s.Takers[id-1]
	i := t.Chosen - 1
	r := t.Reports[i]
	if r.Read && !m.CheckOnce && !m.current(t, false) {
		n := *s
		n.Takers[id-1].Chosen = 0
		e.giveUp(id, n)
		return
	}
	if r.Read && !at(r.At).Before(at(t.Target)) {
		if t.Planned {
			e.planned(id)
			return
		}
		e.choose(id, *s)
		return
	}
	n := *s
	nt := &n.Takers[id-1]
	nt.Reports[i] = Report{Skipped: true}
	if !s.Databases[i].Dead {
		nt.Reports[i] = m.report(s, int(i))
		nt.Reports[i].Running = r.Running
	}
	if nt.Reports[i] != r {
		e.add(Read, id, t.Chosen, n)
	}
	n = *s
	if t.Planned || !t.LongestKnown {
		n.Takers[id-1].Chosen = 0
		e.giveUp(id, n)
		return
	}
	e.choose(id, n)
}

// choose adds the step of a taker that chooses a successor among those that it has read.
func (e *explorer) choose(id uint8, n State) {
	t := n.Takers[id-1]
	best, ok := e.m.best(&n, id, t)
	if !ok {
		n.Takers[id-1].Chosen = 0
		e.giveUp(id, n)
		return
	}
	e.chosen(id, best, n)
}

// chosen adds the step of a taker that has chosen a successor.
func (e *explorer) chosen(id, successor uint8, n State) {
	t := &n.Takers[id-1]
	if e.m.RepeatOrder && t.repeatable() && successor != t.Ordered {
		t.Chosen = 0
		e.giveUp(id, n)
		return
	}
	floor := t.Reports[successor-1].At
	if at(floor).Before(at(t.Floor)) {
		floor = t.Floor
	}
	t.Step, t.Chosen, t.Floor = recording, successor, floor
	t.learnTerm()
	for i := range n.Databases {
		if db := uint8(i + 1); db == successor && e.m.UnpausedSuccessor || db != successor && e.m.UnpausedOthers {
			n.Databases[i].Pause = 0
		}
	}
	e.add(Decide, id, successor, n)
}

// planned adds the step of a taker whose planned successor has caught up: it pauses the
// successor as well, and reads its log again.
func (e *explorer) planned(id uint8) {
	n, m := e.s, e.m
	t := &n.Takers[id-1]
	if m.Unpaused {
		e.chosen(id, t.Chosen, n)
		return
	}
	for i, d := range n.Databases {
		if t.Reports[i].Skipped && !d.Dead && uint8(i+1) != t.Primary && !m.PlanUnread {
			t.Chosen = 0
			e.giveUp(id, n) // it may not be paused
			return
		}
	}
	if m.UnpausedPlanned {
		e.chosen(id, t.Chosen, n)
		return
	}
	i := t.Chosen - 1
	if n.Databases[i].Dead {
		t.Reports[i] = Report{Skipped: true}
	} else {
		n.Databases[i].pause(t.newestTerm() + 1)
		t.Reports[i] = m.report(&n, int(i))
	}
	if r := t.Reports[i]; !r.Read || !m.current(*t, false) || at(r.At).Before(at(t.Target)) {
		t.Chosen = 0
		e.giveUp(id, n)
		return
	}
	e.chosen(id, t.Chosen, n)
}

// check adds the step of a taker that checks, before it orders the successor's promotion,
// that the replicas are still paused.
func (e *explorer) check(id uint8) {
	n, m := e.s, e.m
	t := &n.Takers[id-1]
	ok := true
	for i := range m.Databases {
		d, db := n.Databases[i], uint8(i+1)
		if m.Recorded && !m.NoRosterCheck && n.Roster[i].State != absent && (t.Roster[i].State == absent || t.Roster[i].Start != n.Roster[i].Start) {
			ok = false
		}
		if d.Dead || d.Seen&knownToTakers == 0 && t.Roster[i].State == absent || db == n.Primary {
			ok = ok && db != t.Chosen && (db != n.Primary || n.Term <= t.Term)
			continue
		}
		resumed := db == t.Chosen && (m.UnpausedSuccessor || m.UnpausedPlanned) || db != t.Chosen && (m.UnpausedOthers || m.PlanUnread)
		ok = ok && d.Term <= t.Term && (d.paused() || resumed)
	}
	t.Step, t.Roster = calling, Roster{}
	chosen := t.Chosen
	if !ok && t.Pending {
		t.Step = releasing
	} else if !ok {
		t.Settled, t.Chosen, t.Step = true, 0, n.settledStep(m, id)
	}
	e.add(Check, id, chosen, n)
}

// resumePending adds the step of a taker that resumes replicas though an order may be
// under way.
func (e *explorer) resumePending(id uint8) {
	n := e.s
	if n.Lease.Version != n.Takers[id-1].Version {
		return
	}
	for i := range n.Databases {
		if !e.m.staysPaused(i) {
			n.Databases[i].Pause = 0
		}
	}
	if n != e.s {
		e.add(Resume, id, 0, n)
	}
}

// staysPaused reports whether no attempt resumes a database, since it is leaving.
func (m Model) staysPaused(i int) bool { return m.Leaving == i+1 && !m.ResumeLeaving }

// departed reports whether a database is leaving and not on a roster as it was read.
func (m Model) departed(i int, recorded bool) bool {
	return m.Recorded && m.Leaving == i+1 && !recorded
}

// resumesLate reports whether a RESUME may be sent once others hold the lease.
func (m Model) resumesLate() bool {
	if m.Unpaused {
		return m.LateResume
	}
	return m.StalledResume || m.ResumeWithoutLease
}

// newestTerm returns the newest term that the taker knows.
func (t *Taker) newestTerm() uint8 {
	newest := t.Term
	for _, r := range t.Reports {
		newest = max(newest, r.Term)
	}
	return newest
}

// running returns the replica that was read without a pause, if any.
func (t *Taker) running() uint8 {
	for i, r := range t.Reports {
		if r.Running {
			return uint8(i + 1)
		}
	}
	return 0
}

// mayPlan reports whether a taker may read the next replica without a pause: the primary
// still serves, and it has read no other one so.
func (t *Taker) mayPlan() bool { return t.Reports[t.Primary-1].Primary && t.running() == 0 }

// repeatable reports whether the database of the pending order may be ordered again.
func (t *Taker) repeatable() bool {
	if !t.Pending || t.Ordered == 0 || t.Ordered > maxDatabases {
		return false
	}
	r := t.Reports[t.Ordered-1]
	return r.Read && !r.Primary
}

// missesOrdered reports whether the database of the pending order does not run.
func (t *Taker) missesOrdered() bool {
	return t.Ordered == 0 || t.Ordered > maxDatabases || t.Reports[t.Ordered-1].Skipped
}

// pause pauses a replica. A term that is not above its own has no effect.
func (d *Database) pause(term uint8) {
	if term > d.Term {
		d.Pause = term
	}
}

// learnTerm takes over the newest term of the reports, and forgets what is not needed
// any more.
func (t *Taker) learnTerm() {
	t.Term = t.newestTerm()
	t.Reports = [maxDatabases]Report{}
	t.Planned, t.Target, t.LongestKnown, t.Known, t.Common = false, [2]uint8{}, false, 0, 0
}

// current reports whether nothing shows that the view that an attempt began with is
// outdated.
func (m Model) current(t Taker, older bool) bool {
	if t.LeaseTerm > t.Term && !m.IgnoreLeaseTerm && !older {
		return false
	}
	for i, r := range t.Reports {
		if r.Read && (r.Term > t.Term || r.Primary && uint8(i+1) != t.Primary) {
			return false
		}
	}
	return true
}

// candidates returns the replicas as the taker sees them.
func (m Model) candidates(s *State, t Taker) []succession.Candidate {
	all := make([]succession.Candidate, 0, maxDatabases)
	for i := range m.Databases {
		r, id := t.Reports[i], uint8(i+1)
		if !r.Read && !r.Skipped || r.Read && r.Primary || id == t.Primary && !r.Read || m.departed(i, t.Roster[i].State != absent) {
			continue
		}
		all = append(all, succession.Candidate{
			ID: name(id), Answered: r.Read, Listed: !s.Databases[i].Dead && !(m.Recorded && m.Unlisted),
			Recorded:    t.Roster[i].State != absent && !m.LeaveUnread,
			Leaving:     m.Leaving == int(id),
			Established: t.Known&(1<<i) != 0 || m.AnyReplica,
			Known:       t.Known&(t.Common|m.anyOf(t.Known))&(1<<i) != 0 || m.AnyReplica,
			StartMillis: int64(id), Received: at(r.At),
		})
	}
	return all
}

// anyOf returns a mask of established replicas if each of them counts as known.
func (m Model) anyOf(established uint8) uint8 {
	if m.AnyEstablished {
		return established
	}
	return 0
}

// best returns the database to be promoted, or false if none may be.
func (m Model) best(s *State, id uint8, t Taker) (uint8, bool) {
	candidates := m.candidates(s, t)
	if m.olderTaker(s, id) {
		longest, ok := succession.Longest(candidates)
		return number(longest.ID), ok
	}
	var acked position.Position
	if m.Heard {
		for i, term := range s.Acked {
			if term != 0 {
				acked = position.Max(acked, at([2]uint8{term, uint8(i + 1)}))
			}
		}
	}
	floor := at(t.Floor)
	longest, _ := succession.Longest(candidates)
	if m.IgnoreFloor || m.IgnoreIndex && longest.Received.Term > floor.Term {
		floor = position.Position{}
	}
	gone := s.Databases[t.Primary-1].Dead
	if r := t.Reports[t.Primary-1]; r.Read {
		gone = !r.Primary
	}
	if !m.Recorded && m.GoneEnd {
		acked, floor = m.goneEnd(candidates, gone, acked, floor)
	}
	best, ok := succession.Choose(candidates, acked, floor, gone)
	if t.Pending && t.Ordered <= maxDatabases && !m.Unpaused {
		best = succession.Prefer(name(t.Ordered), best, candidates)
	}
	if !m.AnyIndex && succession.Outgrown(best, candidates) {
		return 0, false
	}
	return number(best.ID), ok
}

// goneEnd returns what a successor must hold if databases that are gone count as ended.
func (m Model) goneEnd(all []succession.Candidate, primaryGone bool, acked, floor position.Position) (position.Position, position.Position) {
	if primaryGone && !slices.ContainsFunc(all, func(c succession.Candidate) bool { return !c.Answered && c.Listed }) {
		return position.Position{}, position.Position{}
	}
	return acked, floor
}

// giveUp adds the steps of a taker that ends its attempt without a successor. An older
// order that may be under way is made void by an order for the present primary.
func (e *explorer) giveUp(id uint8, n State) {
	t := &n.Takers[id-1]
	t.Roster = Roster{}
	if !t.Pending {
		t.Settled, t.Step = true, n.settledStep(e.m, id)
		t.learnTerm()
		e.add(GiveUp, id, 0, n)
		return
	}
	if m := e.m; m.RepeatOrder && t.repeatable() {
		again := n
		at := &again.Takers[id-1]
		at.Step, at.Chosen = recording, t.Ordered
		at.learnTerm()
		e.add(GiveUp, id, t.Ordered, again)
		return
	}
	for i, r := range t.Reports {
		if r.Read && r.Primary && !(e.m.RepeatOrder && !t.missesOrdered()) {
			void := n
			vt := &void.Takers[id-1]
			vt.Step, vt.Chosen, vt.Void = recording, uint8(i+1), true
			vt.learnTerm()
			e.add(GiveUp, id, vt.Chosen, void)
		}
	}
	t.Step = releasing
	t.learnTerm()
	e.add(GiveUp, id, 0, n)
}

// call adds the step of a taker that sends the order that it has recorded.
func (e *explorer) call(id uint8) {
	n := e.s
	t := &n.Takers[id-1]
	free, sent := -1, 0
	for i, c := range n.Calls {
		if c.Fence == 0 {
			free = i
		} else {
			sent++
		}
	}
	if free < 0 || sent >= e.m.Calls {
		return
	}
	older := e.m.olderTaker(&n, id)
	n.Calls[free] = Call{Database: t.Chosen, Fence: t.Version, Sender: id, Paused: t.Pausing || older}
	if e.m.mixed() && !older && at(n.Kept).Before(at(t.Floor)) {
		n.Kept = t.Floor
	}
	if e.m.mixed() && !older {
		n.KeptTerm = max(n.KeptTerm, t.Term, t.LeaseTerm)
	}
	t.Step = called
	e.add(Order, id, t.Chosen, n)
}

// accepted adds the steps of a taker whose order was answered: it sees the successor as
// primary, or waits until no order that was accepted can take effect any more.
func (e *explorer) accepted(id uint8) {
	s, m := &e.s, e.m
	t := s.Takers[id-1]
	n := *s
	nt := &n.Takers[id-1]
	sees := s.Primary == t.Chosen && !s.Databases[s.Primary-1].Dead && s.Term > t.Term
	if m.olderTaker(s, id) {
		if sees || t.Void {
			nt.Step, nt.Settled = resuming, true
			e.add(See, id, t.Chosen, n)
		}
		return
	}
	if sees && !t.Void && (!t.Pending || m.ReleaseOnSight) {
		nt.Step = waited
		e.add(See, id, t.Chosen, n)
		n, nt = *s, &n.Takers[id-1]
	}
	for i := range n.Calls {
		if n.Calls[i].Accepted {
			n.Calls[i].Awaited |= 1 << id
		}
	}
	nt.Step = waiting
	e.add(Wait, id, 0, n)
}

// lookAgain adds the step of a taker that finds a host of the former protocol that has
// started since the lease was taken. If it has given no order, it starts its choice anew or
// gives up, and otherwise pauses the replicas other than its successor.
func (e *explorer) lookAgain(id uint8) {
	n := e.s
	t := &n.Takers[id-1]
	t.Pausing = true
	if t.Step < calling {
		t.Step, t.Reports = reading, [maxDatabases]Report{}
		t.Planned, t.Target, t.LongestKnown, t.Chosen, t.Void = false, [2]uint8{}, false, 0, false
		e.add(Look, id, 0, n)
		return
	}
	if t.Step == calling {
		t.Step, t.Settled, t.Chosen = releasing, !t.Pending, 0
		e.add(Look, id, 0, n)
		return
	}
	for i := range n.Databases {
		if db := uint8(i + 1); i < e.m.Databases && db != n.Primary && (db != t.Chosen || t.Void) {
			n.Databases[i].pause(t.newestTerm() + 1)
		}
	}
	for i := range n.Calls {
		n.Calls[i].Paused = n.Calls[i].Paused || n.Calls[i].Fence == t.Version
	}
	e.add(Look, id, 0, n)
}
