package logcut_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/logcut"
)

func TestLogcut(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "internal/logcut")
}

var start = time.Date(2026, 12, 6, 5, 31, 50, 0, time.UTC)

// entry returns a line of a log, written n seconds after start.
func entry(n int, level, msg, more string) string {
	return fmt.Sprintf(`{"time":%q,"level":%q,"msg":%q%s}`+"\n", start.Add(time.Duration(n)*time.Second).Format(time.RFC3339Nano), level, msg, more)
}

func cut(requests []string, from, until time.Time, lines ...string) []string {
	return logcut.Cut([]byte(strings.Join(lines, "")), requests, from, until)
}

var _ = Describe("cut log", func() {
	It("keeps the last warnings and failures, and no other lines", func() {
		got := cut(nil, time.Time{}, time.Time{},
			entry(0, "WARN", "Successor chosen.", ""),
			entry(1, "INFO", "Service has a primary.", ""),
			entry(2, "INFO", "Database did not answer.", `,"error":"timeout"`),
			entry(3, "WARN", "Promotion took effect.", ""),
			entry(4, "INFO", "Lease released.", `,"fence":7`),
			entry(5, "INFO", "Suppressed log lines about failed requests.", ""),
			entry(6, "INFO", "Request served.", `,"id":"a1"`),
			entry(7, "ERROR", "Acknowledged commits are missing.", ""),
			entry(8, "INFO", "Request failed.", `,"id":""`),
		)
		Expect(got).To(HaveLen(5))
		Expect(got[0]).To(ContainSubstring("did not answer"))
		Expect(got[4]).To(ContainSubstring("Request failed."))
	})

	It("prefers lines that name a request, at any level, in the order of their times", func() {
		var lines []string
		for i := range 9 {
			lines = append(lines, entry(i, "WARN", fmt.Sprint("warning ", i), ""))
		}
		lines = append([]string{entry(0, "INFO", "Commit acknowledged.", `,"id":"cafe"`)}, lines...)
		got := cut([]string{"cafe"}, time.Time{}, time.Time{}, lines...)
		Expect(got).To(HaveLen(5))
		Expect(got[0]).To(ContainSubstring("Commit acknowledged."))
		Expect(got[1]).To(ContainSubstring("warning 5"))
	})

	It("cuts lines after 200 characters and leaves out those of other times", func() {
		long := entry(5, "WARN", "long", `,"x":"`+strings.Repeat("x", 500)+`"`)
		got := cut(nil, start.Add(4*time.Second), start.Add(6*time.Second), entry(0, "WARN", "early", ""), long, entry(9, "WARN", "late", ""))
		Expect(got).To(ConsistOf(long[:200]))
	})
})
