package rate

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rate experiment")
}

// show writes a result to the test's log, which holds the figures of the notes.
func show(size string, r Result) {
	line, err := json.Marshal(r)
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Println(size, string(line))
}

// mostWrongful is the bound on wrongful refusals, in percent.
func mostWrongful(c Case) float64 {
	switch c {
	case Even, Skew, Tenfold, Outage:
		return 0.1
	default:
		return 1
	}
}

var _ = Describe("standing shares with loans", func() {
	sizes := []struct {
		name   string
		config func(Way, Case) Config
	}{{"Pluta", Pluta}, {"Trust", Trust}}
	for _, c := range Cases() {
		for _, size := range sizes {
			It("never overshoots and refuses few wrongly: "+size.name+", "+string(c), func() {
				r := Run(size.config(Shares, c))
				show(size.name, r)
				Expect(r.Overshoot).To(BeZero())
				Expect(r.WrongfulPercent).To(BeNumerically("<", mostWrongful(c)))
			})
		}
	}

	It("is compared with the other ways on the same loads", func() {
		for _, way := range []Way{EvenSplit, HomeHost} {
			for _, c := range Cases() {
				r := Run(Pluta(way, c))
				show("Pluta", r)
				Expect(r.Overshoot).To(BeZero())
			}
		}
		Expect(Run(Pluta(EvenSplit, Skew)).WrongfulPercent).To(BeNumerically(">", 50))
		Expect(Run(Pluta(HomeHost, Outage)).WrongfulPercent).To(BeNumerically(">", 50))
	})

	It("keeps messages per host bounded as the fleet grows", func() {
		for _, hosts := range []int{15, 60, 240} {
			cfg := Pluta(Shares, Even)
			cfg.Hosts = hosts
			r := Run(cfg)
			show("slope", r)
			Expect(r.BytesPerSec).To(BeNumerically("<", 27_000))
		}
	})
})
