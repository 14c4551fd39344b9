package gateway

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/position"
)

// replacementTrace is what the log lines of one attempt explain it with.
type replacementTrace struct {
	rank        int               // of this host
	views       []succession.View // of the other hosts, when the attempt was started
	leaseBefore string            // the lease that this attempt has replaced
	rosterAt    uint64            // version of the record of the databases
	orderedAt   time.Time         // when the choice was logged
	chosen      succession.Candidate
	acked       position.Position // the last one that was known to be acknowledged at the choice
	unread      string            // the databases that were not read at the choice, and why
	logs        logReadings
}

// leaseText describes a lease, such as "120 of edge-3, released, term 3, floor 3/1301,
// ordered i-1".
func leaseText(o objectapi.Object) string {
	if o.Version == 0 {
		return "none"
	}
	var l succession.Lease
	if json.Unmarshal(o.Value, &l) != nil {
		return fmt.Sprintf("%d, cannot be decoded", o.Version)
	}
	out := fmt.Sprintf("%d of %s", o.Version, l.Holder)
	if l.Released {
		out += ", released"
	}
	out += fmt.Sprintf(", term %d, floor %s", l.Term, l.Floor)
	if l.Ordered != "" {
		out += ", ordered " + l.Ordered
	}
	if l.Unseen {
		out += fmt.Sprintf(", others before it, %d rounds", l.Rounds)
	}
	return out
}

// candidateText describes the candidates, the one with the given id first and then the
// longest logs, such as "i-1 3/1301 41s established listed, i-2 3/1226 40s listed, i-3
// unread refused passed_over not_recorded unlisted 8s".
func (a *replacement) candidateText(candidates []succession.Candidate, first string) string {
	sorted := slices.SortedFunc(slices.Values(candidates), func(x, y succession.Candidate) int {
		switch {
		case x.ID == first:
			return -1
		case y.ID == first:
			return 1
		}
		return cmp.Or(y.Received.Compare(x.Received), cmp.Compare(x.ID, y.ID))
	})
	parts := make([]string, 0, len(sorted))
	for _, c := range sorted {
		parts = append(parts, a.describeCandidate(c))
	}
	return strings.Join(parts, ", ")
}

func (a *replacement) describeCandidate(c succession.Candidate) string {
	out := c.ID + " "
	if c.Answered {
		out += c.Received.String()
	} else {
		out += "unread " + a.describeUnread(c)
	}
	var term, paused uint64
	if conn := a.conn(c.ID); conn != nil {
		term, paused = conn.report.Term, conn.report.Paused
	}
	if c.Answered && term != c.Received.Term {
		out += fmt.Sprintf(" term %d", term)
	}
	if c.StartMillis > 0 && c.Answered {
		out += fmt.Sprintf(" %ds", (time.Now().UnixMilli()-c.StartMillis)/1000)
	}
	for _, flag := range []struct {
		name string
		set  bool
	}{{"established", c.Established}, {"listed", c.Listed}, {"unlisted", c.Answered && !c.Listed}, {"leaving", c.Leaving}, {"cut_off", c.CutOff}, {"refused", c.Answered && c.Refused}, {"paused", paused > 0}} {
		if flag.set {
			out += " " + flag.name
		}
	}
	return out
}

var errNoEffectInTime = errors.New("gateway: the order has not shown its effect in time")

// logChosen logs the reasons for ordering a database's promotion in one line.
func (a *replacement) logChosen(msg string, successor succession.Candidate) {
	a.trace.orderedAt, a.trace.chosen = a.s.g.now(), successor
	acked := position.Max(a.acked, a.ackedElsewhere())
	a.trace.acked = acked
	a.recordLogs(atChoice)
	a.trace.unread = a.unreadText()
	primary := "unknown"
	if c := a.conn(a.primary); c != nil {
		primary = a.describeCandidate(a.primaryCandidate(c))
	}
	a.s.g.logChange("promotion", slog.LevelWarn, msg,
		"candidates", a.candidateText(a.candidates(), successor.ID), "service", a.s.name, "to", successor.ID, "unread", a.trace.unread, "reason", string(a.reason), "acked", acked.String(),
		"from", a.primary, "primary", primary, "term", a.term, "fence", a.leaseObject.Version, "lease_before", a.trace.leaseBefore,
		"floor", a.floor.String(), "pending", a.ordered,
		"rank", a.trace.rank, "views", viewText(a.trace.views),
		"list", a.s.g.listVersion.Load(), "listed_databases", len(a.storeList), "record", a.trace.rosterAt, "recorded_databases", len(a.roster.Databases),
		"after_ms", a.s.g.now().Sub(a.started).Milliseconds())
}

// viewText counts the other hosts' views of the primary, such as "unreachable 4, reachable
// 1"; it is empty if the attempt does not rest on them.
func viewText(views []succession.View) string {
	counts := map[string]int{}
	for _, v := range views {
		switch {
		case v.Primary == "":
			counts["no primary"]++
		case v.Unreachable:
			counts["unreachable"]++
		case v.Stalled:
			counts["stalled"]++
		default:
			counts["reachable"]++
		}
	}
	var parts []string
	for _, view := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", view, counts[view]))
	}
	return strings.Join(parts, ", ")
}

// ackedElsewhere returns the last commit that another host is known to have acknowledged.
func (a *replacement) ackedElsewhere() position.Position {
	_, acked, _ := a.s.g.peers.primaryViews(a.s.name)
	return acked
}

// logNoSuccessor logs why no successor was chosen.
func (a *replacement) logNoSuccessor(err error) {
	a.s.g.logChange("promotion", slog.LevelWarn, "No successor was chosen.", "candidates", a.candidateText(a.candidates(), ""),
		"service", a.s.name, "unread", a.unreadText(), "error", err, "primary", a.primary, "reason", string(a.reason), "acked", position.Max(a.acked, a.ackedElsewhere()).String(),
		"floor", a.floor.String(), "term", a.term, "fence", a.leaseObject.Version, "lease_before", a.trace.leaseBefore, "pending", a.ordered)
}

// logTakenEffect logs that a database leads after this attempt's order.
func (a *replacement) logTakenEffect(primary *controlConn) {
	msg := "Promotion took effect."
	if primary.db.ID != a.trace.chosen.ID {
		msg = "Another database leads than the one ordered."
	}
	a.logOutcome(msg, "primary", primary.db.ID, "term", primary.report.Term, "log", primary.report.Received.String())
	a.recordLogs(atEffect)
	if end, _, _, ok := a.s.firstAnswerOf(primary.db.ID, a.started); ok {
		first := primary.report
		first.Received = end // by now its log may have commits of the new term
		a.trace.logs.record(atEffect, primary.db.ID, first, true)
	}
	a.logEnd(primary.db.ID, primary.report.Term, msg)
}

// logNoEffect logs that this attempt's order is not known to have taken effect.
func (a *replacement) logNoEffect(err error) {
	msg := "Promotion is not known to have taken effect."
	a.logOutcome(msg, "error", errorText(err))
	if errors.Is(err, errNoEffectInTime) {
		a.recordLogs(atEffect) // they have just been read
	}
	a.logEnd(a.trace.chosen.ID, a.newestTerm(), msg)
}

func (a *replacement) logOutcome(msg string, attrs ...any) {
	attrs = append(attrs, "service", a.s.name, "to", a.trace.chosen.ID, "chosen_log", a.trace.chosen.Received.String(),
		"after_ms", a.s.g.now().Sub(a.trace.orderedAt).Milliseconds(), "from", a.primary, "reason", string(a.reason), "former_term", a.term,
		"fence", a.leaseObject.Version, "pending", a.pending)
	a.s.g.logChange("promotion", slog.LevelWarn, msg, attrs...)
}

// logEnd logs the replacement in one line, a little later: the last commit known to be
// acknowledged at the choice and at the primary's first answer, and the ends of the logs at
// the choice, at the call and at the effect, those of the given database first.
func (a *replacement) logEnd(primary string, term uint64, outcome string) {
	acked := a.trace.acked.String()
	_, ackedAtEffect, missing, ok := a.s.firstAnswerOf(primary, a.started)
	if ok {
		acked += ">" + ackedAtEffect.String()
	}
	head := []any{"acked", acked, "term", term, "service", a.s.name}
	rest := []any{"from", a.primary, "to", a.trace.chosen.ID, "outcome", outcome, "reason", string(a.reason), "views", viewText(a.trace.views),
		"list", a.s.g.listVersion.Load(), "floor", a.floor.String(), "pending", a.pending,
		"fence", a.leaseObject.Version, "after_ms", a.s.g.now().Sub(a.trace.orderedAt).Milliseconds()}
	if len(missing) > 0 {
		rest = append(rest, "ids", missing)
	}
	a.afterEnd(func() {
		logs := []any{"logs", a.trace.logs.text(primary), "unread", a.trace.unread} // with the answers that came during the delay
		a.s.g.logDeciding("promotion", slog.LevelWarn, "Replacement ended.", slices.Concat(head, logs, rest)...)
	})
}

// explainCommits logs the commits that this host has acknowledged before it takes part in
// the replacement.
func (a *replacement) explainCommits() {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.explainCommits("this host replaces " + a.primary)
}

// primaryCandidate describes the primary to be replaced, which is none of the candidates.
func (a *replacement) primaryCandidate(c *controlConn) succession.Candidate {
	place, recorded := a.roster.Databases[c.db.ID]
	recorded = recorded && place.StartMillis == c.db.StartMillis
	return succession.Candidate{ID: c.db.ID, Answered: c.answered, Refused: c.refused, Listed: a.listed(c.db.ID), Leaving: c.db.Leaving, Received: c.report.Received, StartMillis: c.db.StartMillis,
		Replaced: a.isReplaced(c.db.ID), Recorded: recorded, Abandoned: recorded && place.GivenUp(c.db.StartMillis)}
}
