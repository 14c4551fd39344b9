package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/gateway"
	"github.com/bronzeloft/bronzeloft/internal/standin/site"
	"github.com/bronzeloft/bronzeloft/platform"
)

// A store with values that another writer has left: every host reads them, so one
// that ends a host or its watch ends all.

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddValues are values of entries that name no database, by what is odd.
var oddValues = map[string]string{
	"nested deeper than encoding/json accepts": nested(10_001),
	"nested a million deep":                    nested(1_000_000),
	"nested inside a field":                    `{"service":"orders","address":"127.0.0.1:9","zone":"dc-a","slots":4,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":"primary","seq":1,"born":` + nested(20_000) + `}`,
	"a number beyond its type":                 `{"service":"orders","address":"127.0.0.1:9","zone":"dc-a","slots":99999999999999999999,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":"primary","seq":1,"born":1}`,
	"a number beyond any float":                `{"slots":1e999999}`,
	"more slots than a database has":           `{"service":"orders","address":"127.0.0.1:9","zone":"dc-a","slots":9223372036854775807,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":"primary","seq":1,"born":1}`,
	"a port out of range":                      `{"service":"orders","address":"127.0.0.1:70000","zone":"dc-a","slots":4,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":"primary","seq":1,"born":1}`,
	"port 0":                                   `{"service":"orders","address":"127.0.0.1:0","zone":"dc-a","slots":4,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":"primary","seq":1,"born":1}`,
	"a service name with a line break":         `{"service":"orders\r\nQUERY - PAUSE 9","address":"127.0.0.1:9","zone":"dc-a","slots":4,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":"primary","seq":1,"born":1}`,
	"bytes that are not JSON":                  "\xff\xfe",
	"a string of nearly a megabyte":            `"` + strings.Repeat("x", 1<<20-200) + `"`,
	"null":                                     "null",
}

const configuration = `{"version":%d,"routes":[{"database":%q,"service":"orders","type":"bounded_staleness","maxStalenessMs":1500,"timeoutMs":1000,"sloMs":200}],
	"services":[{"name":"orders","maxConns":40,"syncReplicas":1}],"limits":{"txIdleMs":3000},"tenants":[{"name":"shop","apiKeys":["key"],"ratePerS":1000,"burst":1000}]}`

// startHost starts a host of a site.
func startHost(store *site.Store, dbs *site.Databases) *gateway.Gateway {
	return startHostWith(store, dbs, func(*gateway.Options) {})
}

// startHostWith starts a host of a site with some options changed.
func startHostWith(store *site.Store, dbs *site.Databases, change func(*gateway.Options)) *gateway.Gateway {
	opt := gateway.Options{
		Name: "host-1", DataCentre: "dc-a", Centres: []string{"dc-a"}, Callers: "127.0.0.1:0", Ready: "127.0.0.1:0",
		Peers: "127.0.0.1:0", Access: "127.0.0.1:0", Grace: time.Second, MaxCallers: 10, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		Platform: platform.New(platform.StoreConfig{BaseURL: store.URL(), Timeout: time.Second, WatchWait: func() time.Duration { return 500 * time.Millisecond }}, dbs.URL(), time.Second),
	}
	change(&opt)
	g := gateway.New(opt)
	Expect(g.Start()).To(Succeed())
	DeferCleanup(g.Close)
	return g
}

// read opens a session on a route and returns the last line of the answer to a read.
func read(g *gateway.Gateway, route string) string {
	c, err := net.Dial("tcp", g.CallersAddress())
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	r := bufio.NewReader(c)
	answer := ""
	for _, line := range []string{"STARTUP " + route + " key\r\n", "QUERY 7 READ a\r\n"} {
		if _, err := c.Write([]byte(line)); err != nil {
			return err.Error()
		}
		for answer = ""; !strings.HasPrefix(answer, "READY") && !strings.HasPrefix(answer, "ERROR"); {
			if answer, err = r.ReadString('\n'); err != nil {
				return err.Error()
			}
		}
		if strings.HasPrefix(answer, "ERROR") {
			return answer
		}
	}
	return answer
}

var _ = Describe("a store with odd entries of another writer", func() {
	var (
		store *site.Store
		dbs   *site.Databases
	)

	BeforeEach(func() {
		var err error
		store, err = site.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		store.Put("config", "main", fmt.Sprintf(configuration, 1, "first"))
		dbs, err = site.StartDatabases(store, "orders", "dc-a", "a", "b", "c")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dbs.Close)
	})

	putOdd := func() {
		i := 0
		for _, value := range oddValues {
			store.Put("servers", fmt.Sprintf("%c-odd", 'A'+i), value) // sorted before, between and behind the others
			store.Put("servers", fmt.Sprintf("b%d", i), value)
			store.Put("config", fmt.Sprintf("m%d", i), value)
			store.Put("bronzeloft-hosts", fmt.Sprintf("h%d", i), value)
			i++
		}
	}

	// expectFollowing checks that the host serves, and that it follows the
	// configuration, the databases' entries and the loss of the primary.
	expectFollowing := func(g *gateway.Gateway) {
		Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		Eventually(func() string { return read(g, "first") }).WithTimeout(3 * time.Second).Should(HavePrefix("READY"))

		store.Put("config", "main", fmt.Sprintf(configuration, 2, "second"))
		Eventually(func() string { return read(g, "second") }).WithTimeout(3 * time.Second).Should(HavePrefix("READY"))

		Expect(dbs.Start("d", "dc-a")).To(Succeed())
		for _, id := range []string{"b", "c"} {
			dbs.Kill(id)
			store.Delete("servers", id)
		}
		Eventually(func() int { read(g, "second"); return dbs.Reads("d") }).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))

		dbs.Kill("a")
		store.Delete("servers", "a")
		Eventually(dbs.Primary).WithTimeout(10 * time.Second).Should(Equal("d"))
	}

	It("is served from a start on it, and followed", func() {
		putOdd()
		expectFollowing(startHost(store, dbs))
	})

	It("is followed when the entries come while the host runs", func() {
		g := startHost(store, dbs)
		Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		putOdd()
		expectFollowing(g)
	})

	// Guards against a takeover that waits for ever for the log of a database that does not exist
	// (RECOVER): an entry without version, coldLeftMs, seq and born was taken for one.
	DescribeTable("has no takeover wait for an entry that lacks a field or has one of another type",
		func(running bool) {
			putIncomplete := func() {
				entry := map[string]any{"service": "orders", "address": "127.0.0.77:9", "zone": "dc-a", "version": "v1", "slots": 4, "state": "ready", "coldLeftMs": 0, "dbRole": "replica", "seq": 1, "born": 1}
				put := func(name string, change func(map[string]any)) {
					changed := maps.Clone(entry)
					change(changed)
					value, err := json.Marshal(changed)
					Expect(err).NotTo(HaveOccurred())
					store.Put("servers", name, string(value))
				}
				for field := range entry {
					put("without-"+field, func(e map[string]any) { delete(e, field) })
					put("other-"+field, func(e map[string]any) { e[field] = []int{} })
				}
				put("inventory", func(e map[string]any) {
					for _, field := range []string{"version", "coldLeftMs", "seq", "born"} {
						delete(e, field)
					}
				})
			}
			if !running {
				putIncomplete()
			}
			g := startHost(store, dbs)
			Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
			if running {
				putIncomplete()
			}
			Eventually(func() string { return read(g, "first") }).WithTimeout(3 * time.Second).Should(HavePrefix("READY"))
			dbs.Kill("a")
			store.Delete("servers", "a")
			Eventually(dbs.Primary).WithTimeout(10 * time.Second).ShouldNot(Equal("a"))
		},
		Entry("from a start on", false),
		Entry("that comes while the host runs", true),
	)

	It("uses a database whose entry turns odd and back", func() {
		g := startHost(store, dbs)
		Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		for _, id := range []string{"a", "b", "c"} {
			store.Put("servers", id, nested(10_001))
		}
		Consistently(g.Ready).WithTimeout(300 * time.Millisecond).Should(BeTrue())
		dbs.Kill("b")
		Expect(dbs.Start("b", "dc-a")).To(Succeed())
		Expect(dbs.Start("c", "dc-a")).To(Succeed())
		before := dbs.Reads("b") + dbs.Reads("c")
		Eventually(func() int { read(g, "first"); return dbs.Reads("b") + dbs.Reads("c") }).WithTimeout(5 * time.Second).Should(BeNumerically(">", before))
	})

	It("does not list the store again and again while its history is dropped", func() {
		g := startHost(store, dbs)
		Eventually(g.Ready).WithTimeout(5 * time.Second).Should(BeTrue())
		before := store.Lists()
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			store.Put("other", "x", "1")
			store.Compact()
		}
		Expect(store.Lists() - before).To(BeNumerically("<", 40)) // two kinds, pauses of 50 ms and more on average
	})
})
