package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("request log", func() {
	It("limits its lines per second during a flood of failures and reports how many it suppressed", func() {
		var out bytes.Buffer
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		g := newTestGateway(newFakePlatform(newGroup("a")))
		g.requestLog = newRequestLog(slog.New(slog.NewJSONHandler(&out, nil)), func() time.Time { return now })
		s := newTestSession(g, "own")

		const perSecond, seconds = 500, 4
		err := errkind.New(errkind.OverRate, "retry after 5 ms")
		for range seconds {
			for range perSecond {
				g.requestLog.failed(s, &operation{Request: request(statement.Read)}, err)
				g.requestLog.served(s, &operation{Request: request(statement.Read)}, statement.Answer{})
			}
			now = now.Add(time.Second)
		}
		g.requestLog.failed(s, &operation{Request: request(statement.Read)}, err)

		lines := map[string]int{}
		suppressed := 0
		for line := range bytes.Lines(out.Bytes()) {
			var entry struct {
				Msg, ID, Kind, Outcome string
				Lines                  int
			}
			Expect(json.Unmarshal(line, &entry)).To(Succeed())
			lines[entry.Msg]++
			suppressed += entry.Lines
			if entry.Msg == "Request failed." {
				Expect(entry.ID).NotTo(BeEmpty())
				Expect(entry.Kind).To(Equal("over_rate"))
				Expect(entry.Outcome).To(Equal("not run"))
			}
		}
		Expect(lines["Request failed."]).To(Equal(seconds*failuresPerSecond + 1))
		Expect(lines["Request served."]).To(Equal(seconds * successesPerSecond))
		Expect(suppressed).To(Equal(seconds * (perSecond - failuresPerSecond)))
	})

	It("names requests whose outcome is unknown beside a flood of refused ones, up to their own limit", func() {
		out := &lineBuffer{}
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		g := newTestGateway(newFakePlatform(newGroup("a")))
		g.requestLog = newRequestLog(slog.New(slog.NewJSONHandler(out, nil)), func() time.Time { return now })
		s := newTestSession(g, "own")
		for range 500 {
			g.requestLog.failed(s, &operation{Request: request(statement.Write)}, errkind.New(errkind.NoPrimary, "none"))
		}
		for range 2 * failuresPerSecond {
			g.requestLog.failed(s, &operation{Request: request(statement.Write)}, errkind.New(errkind.OutcomeUnknown, "lost"))
		}
		Expect(out.matching(`"kind":"outcome_unknown"`)).To(HaveLen(failuresPerSecond))
		Expect(out.matching(`"kind":"no_primary"`)).To(HaveLen(failuresPerSecond))
		now = now.Add(time.Second)
		g.requestLog.failed(s, &operation{Request: request(statement.Write)}, errkind.New(errkind.OutcomeUnknown, "lost"))
		Expect(out.matching("Suppressed")).To(ConsistOf(HaveKeyWithValue("lines", BeNumerically("==", (500-failuresPerSecond)+failuresPerSecond))))
	})

	It("logs refused sessions of one kind at most once in a while, with the number omitted", func() {
		out := &lineBuffer{}
		now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
		g := newTestGateway(newFakePlatform(newGroup("a")))
		g.requestLog = newRequestLog(slog.New(slog.NewJSONHandler(out, nil)), func() time.Time { return now })
		refuse := func(name string, kind errkind.Kind) {
			newSession(g, &rejectedCaller{}).reject(errkind.New(kind, "no route %s", name))
		}
		for i := range 40 {
			refuse(fmt.Sprint("x", i), errkind.UnknownDatabase)
		}
		refuse("own", errkind.BadKey)
		g.requestLog.failed(newTestSession(g, "own"), &operation{Request: request(statement.Read)}, errkind.New(errkind.UnknownDatabase, "gone"))
		Expect(out.matching("Request failed.")).To(HaveLen(3))
		Expect(out.matching("no route x0")).To(HaveLen(1))
		now = now.Add(refusedSessionEvery)
		refuse("y", errkind.UnknownDatabase)
		Expect(out.matching("no route y")).To(ConsistOf(And(HaveKeyWithValue("omitted", BeNumerically("==", 39)), HaveKeyWithValue("kind", "unknown_database"))))
		Expect(out.matching("Suppressed")).To(BeEmpty())
	})
})

// rejectedCaller is a caller that is only told why it is rejected.
type rejectedCaller struct{ Caller }

func (*rejectedCaller) Reject(*errkind.Error) error { return nil }
func (*rejectedCaller) Close() error                { return nil }
