package evaluation

import (
	"fmt"

	"github.com/bronzeloft/bronzeloft/internal/experiment/rate"
	"github.com/bronzeloft/bronzeloft/internal/matrix"
)

// Charts returns the charts of the results.
func (r Results) Charts() []Chart {
	return []Chart{r.readChart(), r.failoverChart(), r.waitChart(), r.shareChart(), r.refusalChart()}
}

// readChart compares the two floors of fresh reads at each replication lag.
func (r Results) readChart() Chart {
	c := Chart{
		File: "reads", Title: "Fresh reads served by replicas", YLabel: "share of fresh reads (%)",
		Target: minReplicaPercent, TargetLabel: "target: at least 95 %", Percent: true,
		Series: []Series{{Name: "position that a majority holds"}, {Name: "primary's end (baseline)"}},
	}
	for _, size := range r.Sizes {
		for _, lag := range replicationLags {
			ms := float64(lag.Microseconds()) / 1000
			c.Groups = append(c.Groups, fmt.Sprintf("%s, %g ms lag", size.Name, ms))
			for i, floor := range []string{matrix.FloorMajorityHeld, matrix.FloorPrimary} {
				c.Series[i].Values = append(c.Series[i].Values, 100*r.read(size.Name, ms, floor).Fresh)
			}
		}
	}
	return c
}

// failoverChart has a group for each kind of loss with the detector in use, then one
// for each fixed timeout (the baselines), with the primary killed.
func (r Results) failoverChart() Chart {
	c := Chart{
		File: "failover", Title: "Failover gap, loss of the primary until every host routes to the new one",
		YLabel: "99th percentile (ms)", Target: maxGapMs, TargetLabel: "target: under 1000 ms",
	}
	detectors := matrix.Detectors()
	for _, loss := range losses {
		c.Groups = append(c.Groups, string(loss))
	}
	for _, d := range detectors[1:] {
		c.Groups = append(c.Groups, fmt.Sprintf("%s\n%d false promotions", d.Name, r.falsePromotions(d.Name)))
	}
	for _, size := range r.Sizes {
		s := Series{Name: size.Name}
		for _, loss := range losses {
			s.Values = append(s.Values, r.failover(size.Name, loss, false, detectors[0].Name).Total.P99)
		}
		for _, d := range detectors[1:] {
			s.Values = append(s.Values, r.failover(size.Name, matrix.Killed, false, d.Name).Total.P99)
		}
		c.Series = append(c.Series, s)
	}
	return c
}

// falsePromotions sums a detector's false promotions over all deployments of the run.
func (r Results) falsePromotions(detector string) int {
	n := 0
	for _, q := range r.Quiet {
		if q.Detector == detector {
			n += q.Promotions
		}
	}
	return n
}

func (r Results) waitChart() Chart {
	c := Chart{
		File: "waits", Title: "Wait for a slot of customers that keep their rate",
		YLabel: "99th percentile (ms)",
	}
	for _, queueing := range []Queueing{DeficitRoundRobin, FirstCome} {
		for _, factor := range []float64{1, tenfold} {
			name := string(queueing) + ", all keep their rate"
			if factor == tenfold {
				name = string(queueing) + ", one at ten times"
			}
			c.Series = append(c.Series, Series{Name: name})
		}
	}
	for _, size := range r.Sizes {
		for _, mix := range mixes {
			c.Groups = append(c.Groups, fmt.Sprintf("%s, customers %s", size.Name, mix))
			for i := range c.Series {
				queueing, factor := DeficitRoundRobin, 1.0
				if i >= 2 {
					queueing = FirstCome
				}
				if i%2 == 1 {
					factor = tenfold
				}
				c.Series[i].Values = append(c.Series[i].Values, r.customer(size.Name, mix, queueing, factor).OthersP99Ms)
			}
		}
	}
	return c
}

func (r Results) shareChart() Chart {
	c := Chart{
		File: "worst-served", Title: "Worst-served customer while one sends ten times its rate",
		YLabel: "slot time, of its fair share (%)", Percent: true,
		Series: []Series{{Name: string(DeficitRoundRobin)}, {Name: string(FirstCome) + " (baseline)"}},
	}
	for _, size := range r.Sizes {
		for _, mix := range mixes {
			c.Groups = append(c.Groups, fmt.Sprintf("%s, customers %s", size.Name, mix))
			for i, queueing := range []Queueing{DeficitRoundRobin, FirstCome} {
				c.Series[i].Values = append(c.Series[i].Values, 100*r.customer(size.Name, mix, queueing, tenfold).WorstRatio)
			}
		}
	}
	return c
}

func (r Results) refusalChart() Chart {
	c := Chart{
		File: "refusals", Title: "Requests refused although inside their customer's rate",
		YLabel: "of what one bucket for the fleet admits (%)", Percent: true,
	}
	labels := map[rate.Case]string{
		rate.Tenfold:  "one customer at\nten times its rate",
		rate.HostLoss: "host lost\nand replaced",
		rate.Outage:   "platform out\nfor ten minutes",
	}
	cases := refusalCases(r.Plan)
	for _, x := range cases {
		name := labels[x]
		if name == "" {
			name = string(x)
		}
		c.Groups = append(c.Groups, name)
	}
	for _, way := range []rate.Way{rate.Shares, rate.EvenSplit} {
		for _, size := range r.Sizes {
			s := Series{Name: fmt.Sprintf("%s, %s", way, size.Name)}
			for _, x := range cases {
				s.Values = append(s.Values, r.refusal(size.Name, way, x).Wrongful)
			}
			c.Series = append(c.Series, s)
		}
	}
	return c
}
