package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/standin/site"
)

var _ = Describe("a host that has just started", func() {
	// After the loss of all hosts of a data centre, callers come to hosts that are not
	// ready yet.
	It("does not tell a caller that its route does not exist before it has the configuration", func() {
		store, err := site.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		store.Put("config", "main", fmt.Sprintf(configuration, 1, "first"))
		dbs, err := site.StartDatabases(store, "orders", "dc-a", "a", "b")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dbs.Close)
		store.SetDown(true)
		g := startHost(store, dbs)
		Expect(read(g, "first")).To(HavePrefix("ERROR BUSY"), "the store stays away")
		time.AfterFunc(300*time.Millisecond, func() { store.SetDown(false) })
		Eventually(func() string { return read(g, "first") }).WithTimeout(6 * time.Second).Should(HavePrefix("READY"))
		Expect(read(g, "unknown")).To(HavePrefix("ERROR NODB"))
	})
})
