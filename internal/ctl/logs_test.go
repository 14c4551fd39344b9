package ctl_test

import (
	"context"
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/internal/ctl"
	"github.com/bronzeloft/bronzeloft/internal/standin/site"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/platform"
	"github.com/bronzeloft/bronzeloft/position"
)

// updateHook is called before each update of a site's store; nil for none.
var updateHook func()

type beforeUpdate struct{ ctl.SiteStore }

func (s beforeUpdate) Update(ctx context.Context, kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	if updateHook != nil {
		updateHook()
	}
	return s.SiteStore.Update(ctx, kind, name, version, value)
}

// Guards against a service that stays without a primary because nobody can tell it that a
// database never returns.
var _ = Describe("bronzeloftctl log", func() {
	var store *site.Store

	BeforeEach(func() {
		var err error
		store, err = site.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { store.Close(); updateHook = nil })
	})

	put := func(kind, name string, value any) {
		encoded, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		store.Put(kind, name, string(encoded))
	}
	putRoster := func() {
		put(succession.KindRosters, "stock-db", succession.Roster{Primary: "i-1", Term: 3, Databases: map[string]succession.Place{
			"i-1": {Address: "10.1.0.1:5432", DataCentre: "cluj", StartMillis: 1000},
			"i-2": {Address: "10.1.0.2:5432", DataCentre: "cluj", StartMillis: 2000, Retiring: true},
			"i-3": {Address: "10.2.0.3:5432", DataCentre: "iasi", StartMillis: 3000},
		}})
		put(succession.KindLeases, "stock-db", succession.Lease{Released: true, Term: 4, Floor: position.Position{Term: 3, Index: 120}})
		list := func(id string, born int) {
			put(platform.KindDatabases, id, map[string]any{"service": "stock-db", "address": "10.2.0.3:5432", "zone": "iasi", "version": "1", "slots": 4, "state": "ready", "coldLeftMs": 0, "dbRole": "replica", "seq": 1, "born": born})
		}
		list("i-2", 2500) // another process under its id
		list("i-3", 3000)
		store.Put(platform.KindDatabases, "odd", `"of another writer"`)
	}
	stored := func() (roster succession.Roster) {
		o, err := platform.NewStore(platform.StoreConfig{BaseURL: store.URL(), Timeout: answerTimeout}).Get(context.Background(), succession.KindRosters, "stock-db")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(o.Value, &roster)).To(Succeed())
		return roster
	}
	abandon := func(args ...string) result {
		return run(append([]string{"--platform", store.URL(), "log", "abandon", "--service", "stock-db"}, args...)...)
	}

	It("lists the databases of each roster and what is known of them", func() {
		putRoster()
		put(succession.KindRosters, "forum-db", succession.Roster{Databases: map[string]succession.Place{"i-9": {Abandoned: true}}})
		store.Put(succession.KindRosters, "odd", `"of another writer"`)
		res := run("--platform", store.URL(), "log", "list")
		Expect(res.code).To(Equal(ctl.ExitOK), res.err)
		Expect(res.err).To(ContainSubstring(`roster of service "odd" cannot be decoded`))
		lines := strings.Split(strings.TrimSpace(res.out), "\n")
		Expect(lines).To(HaveLen(5))
		Expect(lines[1]).To(MatchRegexp(`^forum-db +i-9 .*not listed, abandoned$`))
		Expect(lines[2]).To(MatchRegexp(`^stock-db +i-1 +1000 +10.1.0.1:5432 +cluj +not listed, primary$`))
		Expect(lines[3]).To(MatchRegexp(`i-2 +2000 .*not listed, retiring$`))
		Expect(lines[4]).To(MatchRegexp(`i-3 +3000 .* listed$`))

		var parsed []map[string]any
		Expect(json.Unmarshal([]byte(run("--json", "--platform", store.URL(), "log", "list", "--service", "stock-db").out), &parsed)).To(Succeed())
		Expect(parsed).To(HaveLen(3))
		Expect(parsed[2]).To(And(HaveKeyWithValue("database", "i-3"), HaveKeyWithValue("listed", true)))
	})

	It("shows what would be lost, and changes nothing unless it is confirmed", func() {
		putRoster()
		res := abandon("--database", "i-2")
		Expect(res.code).To(Equal(ctl.ExitOK), res.err)
		Expect(res.out).To(And(ContainSubstring("newest known term 4; every later successor's log reaches 3/120"),
			ContainSubstring("would be lost: every commit, acknowledged ones included, that only the log of i-2 holds"),
			ContainSubstring("nothing was changed; to abandon it: bronzeloftctl log abandon --service stock-db --database i-2 --start 2000 --confirm"),
			ContainSubstring("must still read i-1, i-3")))
		Expect(stored().Databases["i-2"].Abandoned).To(BeFalse())
	})

	It("abandons the log of the start that was confirmed, and nothing else of the roster", func() {
		putRoster()
		res := abandon("--database", "i-2", "--start", "2000", "--confirm")
		Expect(res.code).To(Equal(ctl.ExitOK), res.err)
		Expect(res.out).To(ContainSubstring("the log of i-2 is abandoned"))
		roster := stored()
		Expect(roster.Databases["i-2"]).To(Equal(succession.Place{Address: "10.1.0.2:5432", DataCentre: "cluj", StartMillis: 2000, Retiring: true, Abandoned: true}))
		Expect(roster.Databases["i-1"].Abandoned).To(BeFalse())
		Expect(roster.Primary).To(Equal("i-1"))
		Expect(roster.Databases).To(HaveLen(3))

		updateHook = func() { Fail("a log that is abandoned already is not abandoned again") }
		Expect(abandon("--database", "i-2", "--start", "2000", "--confirm").code).To(Equal(ctl.ExitOK))

		By("abandoning the primary as well")
		updateHook = nil
		var parsed map[string]any
		res = run("--json", "--platform", store.URL(), "log", "abandon", "--service", "stock-db", "--database", "i-1", "--start", "1000", "--confirm")
		Expect(json.Unmarshal([]byte(res.out), &parsed)).To(Succeed())
		Expect(parsed).To(And(HaveKeyWithValue("abandoned", true), HaveKeyWithValue("needed", ConsistOf("i-3"))))
		Expect(stored().Databases["i-1"].Abandoned).To(BeTrue())
	})

	It("shows earlier processes of a database that has restarted, and gives up their logs although the platform lists it", func() {
		putRoster()
		put(succession.KindRosters, "stock-db", succession.Roster{Primary: "i-1", Term: 3, Databases: map[string]succession.Place{"i-3": {StartMillis: 3000, FormerStarts: []int64{1500}}}})
		lines := strings.Split(run("--platform", store.URL(), "log", "list").out, "\n")
		Expect(lines[1]).To(MatchRegexp(`i-3 +3000 .* listed$`))
		Expect(lines[2]).To(MatchRegexp(`i-3 +1500 .* not listed, earlier process$`))
		Expect(abandon("--database", "i-3", "--start", "1500", "--confirm").code).To(Equal(ctl.ExitOK))
		Expect(stored().Databases["i-3"]).To(Equal(succession.Place{StartMillis: 3000, FormerStarts: []int64{1500}, Abandoned: true}))
	})

	It("gives up the newest process of a database only after its earlier ones, and only if it is not listed", func() {
		put(succession.KindRosters, "stock-db", succession.Roster{Primary: "i-1", Term: 3, Databases: map[string]succession.Place{"i-2": {StartMillis: 3000, FormerStarts: []int64{1500}}}})
		res := abandon("--database", "i-2", "--start", "3000", "--confirm")
		Expect(res.code).To(Equal(ctl.ExitRefused))
		Expect(res.err).To(ContainSubstring("earlier processes"))
		Expect(abandon("--database", "i-2", "--start", "1500", "--confirm").code).To(Equal(ctl.ExitOK))
		Expect(stored().Databases["i-2"].GivenUp(1500)).To(BeTrue())
		Expect(stored().Databases["i-2"].GivenUp(3000)).To(BeFalse())
		Expect(abandon("--database", "i-2", "--start", "3000", "--confirm").code).To(Equal(ctl.ExitOK))
		Expect(stored().Databases["i-2"]).To(Equal(succession.Place{StartMillis: 3000, Abandoned: true}))
	})

	DescribeTable("refuses with exit code 1 and without a change", func(reason string, args ...string) {
		putRoster()
		updateHook = func() { Fail("the roster was updated") }
		res := abandon(append(args, "--confirm")...)
		Expect(res.code).To(Equal(ctl.ExitRefused))
		Expect(res.err).To(ContainSubstring(reason))
	},
		Entry("a database that is not on the roster", "not on the roster", "--database", "i-8", "--start", "1"),
		Entry("another start than the recorded one", "another start", "--database", "i-2", "--start", "2001"),
		Entry("a database that the platform lists", "it runs", "--database", "i-3", "--start", "3000"),
	)

	It("refuses a service without a roster", func() {
		Expect(abandon("--database", "i-2").code).To(Equal(ctl.ExitRefused))
		Expect(run("--platform", store.URL(), "log", "list", "--service", "stock-db").code).To(Equal(ctl.ExitRefused))
	})

	It("exits 3 without a change when the roster changes meanwhile, and 4 when the store is away", func() {
		putRoster()
		updateHook = putRoster
		Expect(abandon("--database", "i-2", "--start", "2000", "--confirm").code).To(Equal(ctl.ExitConflict))
		Expect(stored().Databases["i-2"].Abandoned).To(BeFalse())
		store.SetDown(true)
		Expect(abandon("--database", "i-2", "--start", "2000", "--confirm").code).To(Equal(ctl.ExitUnavailable))
	})
})
