package allotment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// crowded is the number of customers for each connection of an even share above which
// connections are scarce: fewer than a third of the customers find one.
const crowded = 3

// Scarce reports whether a service's connections are divided by demand: there are so many
// customers for each connection of an even share that most statements open one.
func Scarce(customers, evenShare int) bool { return customers > crowded*evenShare }

// minChange is the least change of a loan, in parts of the even share: one connection more or
// less is not worth the closing of one and the opening of another.
const minChange = 4

// lend returns what this host lends now, by data centre and database.
func (t *Table) lend(now time.Time) map[string]map[string]int {
	out := map[string]map[string]int{}
	borrowers := t.borrowers(now)
	if len(borrowers) == 0 {
		return out
	}
	for id, even := range t.even {
		demand := []float64{t.demand[id]}
		for _, name := range borrowers {
			demand = append(demand, t.peers[name].demand[id])
		}
		wanted := Divide(even*len(demand), Keep(even), demand)
		for i, n := range surplusTo(wanted, even) {
			name := borrowers[i]
			p := t.peers[name]
			if last := p.lastLent(id); n > 0 && last > 0 && abs(n-last) < max(1, even/minChange) {
				n = last
			}
			if n = min(n, t.room(id, name, out, now)); n <= 0 {
				continue
			}
			if out[name] == nil {
				out[name] = map[string]int{}
			}
			out[name][id] = n
		}
	}
	return out
}

// borrowers returns the sorted data centres whose home hosts can be lent to: they have
// announced something lately, and know this tenure.
func (t *Table) borrowers(now time.Time) []string {
	var out []string
	for name, p := range t.peers {
		if p.knowsUs && now.Sub(p.heardAt) < LoanTerm/2 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// lastLent returns what the last announcement lent to the peer.
func (p *peer) lastLent(id string) int {
	if len(p.given) == 0 {
		return 0
	}
	return p.given[len(p.given)-1].lent[id]
}

// room returns how many connections to a database can be lent to a data centre, beside the
// loans that are outstanding or decided in this round.
func (t *Table) room(id, to string, decided map[string]map[string]int, now time.Time) int {
	n := t.even[id] - max(Keep(t.even[id]), t.inUse[id])
	for name, p := range t.peers {
		if name == to {
			n -= p.formerLent(id, now)
			continue
		}
		n -= max(p.outstanding(id, now), decided[name][id]+p.formerLent(id, now))
	}
	return n
}

// Divide divides total connections among data centres: keep for each and the rest in
// proportion to their demands, or evenly if there is none.
func Divide(total, keep int, demand []float64) []int {
	sum := 0.0
	for _, d := range demand {
		sum += d
	}
	out := make([]int, len(demand))
	type remainder struct {
		index int
		part  float64
	}
	var rest []remainder
	left := total - keep*len(demand)
	shared := float64(left)
	for i, d := range demand {
		exact := shared / float64(len(demand))
		if sum > 0 {
			exact = shared * d / sum
		}
		whole := int(math.Floor(exact))
		out[i] = keep + whole
		left -= whole
		rest = append(rest, remainder{i, exact - float64(whole)})
	}
	slices.SortStableFunc(rest, func(a, b remainder) int { return cmp.Compare(b.part, a.part) })
	for _, r := range rest {
		if left <= 0 {
			break
		}
		out[r.index]++
		left--
	}
	return out
}

// surplusTo returns how many connections the first data centre lends to each of the others,
// in proportion to what they want beyond the even share.
func surplusTo(wanted []int, even int) []int {
	out := make([]int, len(wanted)-1)
	missing := 0
	for _, n := range wanted[1:] {
		missing += max(0, n-even)
	}
	surplus := even - wanted[0]
	if surplus <= 0 || missing == 0 {
		return out
	}
	for i, n := range wanted[1:] {
		out[i] = min(surplus, max(0, n-even)*surplus/missing)
	}
	return out
}

func abs(n int) int { return max(n, -n) }
