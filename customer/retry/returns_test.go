package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/customer/retry"
)

var _ = Describe("the return of callers that were refused", func() {
	const (
		least, most = 500 * time.Millisecond, 800 * time.Millisecond
		statement   = 20 * time.Millisecond
		slots       = 5
		queue       = 200 * time.Millisecond // half of the tightest objective is left for the queue
	)
	start := time.Unix(1_000_000, 0)

	// No primary for three seconds: what waited for it is refused at one moment.
	It("is spread when a queue of 40 is refused at once, so that none waits longer than its objective allows", func() {
		var r retry.Returns
		arrivals := map[time.Duration]int{}
		for range 40 {
			arrivals[r.Delay(least, most, statement/slots, start)]++
		}
		free, worst := time.Duration(0), time.Duration(0) // when the slots have done all earlier work
		for at := least; at <= most; at += time.Millisecond {
			for range arrivals[at] {
				free = max(free, at) + statement/slots
				worst = max(worst, free-at)
			}
		}
		Expect(worst).To(BeNumerically("<=", queue/2))
		Expect(arrivals).To(HaveLen(40))
	})

	It("is not later than the longest delay when more are refused than it has places for", func() {
		var r retry.Returns
		for range 1000 {
			d := r.Delay(least, most, statement/slots, start)
			Expect(d).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		}
	})

	It("is after the least delay for callers that are refused one by one", func() {
		var r retry.Returns
		for i := range 10 {
			Expect(r.Delay(least, most, statement/slots, start.Add(time.Duration(i)*10*time.Millisecond))).To(Equal(least))
		}
	})
})
