package matrix

import (
	"fmt"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/database/groupsql"
	"github.com/bronzeloft/bronzeloft/position"
)

// pullRetry is the time after which a replica repeats an unanswered pull request.
const pullRetry = 50 * time.Millisecond

// entry is one log entry: a caller's write or the marker, the entry that a new
// primary appends first in its term.
type entry struct {
	term  uint64
	write int // write id; 0 for a marker
}

// database models a member of a group. Its log and the term and claimant that it
// accepted are durable; its role becomes fenced at a restart. Logs are never
// changed in place, so that answers may share them.
type database struct {
	node
	w            *World
	member       group.Member
	log          []entry
	accepted     uint64 // highest term accepted
	claimant     string // id of the claim of that term that it accepted; empty if it follows the term without one
	role         groupsql.Role
	source       *database // the database that a replica follows
	version      int       // incremented whenever the role is set, also to the same value
	pendingPulls map[*database]pullRequest
}

// pullRequest is a replica's request for the entries that follow its log. term,
// log and version are those of the replica when it sent the request.
type pullRequest struct {
	term    uint64
	log     []entry
	version int
	from    *database
}

func newDatabase(w *World, i int) *database {
	id := string(rune('a' + i))
	dc := fmt.Sprintf("dc%d", i%w.opt.Centres+1)
	d := &database{w: w, role: groupsql.Fenced, pendingPulls: make(map[*database]pullRequest)}
	d.node = node{name: id, dc: dc, alive: true}
	d.member = group.Member{ID: id, Address: "addr-" + id, DataCentre: dc}
	return d
}

func (d *database) position() position.Position {
	if len(d.log) == 0 {
		return position.Position{}
	}
	return position.Position{Term: d.log[len(d.log)-1].term, Index: uint64(len(d.log))}
}

func (d *database) report(ok bool) groupsql.Report {
	return groupsql.Report{
		OK: ok, Position: d.position(), Accepted: d.accepted, Claimant: d.claimant,
		Role: d.role, BootID: fmt.Sprintf("%s-%d", d.name, d.boot),
	}
}

// execute runs a control operation and returns the report on it.
func (d *database) execute(op groupsql.Op) groupsql.Report {
	ok := true
	switch op.Kind {
	case groupsql.OpFence:
		ok = d.fence(op.Term, op.Claimant)
	case groupsql.OpPromote:
		ok = d.promote(op.Term, op.Claimant)
	case groupsql.OpFollow:
		ok = d.follow(op.Term, op.Address)
	}
	if op.Kind != groupsql.OpPosition {
		d.w.logf("%s: %s -> %t, at %s", d.name, op.SQL(), ok, d.position())
	}
	r := d.report(ok)
	if d.w.hooks.ignoreFence && op.Kind == groupsql.OpFence && ok {
		r.Accepted, r.Claimant, r.Role = op.Term, op.Claimant, groupsql.Fenced
	}
	if d.w.hooks.noMarker && d.role != groupsql.Fenced {
		r.Position.Term = d.accepted
	}
	return r
}

// fence accepts the claim of a term: from then on d refuses lower terms and other
// claimants of this term, and is neither primary nor replica. A repeated fence
// leaves a primary that was promoted for this claim as it is. fence returns false
// if d refuses the claim.
func (d *database) fence(term uint64, claimant string) bool {
	if term < d.accepted || term == d.accepted && claimant != d.claimant {
		return false
	}
	if term == d.accepted && d.role == groupsql.Primary || d.w.hooks.ignoreFence {
		return true
	}
	d.accepted, d.claimant, d.role = term, claimant, groupsql.Fenced
	d.version++
	return true
}

// promote makes d the primary of the term for which claimant has fenced it. A
// repeated promotion has no effect. promote returns false if d is not fenced for
// this claim.
func (d *database) promote(term uint64, claimant string) bool {
	if d.w.hooks.ignoreFence && term > d.accepted {
		d.accepted, d.claimant, d.role = term, claimant, groupsql.Fenced
	}
	if term != d.accepted || claimant != d.claimant {
		return false
	}
	if d.role == groupsql.Primary {
		return true
	}
	if d.role != groupsql.Fenced {
		return false
	}
	d.role = groupsql.Primary
	d.w.oracle.recordPromotion(term, d.name)
	d.version++
	d.pendingPulls = make(map[*database]pullRequest)
	if !d.w.hooks.noMarker {
		d.append(entry{term: term})
	}
	return true
}

// follow makes d a replica, in the given term, of the database at address. It
// returns false if d has accepted a newer term or is the primary of this one.
func (d *database) follow(term uint64, address string) bool {
	if term < d.accepted || term == d.accepted && d.role == groupsql.Primary {
		return false
	}
	if term > d.accepted {
		d.claimant = ""
	}
	d.accepted, d.role = term, groupsql.Replica
	d.version++
	for _, other := range d.w.dbs {
		if other.member.Address == address {
			d.source = other
		}
	}
	d.pull()
	return true
}

func (d *database) append(e entry) {
	d.log = append(d.log[:len(d.log):len(d.log)], e)
	d.answerPulls()
}

// commit appends a caller's write to the log and returns its position. It returns
// false if d is not the primary.
func (d *database) commit(write int) (position.Position, bool) {
	if d.role != groupsql.Primary {
		return position.Position{}, false
	}
	d.append(entry{term: d.accepted, write: write})
	return d.position(), true
}

// pull asks the source for the entries that follow d's log, and repeats the
// request if no answer arrives within pullRetry.
func (d *database) pull() {
	src, version, length := d.source, d.version, len(d.log)
	req := pullRequest{term: d.accepted, log: d.log, version: version, from: d}
	d.w.send(&d.node, &src.node, func() { src.handlePull(req) })
	d.w.timer(&d.node, pullRetry, func() {
		if d.version == version && len(d.log) == length {
			d.pull()
		}
	})
}

// handlePull answers a pull request, at once or when the log has grown. It ignores
// the request if d is not the primary of the replica's term.
func (d *database) handlePull(req pullRequest) {
	if d.role != groupsql.Primary || req.term != d.accepted {
		return
	}
	d.pendingPulls[req.from] = req
	d.answerPulls()
}

// answerPulls answers the pending pull requests of replicas whose log differs
// from this one.
func (d *database) answerPulls() {
	for _, other := range d.w.dbs {
		req, ok := d.pendingPulls[other]
		if !ok {
			continue
		}
		common := commonPrefix(d.log, req.log)
		if common == len(d.log) && common == len(req.log) {
			continue
		}
		delete(d.pendingPulls, other)
		log, term := d.log, d.accepted
		d.w.timer(&d.node, commitDelay+d.w.opt.ReplicationLag, func() {
			d.w.send(&d.node, &other.node, func() { other.applyLog(req, term, log) })
		})
	}
}

// applyLog replaces the log by the source's, unless the state of d has changed
// since the pull request.
func (d *database) applyLog(req pullRequest, term uint64, log []entry) {
	if d.version != req.version || d.role != groupsql.Replica || term != d.accepted {
		return
	}
	if len(d.log) != len(req.log) {
		return
	}
	if commonPrefix(d.log, log) < len(d.log) {
		d.w.logf("%s: truncates its diverging tail, %s -> %d entries", d.name, d.position(), len(log))
	}
	d.log = log[:len(log):len(log)]
	d.pull()
}

// commonPrefix returns the length of the common prefix of two logs. Logs that
// agree on one entry agree on all entries before it.
func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// restart restarts the database, fenced, with its durable state.
func (d *database) restart() {
	if d.alive {
		d.w.kill(&d.node)
	}
	d.alive = true
	d.role, d.source = groupsql.Fenced, nil
	d.version++
	d.pendingPulls = make(map[*database]pullRequest)
	d.w.logf("restart %s", d.name)
}
