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

	It("accrues what a loan held from its end, though nobody looks", func() {
		w := fleet(1, whole, 2, 1, 10, 20)
		n := w.nodes[1]
		w.cut[[2]string{n.address, w.nodes[0].address}] = true
		for range 20 {
			w.ask(w.nodes[0], "shop", time.Second)
		}
		w.run(10 * time.Second)
		Expect(w.admitted["shop"]).To(Equal(12), "its own ten, and what accrued while requests waited")
		v := Admitted
		for i := 0; v == Admitted; i++ {
			v = w.ask(n, "shop", time.Second)
		}
		Expect(w.admitted["shop"]).To(Equal(22))
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
