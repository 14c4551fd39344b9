package fourmeasures

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFourMeasures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "four measures")
}

// tiny is a plan whose figures are compared with themselves only.
func tiny() Plan {
	p := Quick()
	p.FailoverRuns = 1
	p.ReadTime = 100 * time.Millisecond
	p.QuietTime = 5 * time.Second
	p.CustomerTime = time.Second
	return p
}

var _ = Describe("a quick run", Ordered, ContinueOnFailure, func() {
	var results Results

	BeforeAll(func() {
		results = Run(Quick())
		Expect(results.WriteTable(GinkgoWriter)).To(Succeed())
	})

	// check expects that the rows of one measure meet their targets.
	check := func(rows func(site string) []Row) {
		for _, size := range results.Sizes {
			for _, row := range rows(size.Name) {
				Expect(row.Met).To(BeTrue(), "%s at %s: %s, target %s", row.Measure, row.Site, row.Ours, row.Target)
			}
		}
	}

	It("has replicas serve nearly all reads", func() { check(results.readRows) })
	It("keeps the failover gap short and promotes nothing falsely", func() { check(results.failoverRows) })
	It("refuses few requests wrongly and never overshoots", func() { check(results.refusalRows) })

	for _, size := range Sizes() {
		for _, mix := range mixes {
			It("keeps other customers' waits when one sends ten times its rate: "+size.Name+", customers "+string(mix), func() {
				check(func(site string) []Row {
					if site != size.Name {
						return nil
					}
					return results.mixRows(site, mix)
				})
			})
		}
	}

	It("beats its baselines", func() {
		for _, size := range results.Sizes {
			for _, mix := range mixes {
				ours := results.customer(size.Name, mix, DeficitRoundRobin, tenfold)
				base := results.customer(size.Name, mix, FirstCome, tenfold)
				Expect(ours.WorstRatio).To(BeNumerically(">", base.WorstRatio))
				Expect(ours.OthersP99Ms).To(BeNumerically("<", base.OthersP99Ms))
			}
		}
	})

	It("saves the document, the table and the charts", func() {
		dir := GinkgoT().TempDir()
		Expect(results.Save(dir, "svg")).To(Succeed())
		for _, name := range []string{"results.json", "table.txt", "reads.svg", "failover.svg", "waits.svg", "worst-served.svg", "refusals.svg"} {
			b, err := os.ReadFile(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(b).NotTo(BeEmpty(), name)
		}
	})
})

var _ = Describe("a plan", func() {
	It("gives the same document every time", func() {
		first, err := run(tiny(), Sizes()[:1]).JSON()
		Expect(err).NotTo(HaveOccurred())
		second, err := run(tiny(), Sizes()[:1]).JSON()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(second)).To(Equal(string(first)))
	})

	It("gives other figures for another seed", func() {
		p := tiny()
		l := load{size: Sizes()[0], mix: Alike, way: DeficitRoundRobin, factor: 1, spell: p.CustomerTime, seed: p.Seed}
		first := l.measure()
		l.seed++
		Expect(l.measure()).NotTo(Equal(first))
	})
})

var _ = Describe("the table", func() {
	It("takes no target as met without figures", func() {
		for _, row := range (Results{Plan: Full(), Sizes: Sizes()}).Rows() {
			Expect(row.met()).NotTo(Equal("yes"), row.Measure)
		}
	})
})

var _ = Describe("fairShares", func() {
	It("leaves to others what a customer does not demand", func() {
		all := []tally{
			{weight: 1, demanded: time.Hour},
			{weight: 1, demanded: time.Second},
			{weight: 2, demanded: time.Hour},
		}
		Expect(fairShares(all, 10*time.Second)).To(Equal([]time.Duration{3 * time.Second, time.Second, 6 * time.Second}))
	})
})
