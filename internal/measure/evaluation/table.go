package evaluation

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/bronzeloft/bronzeloft/internal/experiment/rate"
	"github.com/bronzeloft/bronzeloft/internal/matrix"
)

// Targets.
const (
	minReplicaPercent    = 95.0
	maxGapMs             = 1000.0 // 99th percentile of the failover gap
	maxOthersChange      = 10.0   // percent increase of the other customers' p99 wait when one sends ten times its rate
	maxWrongfulNoFault   = 0.1    // percent, without a fault of hosts or links
	maxWrongfulWithFault = 1.0    // percent, with such a fault
)

// Row compares one measure at one deployment with its baseline and its target. A
// Target or Baseline of "-" means that there is none; Met is true without a target.
type Row struct {
	Measure  string
	Site     string
	Ours     string
	Baseline string
	Target   string
	Met      bool
}

// Rows checks the results against the targets.
func (r Results) Rows() []Row {
	var out []Row
	for _, size := range r.Sizes {
		out = append(out, r.readRows(size.Name)...)
		out = append(out, r.failoverRows(size.Name)...)
		out = append(out, r.customerRows(size.Name)...)
		out = append(out, r.refusalRows(size.Name)...)
	}
	return out
}

func (r Results) readRows(site string) []Row {
	var out []Row
	for _, lag := range replicationLags {
		ms := float64(lag.Microseconds()) / 1000
		ours, base := r.read(site, ms, matrix.FloorMajorityHeld), r.read(site, ms, matrix.FloorPrimary)
		row := func(kind string, a, b float64) {
			out = append(out, Row{
				Measure: fmt.Sprintf("reads on replicas, %s, %g ms lag", kind, ms), Site: site,
				Ours: percent(100 * a), Baseline: percent(100*b) + " (primary's end)",
				Target: fmt.Sprintf(">= %g%%", minReplicaPercent),
				Met:    100*a >= minReplicaPercent && ours.Violation == "",
			})
		}
		row("fresh", ours.Fresh, base.Fresh)
		row("aged", ours.Aged, base.Aged)
	}
	return out
}

// read returns the share of reads on replicas, zero if it was not measured.
func (r Results) read(site string, lagMs float64, floor string) matrix.ReplicaShare {
	for _, x := range r.Reads {
		if x.Site == site && x.LagMs == lagMs && x.Floor == floor {
			return x
		}
	}
	return matrix.ReplicaShare{}
}

func (r Results) failoverRows(site string) []Row {
	current := matrix.Detectors()[0].Name
	slowest := matrix.Detectors()[3].Name
	base := r.failover(site, matrix.Killed, false, slowest)
	var out []Row
	for _, loss := range losses {
		for _, platformDown := range []bool{false, true} {
			f := r.failover(site, loss, platformDown, current)
			name := "failover gap p99, primary " + string(loss)
			if platformDown {
				name += ", platform down"
			}
			baseline := "-"
			if loss == matrix.Killed && !platformDown {
				baseline = fmt.Sprintf("%.0f ms (%s)", base.Total.P99, slowest)
			}
			out = append(out, Row{
				Measure: name, Site: site, Baseline: baseline,
				Ours:   fmt.Sprintf("%.0f ms", f.Total.P99),
				Target: fmt.Sprintf("< %g ms", maxGapMs),
				Met:    f.Unfinished == 0 && f.Total.P99 < maxGapMs,
			})
		}
	}
	ours, quick := r.quiet(site, current), r.quiet(site, matrix.Detectors()[1].Name)
	return append(out, Row{
		Measure: fmt.Sprintf("false promotions in %g min of jitter", ours.Minutes), Site: site,
		Ours: fmt.Sprint(ours.Promotions), Baseline: fmt.Sprintf("%d (%s)", quick.Promotions, quick.Detector),
		Target: "0", Met: ours.Promotions == 0 && ours.Violation == "",
	})
}

// failover returns the results of a kind of loss, or one that meets no target if it
// was not measured.
func (r Results) failover(site string, loss matrix.Loss, platformDown bool, detector string) matrix.Failover {
	for _, x := range r.Failovers {
		if x.Site == site && x.Loss == loss && x.PlatformDown == platformDown && x.Detector == detector {
			return x
		}
	}
	return matrix.Failover{Unfinished: 1}
}

// quiet returns a detector's run without loss of a primary, or one that meets no
// target if it was not measured.
func (r Results) quiet(site, detector string) matrix.Stability {
	for _, x := range r.Quiet {
		if x.Site == site && x.Detector == detector {
			return x
		}
	}
	return matrix.Stability{Violation: "not run"}
}

func (r Results) customerRows(site string) []Row {
	var out []Row
	for _, mix := range mixes {
		out = append(out, r.mixRows(site, mix)...)
	}
	return out
}

// mixRows compares runs in which every customer keeps its rate with runs in which one
// sends ten times its rate.
func (r Results) mixRows(site string, mix Mix) []Row {
	normal, overloaded := r.customer(site, mix, DeficitRoundRobin, 1), r.customer(site, mix, DeficitRoundRobin, tenfold)
	baseNormal, baseOverloaded := r.customer(site, mix, FirstCome, 1), r.customer(site, mix, FirstCome, tenfold)
	change := func(a, b CustomerRun) float64 { return 100 * (b.OthersP99Ms/a.OthersP99Ms - 1) }
	suffix := ", one at ten times, customers " + string(mix)
	return []Row{
		{
			Measure: "others' p99 wait" + suffix, Site: site,
			Ours:     fmt.Sprintf("%.1f -> %.1f ms (%+.1f%%)", normal.OthersP99Ms, overloaded.OthersP99Ms, change(normal, overloaded)),
			Baseline: fmt.Sprintf("%.1f -> %.1f ms (%s)", baseNormal.OthersP99Ms, baseOverloaded.OthersP99Ms, FirstCome),
			Target:   fmt.Sprintf("< +%g%%", maxOthersChange),
			Met:      change(normal, overloaded) < maxOthersChange,
		},
		{
			Measure: "worst-served, of its fair share" + suffix, Site: site,
			Ours: percent(100 * overloaded.WorstRatio), Baseline: percent(100*baseOverloaded.WorstRatio) + " (" + string(FirstCome) + ")",
			Target: "-", Met: true,
		},
		{
			Measure: "worst p99 wait" + suffix, Site: site,
			Ours:     fmt.Sprintf("%.1f ms", overloaded.WorstP99Ms),
			Baseline: fmt.Sprintf("%.1f ms (%s)", baseOverloaded.WorstP99Ms, FirstCome),
			Target:   "-", Met: true,
		},
	}
}

// customer returns the run with the given parameters, a zero one if it was not
// measured.
func (r Results) customer(site string, mix Mix, queueing Queueing, factor float64) CustomerRun {
	for _, x := range r.Customers {
		if x.Site == site && x.Mix == mix && x.Queueing == queueing && x.Factor == factor {
			return x
		}
	}
	return CustomerRun{}
}

func (r Results) refusalRows(site string) []Row {
	var out []Row
	overshoot, ran := 0.0, true
	for _, c := range refusalCases(r.Plan) {
		ours, base := r.refusal(site, rate.Shares, c), r.refusal(site, rate.EvenSplit, c)
		overshoot = max(overshoot, ours.Overshoot)
		ran = ran && ours.Asked > 0
		limit := maxWrongfulNoFault
		if hasFault(c) {
			limit = maxWrongfulWithFault
		}
		out = append(out, Row{
			Measure: "wrongful refusals, " + string(c), Site: site,
			Ours: fmt.Sprintf("%.3f%%", ours.Wrongful), Baseline: fmt.Sprintf("%.3f%% (%s)", base.Wrongful, rate.EvenSplit),
			Target: fmt.Sprintf("< %g%%", limit), Met: ours.Asked > 0 && ours.Wrongful < limit,
		})
	}
	return append(out, Row{
		Measure: "requests over rate and burst, all cases", Site: site,
		Ours: fmt.Sprintf("%g", overshoot), Baseline: "-", Target: "0", Met: ran && overshoot == 0,
	})
}

// refusal returns the results with the given parameters, zero ones if they were not
// measured.
func (r Results) refusal(site string, way rate.Way, c rate.Case) Refusals {
	for _, x := range r.Refusals {
		if x.Site == site && x.Way == way && x.Case == c {
			return x
		}
	}
	return Refusals{}
}

func percent(p float64) string { return fmt.Sprintf("%.1f%%", p) }

// WriteTable writes the rows as a plain-text table with aligned columns.
func (r Results) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells ...string) { _, _ = fmt.Fprintln(t, strings.Join(cells, "\t")) }
	line("MEASURE", "DEPLOYMENT", "OURS", "BASELINE", "TARGET", "MET")
	for _, row := range r.Rows() {
		line(row.Measure, row.Site, row.Ours, row.Baseline, row.Target, row.met())
	}
	return t.Flush()
}

// met returns the text of the column MET: yes, NO, or - without a target.
func (r Row) met() string {
	switch {
	case r.Target == "-":
		return "-"
	case r.Met:
		return "yes"
	default:
		return "NO"
	}
}
