package choice

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load: 200 reads per second for a minute over four databases, nine customers. A fifth
// of the reads are those of one customer and take six times as long as the others.
var _ = Describe("customers whose reads take unequal time", func() {
	const reads = 12000
	// play returns how often a customer changed its database, and the reads of each database.
	play := func(factor map[string]time.Duration) (moves int, served map[string]int) {
		t, draws := New("dc-a"), rand.New(rand.NewSource(GinkgoRandomSeed()))
		var candidates []Candidate
		for _, id := range []string{"a", "b", "c", "d"} {
			candidates = append(candidates, Candidate{ID: id, DataCentre: "dc-a", Usable: true, Slots: 20})
		}
		last := map[string]string{}
		served = map[string]int{}
		for i := range reads {
			now := time.Unix(1000, 0).Add(time.Duration(i) * 5 * time.Millisecond)
			customer, class, took := fmt.Sprint("short-", draws.Intn(8)), "short", 10*time.Millisecond
			if draws.Float64() < 0.2 {
				customer, class, took = "long", "long", 60*time.Millisecond
			}
			id := t.Choose(Read{Customer: customer, Draw: draws.Float64()}, candidates, now).Order[0]
			if last[customer] != id {
				moves++
			}
			last[customer] = id
			served[id]++
			took = max(1, factor[id]) * time.Duration(float64(took)*(1+0.2*draws.Float64()))
			if i%10 == 0 {
				t.RecordRoundTrip("dc-a", time.Millisecond, now)
			}
			t.RecordAnswer(id, "dc-a", t.Comparable(class, "dc-a", took, now), 100, now)
			t.Changes()
		}
		return moves, served
	}

	// Each change is a new connection, of which databases accept few.
	It("stay at their databases, which are equal", func() {
		moves, _ := play(nil)
		Expect(moves).To(BeNumerically("<", reads/100))
	})

	It("leave a database that is five times slower", func() {
		_, served := play(map[string]time.Duration{"d": 5})
		Expect(served["d"]).To(BeNumerically("<", reads/20))
	})
})
