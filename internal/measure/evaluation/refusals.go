package evaluation

import (
	"github.com/bronzeloft/bronzeloft/internal/experiment/rate"
)

// Refusals holds the results of one way of dividing customers' rates in one case at
// one deployment.
type Refusals struct {
	Site         string    `json:"site"`
	Way          rate.Way  `json:"way"`
	Case         rate.Case `json:"case"`
	Hosts        int       `json:"hosts"`
	Seed         uint64    `json:"seed"`
	Asked        int       `json:"asked"`
	Admitted     int       `json:"admitted"`
	Central      int       `json:"admittedByOneBucket"` // a single bucket for the whole fleet, on the same arrivals
	Wrongful     float64   `json:"wrongfulPercent"`     // shortfall of Admitted, in percent of Central
	Overshoot    float64   `json:"overshoot"`           // requests admitted beyond rate and burst; maximum over customers
	BytesPerS    float64   `json:"bytesPerSecondAndHost"`
	MessagesPerS float64   `json:"messagesPerSecondAndHost"`
}

// refusalCases returns the cases that a plan runs. Only plans with Outage set include
// the platform's outage, because it takes long to simulate.
func refusalCases(p Plan) []rate.Case {
	cases := []rate.Case{rate.Even, rate.Skew, rate.Tenfold, rate.HostLoss, rate.Cut}
	if p.Outage {
		cases = append(cases, rate.Outage)
	}
	return cases
}

// hasFault reports whether a case of refusalCases has a fault of hosts or links.
func hasFault(c rate.Case) bool { return c == rate.HostLoss || c == rate.Cut }

// refusalTasks returns the tasks that measure refusals, for each case with standing
// shares and with an even split (the baseline).
func (r *Results) refusalTasks(size Size) []func() {
	config := rate.Pluta
	if size.Name == "Trust" {
		config = rate.Trust
	}
	var out []func()
	for _, way := range []rate.Way{rate.Shares, rate.EvenSplit} {
		for _, c := range refusalCases(r.Plan) {
			cfg := config(way, c)
			cfg.Seed = r.Plan.Seed
			out = append(out, addTask(&r.Refusals, func() Refusals { return measureRefusals(size, cfg) }))
		}
	}
	return out
}

func measureRefusals(size Size, cfg rate.Config) Refusals {
	got := rate.Run(cfg)
	return Refusals{
		Site: size.Name, Way: cfg.Way, Case: cfg.Case, Hosts: cfg.Hosts, Seed: cfg.Seed,
		Asked: got.Asked, Admitted: got.Admitted, Central: got.Central,
		Wrongful: got.WrongfulPercent, Overshoot: got.Overshoot,
		BytesPerS: got.BytesPerSec, MessagesPerS: got.MessagesPerSec,
	}
}
