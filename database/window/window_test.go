package window_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/window"
)

func TestWindow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database/window")
}

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

var _ = Describe("the statements that run on a database at once", func() {
	It("begin with the host's even part and never pass the slots", func() {
		w := window.New(5, 4)
		Expect(w.Size()).To(Equal(2))
		for range 1000 {
			w.Answered()
		}
		Expect(w.Size()).To(Equal(5))
	})

	It("fall at once when the database refuses, once for all that were under way", func() {
		w := window.New(10, 1)
		for i := range 8 {
			w.Refused(noon.Add(time.Duration(i) * time.Millisecond))
		}
		Expect(w.Size()).To(Equal(6))
		w.Refused(noon.Add(200 * time.Millisecond))
		Expect(w.Size()).To(Equal(3))
	})

	It("stay one at least", func() {
		w := window.New(1, 30)
		for i := range 50 {
			w.Refused(noon.Add(time.Duration(i) * time.Second))
		}
		Expect(w.Size()).To(Equal(1))
	})

	It("settle near the slots when hosts share a database that refuses beyond them", func() {
		const slots, hosts, queue = 5, 3, 4
		windows := make([]window.Window, hosts)
		for i := range windows {
			windows[i] = window.New(slots, hosts)
		}
		refused, run := 0, 0
		for round := range 2000 {
			sum := 0
			for i := range windows {
				sum += windows[i].Size()
			}
			for i := range windows {
				if sum > slots+queue {
					windows[i].Refused(noon.Add(time.Duration(round) * 30 * time.Millisecond))
					refused++
					continue
				}
				run += windows[i].Size()
				windows[i].Answered()
			}
		}
		Expect(float64(refused) / float64(refused+run)).To(BeNumerically("<", 0.1))
	})
})
