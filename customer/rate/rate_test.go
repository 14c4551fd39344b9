package rate

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rate")
}

var _ = Describe("Table", func() {
	It("lets one host use the whole burst at once", func() {
		w := fleet(1, whole, 15, 4, 10, 100)
		for range 100 {
			w.ask(w.nodes[0], "shop", time.Second)
		}
		w.run(100 * time.Millisecond)
		Expect(w.admitted["shop"]).To(Equal(100))
		Expect(w.overshoot()).To(BeNumerically("<", 1e-6))
	})

	It("lets hosts use an eighth each at once", func() {
		w := fleet(1, whole, 15, 4, 10, 80)
		for _, n := range w.nodes[:8] {
			for range 10 {
				w.ask(n, "shop", time.Second)
			}
		}
		w.run(500 * time.Millisecond)
		Expect(w.admitted["shop"]).To(Equal(80))
		Expect(w.overshoot()).To(BeNumerically("<", 1e-6))
	})

	It("gives one host the whole rate for long", func() {
		w := fleet(1, whole, 15, 4, 200, 20)
		for range 2000 {
			w.ask(w.nodes[3], "shop", time.Second)
			w.run(5200 * time.Microsecond)
		}
		Expect(w.refused["shop"]).To(BeZero())
		Expect(w.overshoot()).To(BeNumerically("<", 1e-6))
		GinkgoWriter.Println("messages", w.messages)
	})

	It("admits a burst smaller than the number of hosts", func() {
		w := fleet(1, whole, 15, 4, 1, 3)
		for range 3 {
			w.ask(w.nodes[0], "shop", time.Second)
		}
		w.run(500 * time.Millisecond)
		Expect(w.admitted["shop"]).To(Equal(3))
	})
})
