package gateway_test

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/gateway"
	"github.com/bronzeloft/bronzeloft/internal/standin/site"
)

// logText is a log that specs read while it is written.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logText) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// Guards against requests to a database of an evacuated data centre (EVAC) by a host that has just
// started, and against names that another writer has left among the requests.
var _ = Describe("a host that starts while a data centre is evacuated", func() {
	It("knows it before it is ready, sends nothing there and replaces the primary", func() {
		store, err := site.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		store.Put("config", "main", fmt.Sprintf(configuration, 1, "first"))
		store.Put("evacuations", "dc-b", "{}")
		odd := "dc-a\r\nQUERY - PAUSE 9"
		store.Put("evacuations", odd, nested(20_000))
		dbs, err := site.StartDatabases(store, "orders", "dc-b", "a", "b")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dbs.Close)
		Expect(dbs.Start("c", "dc-a")).To(Succeed())
		log := &logText{}
		g := startHostWith(store, dbs, func(opt *gateway.Options) {
			opt.Features.Evacuation, opt.Evacuation = true, 5*time.Second
			opt.Logger = slog.New(slog.NewTextHandler(log, nil))
		})
		Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		Expect(log.count(`data_centre=dc-b`)).To(BeNumerically(">", 0))
		Eventually(func() string { return read(g, "first") }).WithTimeout(10 * time.Second).Should(HavePrefix("READY"))
		Expect(dbs.Primary()).To(Equal("c"))
		Expect(dbs.Requests("a") + dbs.Requests("b")).To(BeZero())

		By("taking it back")
		store.Delete("evacuations", "dc-b")
		Eventually(func() int { return log.count("no longer to be evacuated") }).WithTimeout(3 * time.Second).Should(Equal(1))
		store.Put("evacuations", odd, "{}")
		store.Put("evacuations", "dc-c", "null")
		Eventually(func() int { return log.count("data_centre=dc-c") }).WithTimeout(3 * time.Second).Should(Equal(1))
		Expect(log.count("names no data centre")).To(Equal(1))

		By("compacting the store's history with a request in it")
		store.SetDown(true)
		time.Sleep(700 * time.Millisecond) // the watches that are held end within 0.5 s
		store.Put("evacuations", "dc-d", "{}")
		store.Compact()
		store.SetDown(false)
		Eventually(func() int { return log.count("data_centre=dc-d") }).WithTimeout(5 * time.Second).Should(Equal(1))
	})

	It("makes no call for it where the site has no evacuations", func() {
		store, err := site.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		store.Put("config", "main", fmt.Sprintf(configuration, 1, "first"))
		store.Put("evacuations", "dc-a", "{}")
		dbs, err := site.StartDatabases(store, "orders", "dc-a", "a", "b")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dbs.Close)
		g := startHost(store, dbs)
		Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		Eventually(func() string { return read(g, "first") }).Should(HavePrefix("READY"))
		Expect(store.Lists()).To(BeNumerically("<=", 3), "configuration, databases and hosts")
	})
})
