package succession_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
)

// Guards against a wait that nothing but a primary ends: the process that runs is taken for one
// that has ended, and no answer of it counts.
var _ = Describe("a roster that a host with an outdated list writes", func() {
	process := func(id string, start int64) routes.Database {
		return routes.Database{ID: id, Service: "orders", Address: id + ":1", DataCentre: "x", StartMillis: start}
	}
	a, before, after := process("a", 7), process("c", 7), process("c", 8)
	var roster succession.Roster

	BeforeEach(func() {
		roster, _ = succession.Roster{}.Update([]routes.Database{a, before}, "a", 1)
		roster, _ = roster.Update([]routes.Database{a, after}, "a", 1)
		Expect(roster.Databases["c"].FormerStarts).To(Equal([]int64{7}))
	})

	It("does not have the later process of a database as the former one", func() {
		roster, _ = roster.Update([]routes.Database{a, before}, "a", 1)
		Expect(roster.Databases["c"].FormerStarts).NotTo(ContainElement(after.StartMillis))
	})

	It("does not have the process that runs as a former one after the next write", func() {
		roster, _ = roster.Update([]routes.Database{a, before}, "a", 1)
		roster, _ = roster.Update([]routes.Database{a, after}, "a", 1)
		Expect(roster.Databases["c"].FormerStarts).To(Equal([]int64{7}))
	})
})
