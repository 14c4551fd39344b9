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

func idle(string) float64 { return 0 }

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

	It("treats the announced primary as the leader until another database proves to be the primary, and ignores an older proof", func() {
		Expect(leader()).To(Equal("a"))
		table.RecordLeader("b", 2, at(10))
		Expect(leader()).To(Equal("b"))
		table.RecordLeader("a", 1, at(5)) // sent before the proof of b
		Expect(leader()).To(Equal("b"))
		Expect(table.Term()).To(BeEquivalentTo(2))
	})

	It("knows since when a missing or a former database has not been listed", func() {
		table.SetDatabases(list()[:2], at(1000))
		Expect(table.MissingSince("c")).To(Equal(at(1000)))
		table.Expire(at(60_000))
		Expect(table.Former()).To(HaveLen(1))
		Expect(table.MissingSince("c")).To(Equal(at(1000)))
		Expect(table.MissingSince("a")).To(BeZero())
		table.SetDatabases(list(), at(120_000))
		Expect(table.MissingSince("c")).To(BeZero())
	})

	It("treats a database as the leader once it starts to announce itself as the primary", func() {
		table.RecordLeader("a", 1, at(10))
		changed := list()
		changed[0].Primary, changed[1].Primary = false, true
		table.SetDatabases(changed, at(20))
		Expect(leader()).To(Equal("b"))
	})

	It("counts a replica as a witness while it is listed and answers, and a new one only after WitnessAfter", func() {
		Expect(table.Established(at(0))).To(BeEmpty(), "those of the first list may have just started")
		Expect(table.Established(at(0).Add(lead.EstablishedAfter))).To(Equal([]string{"b", "c"}))
		table.SetDatabases(append(list()[:2], db("d", "z", false)), at(100))
		Expect(table.Established(at(100))).To(BeEmpty())
		Expect(table.Established(at(0).Add(lead.EstablishedAfter))).To(Equal([]string{"b"}))
		Expect(table.Established(at(100).Add(lead.EstablishedAfter))).To(Equal([]string{"b", "d"}))

		restarted := db("b", "y", false)
		restarted.StartMillis = 5
		table.SetDatabases([]routes.Database{db("a", "x", true), restarted, db("d", "z", false)}, at(3000))
		Expect(table.Established(at(3000))).To(Equal([]string{"d"}))
		table.RecordFailure("d", at(3000), true)
		table.RecordFailure("d", at(3100), true)
		Expect(table.Established(at(3400))).To(BeEmpty())
	})

	It("drops a leader that answers that it is not the primary, unless that call was sent before the proof", func() {
		table.RecordLeader("a", 1, at(10))
		table.RecordNotLeader("a", at(5))
		Expect(leader()).To(Equal("a"))
		table.RecordNotLeader("a", at(15))
		Expect(leader()).To(BeEmpty())
	})

	It("keeps a database for MissingRetention after its entry is removed, and lists it as former afterwards", func() {
		table.SetDatabases(list()[1:], at(0))
		Expect(table.Listed("a")).To(BeFalse())
		Expect(leader()).To(Equal("a"))
		table.SetDatabases(list(), at(1500))
		Expect(table.Listed("a")).To(BeTrue())
		table.SetDatabases(list()[1:], at(2000))
		table.Expire(at(2000).Add(lead.MissingRetention))
		Expect(leader()).To(BeEmpty())
		Expect(table.Former()).To(ConsistOf(HaveField("ID", "a")))
		table.SetDatabases(list(), at(9000))
		Expect(table.Former()).To(BeEmpty())
	})

	It("takes the first database that reports it for the primary of a term, and another one only once that has ended", func() {
		table.RecordLed(2, "a")
		table.RecordLed(2, "b")
		Expect(table.Led(2)).To(Equal("a"))
		Expect(table.LedTerm("b")).To(BeZero())

		By("listing another one at its address")
		again := db("d", "x", true)
		again.Address = "a"
		table.SetDatabases(append(list(), again), at(1000))
		table.RecordLed(2, "d")
		Expect(table.Led(2)).To(Equal("d"))
		table.RecordLed(2, "b")
		Expect(table.LedTerm("d")).To(BeEquivalentTo(2))

		By("listing it no more")
		table.SetDatabases(list()[1:], at(2000))
		table.RecordLed(2, "a")
		Expect(table.Led(2)).To(Equal("d"), "one that is not listed either")
		table.RecordLed(2, "b")
		Expect(table.Led(2)).To(Equal("b"))
	})

	It("discards the recorded state of a database that has restarted", func() {
		table.RecordLeader("a", 1, at(10))
		again := list()
		again[0].StartMillis, again[0].Primary = 7, false
		Expect(table.SetDatabases(again, at(20))).To(Equal([]string{"a"}))
		Expect(leader()).To(BeEmpty())
	})

	It("reports a database unreachable after repeated failures over silentAfter, not after a single one", func() {
		table.RecordFailure("a", at(0), false)
		Expect(table.Unreachable("a", at(5000))).To(BeFalse())
		table.RecordFailure("a", at(300), false)
		Expect(table.Unreachable("a", at(500))).To(BeFalse())
		Expect(table.Unreachable("a", at(700))).To(BeTrue())
		table.RecordAnswer("a", at(800))
		Expect(table.Unreachable("a", at(801))).To(BeFalse())
	})

	It("ignores failures of calls that were sent before an answered one", func() {
		table.RecordAnswer("a", at(500))
		table.RecordFailure("a", at(100), false)
		table.RecordFailure("a", at(200), false)
		Expect(table.Unreachable("a", at(2000))).To(BeFalse())
	})

	It("reports a database unreachable sooner when it refuses connections", func() {
		table.RecordFailure("a", at(0), true)
		table.RecordFailure("a", at(100), true)
		Expect(table.Unreachable("a", at(200))).To(BeTrue())
	})

	It("orders readers: local replicas, remote replicas, the primary, avoided databases; a leaving one is left out", func() {
		Expect(table.Readers("shop", "y", idle, at(0))).To(Equal([]string{"b", "c", "a"}))
		table.Avoid("b", at(100))
		Expect(table.Readers("shop", "y", idle, at(50))).To(Equal([]string{"c", "a", "b"}))
		Expect(table.Readers("shop", "y", idle, at(150))).To(Equal([]string{"b", "c", "a"}))
		leaving := list()
		leaving[1].Leaving = true
		table.SetDatabases(leaving, at(200))
		Expect(table.Readers("shop", "y", idle, at(250))).To(Equal([]string{"c", "a"}))
	})

	It("uses a primary in the same data centre for reads while it is mostly idle", func() {
		primaryLoad := 0.0
		load := func(id string) float64 {
			if id == "a" {
				return primaryLoad
			}
			return 0
		}
		Expect(table.Readers("shop", "x", load, at(0))[0]).To(Equal("a"))
		primaryLoad = 0.6
		Expect(table.Readers("shop", "x", load, at(0))[2]).To(Equal("a"))
		Expect(table.Readers("shop", "y", idle, at(0))[2]).To(Equal("a"), "not from another data centre")
	})

	It("prefers a replica with a free slot in another data centre to one that statements wait for", func() {
		busy := map[string]float64{"b": 1}
		load := func(id string) float64 { return busy[id] }
		Expect(table.Readers("shop", "y", load, at(0))).To(Equal([]string{"c", "b", "a"}))
		busy["c"] = 2
		Expect(table.Readers("shop", "y", load, at(0))).To(Equal([]string{"b", "c", "a"}), "both have a queue: the near one")
	})

	It("gives each customer a stable order and spreads customers over the replicas", func() {
		Expect(table.Readers("shop", "w", idle, at(0))).To(Equal(table.Readers("shop", "w", idle, at(1))))
		firsts := map[string]bool{}
		for _, customer := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			firsts[table.Readers(customer, "w", idle, at(0))[0]] = true
		}
		Expect(firsts).To(HaveLen(2))
	})
})
