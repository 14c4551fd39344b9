package lead_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/lead"
)

func TestLead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database/lead")
}

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func db(id, centre string, primary bool) routes.Database {
	return routes.Database{ID: id, Service: "s", Address: id, DataCentre: centre, Primary: primary}
}

var _ = Describe("the table of a service's databases", func() {
	var table *lead.Table
	list := func() []routes.Database {
		return []routes.Database{db("a", "x", true), db("b", "y", false), db("c", "z", false)}
	}

	BeforeEach(func() {
		table = lead.New()
		table.SetDatabases(list(), noon)
	})

	leader := func() string {
		l, ok := table.Leader()
		if !ok {
			return ""
		}
		return l.ID
	}

	It("takes an announced role for a hint and a proof for the truth", func() {
		Expect(leader()).To(Equal("a"))
		table.Proved("b", 2, at(10))
		Expect(leader()).To(Equal("b"))
		table.Proved("a", 1, at(5)) // asked before
		Expect(leader()).To(Equal("b"))
		Expect(table.Term()).To(BeEquivalentTo(2))
	})

	It("follows a database that begins to announce itself as the primary", func() {
		table.Proved("a", 1, at(10))
		changed := list()
		changed[0].Primary, changed[1].Primary = false, true
		table.SetDatabases(changed, at(20))
		Expect(leader()).To(Equal("b"))
	})

	It("drops a leader that denies it, but not for an answer older than its proof", func() {
		table.Proved("a", 1, at(10))
		table.Denied("a", at(5))
		Expect(leader()).To(Equal("a"))
		table.Denied("a", at(15))
		Expect(leader()).To(BeEmpty())
	})

	It("keeps a database for a while after its entry is gone, and remembers it afterwards", func() {
		table.SetDatabases(list()[1:], at(0))
		Expect(table.Listed("a")).To(BeFalse())
		Expect(leader()).To(Equal("a"))
		table.SetDatabases(list(), at(1500))
		Expect(table.Listed("a")).To(BeTrue())
		table.SetDatabases(list()[1:], at(2000))
		table.Expire(at(2000).Add(lead.MissingFor))
		Expect(leader()).To(BeEmpty())
		Expect(table.Former()).To(ConsistOf(HaveField("ID", "a")))
		table.SetDatabases(list(), at(9000))
		Expect(table.Former()).To(BeEmpty())
	})

	It("forgets what it knew of a database that started anew", func() {
		table.Proved("a", 1, at(10))
		again := list()
		again[0].Born, again[0].Primary = 7, false
		Expect(table.SetDatabases(again, at(20))).To(Equal([]string{"a"}))
		Expect(leader()).To(BeEmpty())
	})

	It("takes one lost answer for nothing and a steady silence for an unreachable database", func() {
		table.Failed("a", at(0), false)
		Expect(table.Unreachable("a", at(5000))).To(BeFalse())
		table.Failed("a", at(300), false)
		Expect(table.Unreachable("a", at(500))).To(BeFalse())
		Expect(table.Unreachable("a", at(700))).To(BeTrue())
		table.Answered("a", at(800))
		Expect(table.Unreachable("a", at(801))).To(BeFalse())
	})

	It("counts a failure of a call that was sent before one that was answered for nothing", func() {
		table.Answered("a", at(500))
		table.Failed("a", at(100), false)
		table.Failed("a", at(200), false)
		Expect(table.Unreachable("a", at(2000))).To(BeFalse())
	})

	It("notices sooner that nothing listens any more", func() {
		table.Failed("a", at(0), true)
		table.Failed("a", at(100), true)
		Expect(table.Unreachable("a", at(200))).To(BeTrue())
	})

	It("orders readers: near replicas, far ones, the primary, those in trouble", func() {
		Expect(table.Readers("shop", "y", at(0))).To(Equal([]string{"b", "c", "a"}))
		table.Avoid("b", at(100))
		Expect(table.Readers("shop", "y", at(50))).To(Equal([]string{"c", "a", "b"}))
		Expect(table.Readers("shop", "y", at(150))).To(Equal([]string{"b", "c", "a"}))
		leaving := list()
		leaving[1].Leaving = true
		table.SetDatabases(leaving, at(200))
		Expect(table.Readers("shop", "y", at(250))).To(Equal([]string{"c", "a"}))
	})

	It("gives each customer a stable order", func() {
		Expect(table.Readers("shop", "w", at(0))).To(Equal(table.Readers("shop", "w", at(1))))
		firsts := map[string]bool{}
		for _, customer := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			firsts[table.Readers(customer, "w", at(0))[0]] = true
		}
		Expect(firsts).To(HaveLen(2))
	})
})
