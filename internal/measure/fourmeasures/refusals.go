package fourmeasures

import (
	"github.com/bronzeloft/bronzeloft/internal/experiment/rate"
)

// Refusals are the wrongful refusals of one way of dividing customers' rates.
type Refusals struct {
	Site       string    `json:"site"`
	Way        rate.Way  `json:"way"`
	Case       rate.Case `json:"case"`
	Hosts      int       `json:"hosts"`
	Seed       uint64    `json:"seed"`
	Asked      int       `json:"asked"`
	Admitted   int       `json:"admitted"`
	Central    int       `json:"admittedByOneBucket"` // for the whole fleet, on the same arrivals
	Wrongful   float64   `json:"wrongfulPercent"`     // admitted too few, of Central
	Overshoot  float64   `json:"overshoot"`           // requests, the most of any customer
	BytesPerS  float64   `json:"bytesPerSecondAndHost"`
	MessagePsH float64   `json:"messagesPerSecondAndHost"`
}

// refusalCases are the loads and faults; the platform's outage is long and in
// whole runs only.
func refusalCases(p Plan) []rate.Case {
	cases := []rate.Case{rate.Even, rate.Skew, rate.Tenfold, rate.HostLoss, rate.Cut}
	if p.Outage {
		cases = append(cases, rate.Outage)
	}
	return cases
}

// faulty reports whether a case has a fault of hosts or links.
func faulty(c rate.Case) bool { return c == rate.HostLoss || c == rate.Cut }

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
		BytesPerS: got.BytesPerSec, MessagePsH: got.MessagesPerSec,
	}
}
