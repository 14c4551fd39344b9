package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/experiment/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

// The budgets of one host's control plane.
const (
	byteBudget    = 27_000 // bytes per second, both ways, headers included
	coreBudget    = 0.031  // of a core
	inForceBudget = 2.0    // seconds
)

var _ = Describe("a fleet of 15 hosts", func() {
	It("keeps the control plane's budgets", func() {
		r, err := fleet.Run(fleet.Config{Hosts: 15, TLS: true, Settle: 3 * time.Second, Window: 2 * time.Second, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.PeersMax).To(Equal(14))
		Expect(r.MaxWireBytes).To(BeNumerically("<", byteBudget))
		Expect(r.InForceMax).To(BeNumerically("<", inForceBudget))
		Expect(r.Core).To(BeNumerically("<", coreBudget))
	})
})
