package dbserver

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a fault that begins between a check and its use", func() {
	var s *Server

	ginkgo.BeforeEach(func() {
		var err error
		s, err = Start(Config{ID: "a", FollowAddr: "127.0.0.1:1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(s.Close)
	})

	ginkgo.It("keeps a frozen server from changing its state", func() {
		s.Freeze()
		done, err := s.tryUpdate(context.Background(), func(st *state) { st.accepted = 9 })
		gomega.Expect(done).To(gomega.BeFalse())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Report().Accepted).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("keeps a cut or fenced replica from applying what it has pulled", func() {
		f, _ := s.nextPull(func() {})
		e := Entry{Term: 1, Index: 1}
		s.SetReplicationCut(true)
		gomega.Expect(s.applyEntry(context.Background(), f, e)).NotTo(gomega.Succeed())
		s.SetReplicationCut(false)
		gomega.Expect(s.update(context.Background(), func(st *state) { st.fence(2, "h") })).To(gomega.Succeed())
		gomega.Expect(s.applyEntry(context.Background(), f, e)).NotTo(gomega.Succeed())
		gomega.Expect(s.Entries()).To(gomega.BeEmpty())
	})
})
