package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/position"
)

// Guards against the record of issue 39, from which nobody could tell why a database whose
// log had the lost commits was passed over.
var _ = Describe("log of the databases that a replacement has not read", func() {
	var (
		dbs *group
		p   *fakePlatform
		out *lineBuffer
		g   *Gateway
		svc *service
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		p = newFakePlatform(dbs)
		out = &lineBuffer{}
		g = newLoggingTestGateway(p, slog.New(slog.NewJSONHandler(out, nil)))
		svc = g.service(testService)
		svc.recordPrimary("a", position.Position{Term: 1, Index: 10}, time.Now())
	})

	record := func(places map[string]succession.Place) {
		value, err := json.Marshal(succession.Roster{Primary: "a", Term: 1, Databases: places})
		Expect(err).NotTo(HaveOccurred())
		_, err = p.api.Create(context.Background(), kindRosters, testService, value)
		Expect(err).NotTo(HaveOccurred())
	}

	It("names, in a line that a record cuts, the listed database for which no successor is chosen, and how its address behaves", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive = true })
		dbs.withLock(func() { delete(dbs.databases, "c") })
		record(map[string]succession.Place{"a": {Address: "a", DataCentre: "dc-a"}, "b": {Address: "b", DataCentre: "dc-a"}, "c": {Address: "c", DataCentre: "dc-a"}})
		runAttempt(svc, succession.Silent)
		Expect(out.record("")).To(MatchRegexp(`"No successor was chosen.","candidates":"b 1/10 established listed, c unread refused awaited recorded established listed"`))
		line := out.matching("No successor was chosen.")[0]
		Expect(line).To(And(HaveKeyWithValue("unread", "c refused awaited recorded, a error primary recorded"),
			HaveKeyWithValue("primary", "a"), HaveKeyWithValue("reason", "silent")))
	})

	It("says of an unlisted database that is passed over how its address behaved, that it is not recorded, and for how long it has not been listed", func() {
		dbs.withLock(func() {
			dbs.databases["a"].unresponsive = true
			delete(dbs.databases, "c")
		})
		record(map[string]succession.Place{"a": {Address: "a", DataCentre: "dc-a"}, "b": {Address: "b", DataCentre: "dc-a"}})
		svc.mu.Lock()
		listed := slices.Collect(maps.Values(map[string]routes.Database{"a": {ID: "a", Service: testService, Address: "a", DataCentre: "dc-a"}, "b": {ID: "b", Service: testService, Address: "b", DataCentre: "dc-a"}}))
		svc.table.SetDatabases(listed, time.Now().Add(-8500*time.Millisecond))
		svc.table.Expire(time.Now())
		Expect(svc.table.Former()).To(HaveLen(1))
		svc.mu.Unlock()
		runAttempt(svc, succession.Silent)
		Eventually(out.matching).WithArguments("Replacement ended.").WithTimeout(4 * time.Second).Should(HaveLen(1))
		Expect(out.record("")).To(MatchRegexp(`"Successor chosen.","candidates":"b 1/10 established listed paused, c unread refused passed_over not_recorded unlisted 8s"`))
		Expect(out.record("")).To(MatchRegexp(`"Replacement ended.",.*"logs":"b 1/10p>=p?>=, a ->->-, c -r>->-r"`))
		Expect(out.matching("Replacement ended.")[0]).To(HaveKeyWithValue("unread", "a error primary recorded, c refused passed_over not_recorded unlisted 8s"))
	})

	It("says that the record is of an earlier start of a database, and that the log of another one was abandoned", func() {
		dbs.withLock(func() { dbs.databases["a"].unresponsive, dbs.databases["c"].unresponsive = true, true })
		record(map[string]succession.Place{"a": {Address: "a", StartMillis: 7}, "c": {Address: "c", DataCentre: "dc-a", Abandoned: true}})
		runAttempt(svc, succession.Silent)
		Expect(out.matching("Successor chosen.")).To(ConsistOf(HaveKeyWithValue("unread", MatchRegexp(`^a earlier_start primary recorded, a error primary (not_)?recorded, c error passed_over abandoned recorded$`))))
	})

	DescribeTable("tells how an address behaves", func(err error, want failure) {
		Expect(failureOf(fmt.Errorf("dial: %w", err))).To(Equal(want))
	},
		Entry("nothing listens", syscall.ECONNREFUSED, failureRefused),
		Entry("another database answers", errkind.New(errkind.WrongDatabase, "i-2"), failureOther),
		Entry("closed", io.EOF, failureReset),
		Entry("reset", syscall.ECONNRESET, failureReset),
		Entry("silent", context.DeadlineExceeded, failureSilent),
		Entry("overloaded", errkind.New(errkind.DatabaseBusy, "i-2"), failure("database_busy")),
		Entry("no route", syscall.EHOSTUNREACH, failureError),
	)

	It("keeps what earlier tries have shown when the last one is cut short", func() {
		Expect(laterFailure(failureReset, failureSilent)).To(Equal(failureReset))
		Expect(laterFailure(failureSilent, failureRefused)).To(Equal(failureRefused))
		Expect(laterFailure("", failureSilent)).To(Equal(failureSilent))
	})
})
