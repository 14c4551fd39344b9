package evaluation

import (
	"slices"
	"time"
)

// Shape of the customers' load. All databases have the same load and are
// independent of each other.
const (
	usualLoad       = 0.7                   // share of all slots in use while every customer keeps its rate
	tenfold         = 10                    // Factor of the runs in which one customer exceeds its rate
	meanServiceTime = 10 * time.Millisecond // for which a request occupies a slot
	requestDeadline = 2 * time.Second
	largeWeight     = 5                     // of a large customer; others have 1
	largeEvery      = 4                     // every fourth customer is large, the first one too
	expireEvery     = 50 * time.Millisecond // how often queued requests past their deadline are refused
)

// Queueing is a queueing discipline for a database's slots.
type Queueing string

// The queueing disciplines.
const (
	DeficitRoundRobin Queueing = "deficit round robin"
	FirstCome         Queueing = "first come first served"
)

// Mix is a distribution of customers' weights. Rates are proportional to weights.
type Mix string

// The mixes.
const (
	Alike    Mix = "alike"
	FewLarge Mix = "few large"
)

// weight returns the weight of customer i.
func (m Mix) weight(i int) int {
	if m == FewLarge && i%largeEvery == 0 {
		return largeWeight
	}
	return 1
}

// CustomerRun holds the waits, refusals and slot time of customers in one run at one
// deployment. Waits are those of requests that got a slot. The first customer sends
// Factor times its rate; it is a large one if the mix is FewLarge.
type CustomerRun struct {
	Site          string    `json:"site"`
	Mix           Mix       `json:"mix"`
	Queueing      Queueing  `json:"queueing"`
	Factor        float64   `json:"factor"`
	Databases     int       `json:"databases"`
	Slots         int       `json:"slotsPerDatabase"`
	WorstRatio    float64   `json:"worstRatioToFairShare"` // minimum of Ratios
	Ratios        []float64 `json:"ratiosToFairShare"`     // slot time over fair share, by customer
	OthersP99Ms   float64   `json:"othersP99WaitMs"`       // over all customers but the first
	WorstP99Ms    float64   `json:"worstP99WaitMs"`        // highest of any customer but the first
	OthersRefused float64   `json:"othersRefusedPercent"`  // over all customers but the first
}

var mixes = []Mix{Alike, FewLarge}

// load describes one simulated run of the customers' requests.
type load struct {
	size     Size
	mix      Mix
	queueing Queueing
	factor   float64
	duration time.Duration
	seed     uint64
}

// customerTasks returns the tasks that measure the customers' waits and slot time,
// for each mix, queueing discipline and factor.
func (r *Results) customerTasks(size Size) []func() {
	p := r.Plan
	var out []func()
	for _, mix := range mixes {
		for _, queueing := range []Queueing{DeficitRoundRobin, FirstCome} {
			for _, factor := range []float64{1, tenfold} {
				l := load{size: size, mix: mix, queueing: queueing, factor: factor, duration: p.CustomerTime, seed: p.Seed}
				out = append(out, addTask(&r.Customers, l.measure))
			}
		}
	}
	return out
}

// customerTotals counts the requests, refusals, slot time and waits of one
// customer.
type customerTotals struct {
	weight   int
	requests int
	refused  int
	demanded time.Duration // slot time of all its requests
	served   time.Duration // slot time of those that got a slot
	waits    []time.Duration
}

// measure simulates every database of the deployment and sums the results by
// customer.
func (l load) measure() CustomerRun {
	databases := l.size.Services * l.size.Databases
	totals := make([]customerTotals, l.size.Customers)
	for i := range totals {
		totals[i].weight = l.mix.weight(i)
	}
	for d := range databases {
		s := newSlotSim(l, l.seed+uint64(d)<<32)
		s.run()
		for i, t := range s.totals {
			totals[i].add(t)
		}
	}
	capacity := time.Duration(databases*l.size.Slots) * l.duration
	out := CustomerRun{
		Site: l.size.Name, Mix: l.mix, Queueing: l.queueing, Factor: l.factor,
		Databases: databases, Slots: l.size.Slots, Ratios: ratios(totals, capacity),
	}
	out.WorstRatio = slices.Min(out.Ratios)
	out.recordOthers(totals[1:])
	return out
}

// recordOthers sets the waits and refusals of the customers that keep their rate.
func (c *CustomerRun) recordOthers(all []customerTotals) {
	var waits []time.Duration
	requests, refused := 0, 0
	for _, t := range all {
		waits = append(waits, t.waits...)
		c.WorstP99Ms = max(c.WorstP99Ms, p99(t.waits))
		requests += t.requests
		refused += t.refused
	}
	c.OthersP99Ms = p99(waits)
	c.OthersRefused = 100 * float64(refused) / float64(max(requests, 1))
}

func (t *customerTotals) add(o customerTotals) {
	t.requests += o.requests
	t.refused += o.refused
	t.demanded += o.demanded
	t.served += o.served
	t.waits = append(t.waits, o.waits...)
}

// p99 sorts waits and returns their 99th percentile in milliseconds.
func p99(waits []time.Duration) float64 {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return float64(waits[len(waits)*99/100].Microseconds()) / 1000
}

// ratios returns each customer's slot time divided by its fair share.
func ratios(all []customerTotals, capacity time.Duration) []float64 {
	shares := fairShares(all, capacity)
	out := make([]float64, len(all))
	for i, t := range all {
		out[i] = t.served.Seconds() / shares[i].Seconds()
	}
	return out
}

// fairShares returns each customer's weighted max-min fair share of the capacity, at
// most what it demanded.
func fairShares(all []customerTotals, capacity time.Duration) []time.Duration {
	out := make([]time.Duration, len(all))
	order := make([]int, len(all))
	weights := 0
	for i, t := range all {
		order[i] = i
		weights += t.weight
	}
	perWeight := func(i int) float64 { return all[i].demanded.Seconds() / float64(all[i].weight) }
	slices.SortFunc(order, func(a, b int) int {
		if perWeight(a) < perWeight(b) {
			return -1
		}
		return 1
	})
	for _, i := range order {
		share := capacity * time.Duration(all[i].weight) / time.Duration(weights)
		out[i] = min(share, all[i].demanded)
		capacity -= out[i]
		weights -= all[i].weight
	}
	return out
}
