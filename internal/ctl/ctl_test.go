package ctl_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/keys"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/internal/ctl"
	"github.com/bronzeloft/bronzeloft/internal/standin/platformserver"
	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/platform"
	"github.com/bronzeloft/bronzeloft/report"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "internal/ctl")
}

const pluta = "../../examples/pluta"

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// answerTimeout leaves time for stand-ins on a busy machine.
const answerTimeout = 10 * time.Second

// unreachable is the address of a platform that does not run. The port of a closed server
// may be in use by another process at once; port 1 is outside the range from which the system
// assigns ports.
const unreachable = "http://127.0.0.1:1"

// result is the exit code and the output of one command line.
type result struct {
	code     int
	out, err string
}

// run executes one command line.
func run(args ...string) result {
	var out, errs bytes.Buffer
	code := ctl.Run(context.Background(), args, ctl.Env{
		Out:    &out,
		Err:    &errs,
		Now:    func() time.Time { return noon },
		Random: rand.Reader,
		API: func(url string) objectapi.API {
			timeout := answerTimeout
			if url == unreachable {
				timeout = 300 * time.Millisecond // it is retried until then
			}
			return objectapi.NewClient(objectapi.ClientConfig{BaseURL: url, Timeout: timeout, AttemptTimeout: timeout, CallsPerSecond: 1000, Burst: 1000})
		},
		Store: func(url string) ctl.SiteStore {
			return beforeUpdate{platform.NewStore(platform.StoreConfig{BaseURL: url, Timeout: answerTimeout})}
		},
		HTTP:  &http.Client{Timeout: answerTimeout},
		Pause: func(ctx context.Context) error { return ctx.Err() },
	})
	return result{code, out.String(), errs.String()}
}

var _ = Describe("bronzeloftctl", func() {
	It("lists its exit codes and commands in its help", func() {
		res := run("--help")
		Expect(res.code).To(Equal(ctl.ExitOK))
		Expect(res.out).To(ContainSubstring("Exit codes: 0 done; 1 a fault"))
		Expect(res.out).To(ContainSubstring("publish"))
		Expect(run("publish", "--help").out).To(ContainSubstring("--base"))
	})

	DescribeTable("exits 2 for an invalid command line", func(args ...string) {
		res := run(args...)
		Expect(res.code).To(Equal(ctl.ExitUsage), res.err)
		Expect(res.err).NotTo(BeEmpty())
	},
		Entry("no command"),
		Entry("unknown command", "fly"),
		Entry("unknown flag", "check", "--fast", pluta),
		Entry("no directory", "check"),
		Entry("no base version", "--platform", "http://127.0.0.1:1", "publish", pluta),
		Entry("no platform", "diff", pluta),
		Entry("no host", "--platform", "http://127.0.0.1:1", "report"),
		Entry("neither platform nor host", "status"),
		Entry("too many arguments", "--platform", "http://127.0.0.1:1", "keys", "issue", "cluj", "iasi"),
		Entry("no platform of logs", "log", "list"),
		Entry("no database of a log", "--platform", "http://127.0.0.1:1", "log", "abandon", "--service", "stock-db"),
		Entry("no start of a log", "--platform", "http://127.0.0.1:1", "log", "abandon", "--service", "stock-db", "--database", "i-1", "--confirm"),
		Entry("unknown format", "report", "--host", "127.0.0.1:1", "--format", "pdf"),
	)

	It("checks files, prints each fault and exits 1 if there are any", func() {
		res := run("check", pluta)
		Expect(res).To(Equal(result{0, "no faults: 3 services, 8 customers, 15 hosts\n", ""}))
		dir := GinkgoT().TempDir()
		Expect(os.CopyFS(dir, os.DirFS(pluta))).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "orders.toml"), []byte("service = \"orders\"\nwrong = 1\n"), 0o600)).To(Succeed())
		res = run("check", dir)
		Expect(res.code).To(Equal(ctl.ExitRefused))
		Expect(res.out).To(ContainSubstring("orders.toml:2: wrong: found an unknown key"))
		res = run("--json", "check", dir)
		Expect(res.code).To(Equal(ctl.ExitRefused))
		var parsed struct{ Faults []contract.Fault }
		Expect(json.Unmarshal([]byte(res.out), &parsed)).To(Succeed())
		Expect(parsed.Faults).To(HaveLen(1))
	})

	Describe("with a platform", func() {
		var (
			server *platformserver.Server
			url    string
			dir    string
		)

		BeforeEach(func() {
			var err error
			server, err = platformserver.Start(platformserver.Config{KeepEvents: 100})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { server.Close() })
			url = "http://" + server.Addr()
			dir = GinkgoT().TempDir()
			Expect(os.CopyFS(dir, os.DirFS(pluta))).To(Succeed())
		})

		onPlatform := func(args ...string) result {
			return run(append([]string{"--platform", url, "--operator", "ana"}, args...)...)
		}
		setRate := func(from, to string) {
			GinkgoHelper()
			path := filepath.Join(dir, "customers.toml")
			text, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(path, []byte(strings.Replace(string(text), "rate = "+from, "rate = "+to, 1)), 0o600)).To(Succeed())
		}

		It("diffs and publishes files, and refuses to publish on top of an outdated version", func() {
			Expect(onPlatform("status").code).To(Equal(ctl.ExitRefused))
			Expect(onPlatform("diff", dir).out).To(ContainSubstring("publish them with --base 0"))
			res := onPlatform("publish", "--base", "0", dir)
			Expect(res.code).To(Equal(ctl.ExitOK), res.err)
			Expect(res.out).To(ContainSubstring("version 1 is published"))
			Expect(onPlatform("diff", dir).out).To(Equal("0 changes on top of version 1; publish them with --base 1\n"))

			setRate("250", "260")
			Expect(onPlatform("diff", dir).out).To(HavePrefix("~ customer cluj: rate 250 -> 260\n1 changes on top of version 1"))
			Expect(onPlatform("publish", "--base", "1", dir).code).To(Equal(ctl.ExitOK))
			setRate("260", "270")
			res = onPlatform("publish", "--base", "1", dir)
			Expect(res.code).To(Equal(ctl.ExitConflict))
			Expect(res.err).To(ContainSubstring("version 2, published by ana, is in force instead of 1\n~ customer cluj: rate 250 -> 260"))
			Expect(onPlatform("status").out).To(HavePrefix("version 2, published by ana"))
			Expect(onPlatform("publish", "--base", "2", "--above", "40", dir).out).To(ContainSubstring("version 41 is published"))
		})

		It("issues, rotates, lists and withdraws keys, and keeps them when files are published", func() {
			Expect(onPlatform("keys", "list").code).To(Equal(ctl.ExitRefused))
			Expect(onPlatform("publish", "--base", "0", dir).code).To(Equal(ctl.ExitOK))
			var first keys.Issued
			Expect(json.Unmarshal([]byte(onPlatform("--json", "keys", "issue", "cluj").out), &first)).To(Succeed())
			res := onPlatform("keys", "rotate", "cluj")
			Expect(res.code).To(Equal(ctl.ExitOK), res.err)
			plaintext, _, _ := strings.Cut(res.out, "\n")
			Expect(onPlatform("keys", "rotate", "cluj").code).To(Equal(ctl.ExitRefused))
			Expect(onPlatform("keys", "issue", "nobody").code).To(Equal(ctl.ExitRefused))
			Expect(onPlatform("keys", "withdraw", first.ID).out).To(Equal("key " + first.ID + " is withdrawn as of version 4\n"))
			setRate("250", "260")
			Expect(onPlatform("publish", "--base", "1", dir).code).To(Equal(ctl.ExitOK)) // only keys changed since

			list := onPlatform("keys", "list").out
			Expect(list).To(MatchRegexp(`cluj +%s +withdrawn`, first.ID))
			Expect(list).To(ContainSubstring("valid"))
			Expect(list).NotTo(ContainSubstring(plaintext))
			snap, err := contract.Fetch(context.Background(), objectapi.NewClient(objectapi.ClientConfig{BaseURL: url}))
			Expect(err).NotTo(HaveOccurred())
			table := keys.NewTable()
			table.Apply(snap)
			_, _, err = table.Check(plaintext)
			Expect(err).NotTo(HaveOccurred())
			_, _, err = table.Check(first.Plaintext)
			Expect(errkind.Of(err)).To(Equal(errkind.KeyWithdrawn))
		})

		It("exits 4 when the platform cannot be reached", func() {
			url = unreachable
			for _, args := range [][]string{{"diff", dir}, {"publish", "--base", "0", dir}, {"keys", "list"}, {"status"}} {
				Expect(onPlatform(args...).code).To(Equal(ctl.ExitUnavailable), args[0])
			}
		})

		It("reports burn against the published objectives, and lists hosts that do not answer", func() {
			Expect(onPlatform("publish", "--base", "0", dir).code).To(Equal(ctl.ExitOK))
			host := newFakeHost()
			page := filepath.Join(dir, "burn.html")
			res := onPlatform("report", "--host", host.addr(), "--host", "127.0.0.1:1", "--format", "html", "--output", page)
			Expect(res.code).To(Equal(ctl.ExitOK), res.err)
			html, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(html)).To(ContainSubstring("did not answer"))
			Expect(string(html)).To(ContainSubstring("cluj"))
			res = onPlatform("report", "--host", host.addr())
			Expect(res.out).To(MatchRegexp(`cluj +availability +99.9% +1 +0 +100%`), res.err)
			Expect(onPlatform("report", "--host", "127.0.0.1:1").code).To(Equal(ctl.ExitUnavailable))
		})
	})

	It("shows the status of hosts, including those that do not answer", func() {
		host := newFakeHost()
		res := run("status", "--host", host.addr(), "--host", "127.0.0.1:1")
		Expect(res.code).To(Equal(ctl.ExitUnavailable))
		Expect(res.out).To(MatchRegexp(`%s +entry-1 +ro-centru-a +ready +7 +1s +3`, host.addr()))
		Expect(res.out).To(MatchRegexp(`127.0.0.1:1 .*no answer`))
		Expect(run("--json", "status", "--host", host.addr()).out).To(ContainSubstring(`"configVersion": 7`))
	})

	It("drains a host and waits until it has stopped", func() {
		host := newFakeHost()
		Expect(run("drain", host.addr()).out).To(ContainSubstring("is draining"))
		Eventually(host.drained).Should(Receive())
		go func() {
			<-host.drained
			host.server.Close()
		}()
		res := run("drain", "--wait", host.addr())
		Expect(res).To(Equal(result{0, host.addr() + " has stopped\n", ""}))
		Expect(run("drain", host.addr()).code).To(Equal(ctl.ExitUnavailable))
	})

	It("stops waiting at its timeout for a host that does not stop", func() {
		res := run("--timeout", "300ms", "drain", "--wait", newFakeHost().addr())
		Expect(res.code).To(Equal(ctl.ExitUnavailable))
		Expect(res.err).To(ContainSubstring("still draining"))
	})
})

// fakeHost simulates a host's admin listener.
type fakeHost struct {
	server  *httptest.Server
	drained chan struct{}
}

func newFakeHost() *fakeHost {
	h := &fakeHost{drained: make(chan struct{}, 1)}
	recorder := report.NewRecorder("127.0.0.1:7201", "boot", noon.Add(-time.Hour))
	recorder.Record(noon, "cluj", report.OK, time.Millisecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"host":"entry-1","dataCentre":"ro-centru-a","ready":true,"configVersion":7,"configAge":"1s","callers":3,"peers":[{"x":1}]}`)
	})
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(recorder.Counts(noon)) })
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		h.drained <- struct{}{}
	})
	h.server = httptest.NewServer(mux)
	DeferCleanup(h.server.Close)
	return h
}

func (h *fakeHost) addr() string { return h.server.Listener.Addr().String() }
