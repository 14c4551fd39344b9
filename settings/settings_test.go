package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
	"github.com/bronzeloft/bronzeloft/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const minimal = `
[host]
id = "host-1"
data_centre = "ro-centru-a"
[platform]
url = "http://127.0.0.1:7001"
[databases]
user = "bronzeloft"
password = "tell-nobody"
`

// faults returns the faults of text as lines without the file's name.
func faults(text string) []string {
	_, err := settings.Parse("host.toml", []byte(text))
	var fs tomlread.Faults
	if !errors.As(err, &fs) {
		return nil
	}
	var out []string
	for _, f := range fs {
		out = append(out, strings.TrimPrefix(f.Error(), "host.toml"))
	}
	return out
}

var _ = Describe("settings", func() {
	It("fills defaults", func() {
		h, err := settings.Parse("host.toml", []byte(minimal))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Host.DataCentre).To(Equal("ro-centru-a"))
		Expect(h.Callers.Listen).To(Equal("127.0.0.1:6432"))
		Expect(h.Peers.Advertise).To(Equal(h.Peers.Listen))
		Expect(h.Databases.ProbeInterval).To(Equal(50 * time.Millisecond))
		Expect(h.Shutdown.Grace).To(Equal(30 * time.Second))
	})

	It("prints no password", func() {
		h, err := settings.Parse("host.toml", []byte(minimal))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Databases.Password.Reveal()).To(Equal("tell-nobody"))
		asJSON, err := json.Marshal(h)
		Expect(err).NotTo(HaveOccurred())
		for _, s := range []string{fmt.Sprintf("%v %+v %#v", h, *h, *h), string(asJSON)} {
			Expect(s).NotTo(ContainSubstring("tell-nobody"))
		}
		Expect(faults(strings.Replace(minimal, `"tell-nobody"`, "4711", 1))).To(ConsistOf(Not(ContainSubstring("4711"))))
	})

	It("reports every fault at once, with line, key, found and allowed", func() {
		got := faults(`
[host]
id = "Host 1"
[callers]
listen = "localhost:6432"
max_connections = 0
startup_timeout = "5"
speed = 3
[platform]
url = "ftp://x"
[databases]
user = "u"
[nowhere]
a = 1
`)
		Expect(got).To(Equal([]string{
			`:2: host.data_centre: found nothing, allowed: 1 to 64 lower-case letters, digits and '-'`,
			`:3: host.id: found "Host 1", allowed: 1 to 64 lower-case letters, digits and '-'`,
			`:5: callers.listen: found "localhost:6432", allowed: IP:port`,
			`:6: callers.max_connections: found 0, allowed: a whole number from 1 to 60000`,
			`:7: callers.startup_timeout: found "5", allowed: a duration such as "250ms", from 100ms to 1m0s`,
			`:8: callers.speed: found an unknown key, allowed: one of idle_in_transaction, listen, max_connections, startup_timeout, tls_cert, tls_key`,
			`:10: platform.url: found "ftp://x", allowed: http:// or https:// URL`,
			`:13: nowhere: found an unknown key, allowed: one of admin, callers, databases, host, log, peers, platform, shutdown, site`,
		}))
	})

	DescribeTable("rejects invalid values and combinations of fields", func(text, want string) {
		Expect(faults(minimal + text)).To(ConsistOf(ContainSubstring(want)))
	},
		Entry("callers without TLS on an address other than loopback", "[callers]\nlisten=\"10.0.0.1:6432\"", "plain TCP on loopback only"),
		Entry("a certificate without its key", "[callers]\ntls_cert=\"c.pem\"", "callers.tls_key: found nothing"),
		Entry("peers without TLS on an address other than loopback", "[peers]\nlisten=\"0.0.0.0:7432\"\nadvertise=\"10.0.0.1:7432\"", "plain TCP on loopback only"),
		Entry("no certificate authority for peers", "[peers]\ntls_cert=\"c\"\ntls_key=\"k\"", "peers.tls_ca"),
		Entry("no address that other hosts can dial", "[peers]\nlisten=\"0.0.0.0:7432\"\ntls_cert=\"c\"\ntls_key=\"k\"\ntls_ca=\"a\"", "peers.advertise"),
		Entry("suspect_after not longer than probe_interval", "suspect_after=\"50ms\"", "longer than probe_interval"),
		Entry("a wrong type", "[peers]\nseeds=\"127.0.0.1:1\"", "an array of strings"),
		Entry("a wrong element", "[peers]\nseeds=[\"127.0.0.1:1\", 3]", "peers.seeds[1]: found 3"),
		Entry("a platform site without a promotion URL", "[site]\ncallers=\"10.0.0.1:1\"", "site.promotion_url: found nothing"),
		Entry("a duration out of range", "[shutdown]\ngrace=\"99h\"", "from 0s to 1h0m0s"),
	)

	It("accepts the template for hosts of a platform site, with its placeholders filled in", func() {
		template, err := os.ReadFile("../deploy/host.toml")
		Expect(err).NotTo(HaveOccurred())
		filled := strings.NewReplacer(
			"{{nodeName}}", "edge-a-1", "{{zone}}", "centru-a", "{{listen.front}}", "10.1.0.26:8465", "{{listen.ready}}", "10.1.0.26:8460",
			"{{ip}}", "10.1.0.26", "{{internalPorts.0}}", "7560", "{{internalPorts.1}}", "7561", "{{internalPorts.2}}", "7562",
			`{{#zones}}"{{@}}"{{,}}{{/zones}}`, `"centru-a","centru-b"`, "{{cloud.address}}", "10.200.0.2:8466",
			"{{limits.memoryMb}}", "206", "{{limits.cpuShare}}", "0.272", "{{platform.address}}", "10.200.1.7:8466", "{{bounds.graceS}}", "6", "{{bounds.drainMs}}", "7000",
			"{{contracts|json}}", `["base","pressure"]`, "{{#bounds.evacuateMs}}\nevacuation = \"{{.}}ms\"\n{{/bounds.evacuateMs}}", `evacuation = "5000ms"`,
			"{{#bounds.coldOverage}}\ncold_overage = {{.}}\n{{/bounds.coldOverage}}", "cold_overage = 1.5",
			"{{#bounds.coldSlack}}\ncold_slack = {{.}}\n{{/bounds.coldSlack}}", "cold_slack = 5",
		).Replace(string(template))
		Expect(filled).NotTo(ContainSubstring("{{"))
		h, err := settings.Parse("host.toml", []byte(filled))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Site.Callers).To(Equal("10.1.0.26:8465"))
		Expect(h.Site.DataCentres).To(Equal([]string{"centru-a", "centru-b"}))
		Expect(h.Site.Contracts).To(Equal([]string{"base", "pressure"}))
		Expect(h.Site.Evacuation).To(Equal(5 * time.Second))
		Expect(h.Site.ColdOverage).To(Equal(1.5))
		Expect(h.Site.ColdSlack).To(Equal(5))
		Expect(h.Shutdown.Grace).To(Equal(6 * time.Second))
		Expect(h.Site.CPUShare).To(Equal(0.272))
		Expect(h.Site.DatabaseDrain).To(Equal(7 * time.Second))
	})

	It("gives the line of a syntax error", func() {
		Expect(faults("[host]\nid = \n")).To(ConsistOf(HavePrefix(":2:")))
	})

	It("loads a file and reports a missing one", func() {
		path := filepath.Join(GinkgoT().TempDir(), "host.toml")
		Expect(os.WriteFile(path, []byte(minimal), 0o600)).To(Succeed())
		_, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = settings.Load(path + ".not")
		Expect(err).To(MatchError(os.ErrNotExist))
	})

	It("accepts the example settings of hosts", func() {
		paths, err := filepath.Glob("../examples/hosts/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(paths).NotTo(BeEmpty())
		for _, path := range paths {
			_, err := settings.Load(path)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("describes every setting once, with a unit, a range and a description", func() {
		seen := map[string]bool{}
		for _, f := range settings.Describe() {
			Expect(seen).NotTo(HaveKey(f.Key))
			seen[f.Key] = true
			Expect(f.Doc).To(HaveSuffix("."))
			Expect(f.Unit).NotTo(BeEmpty())
			Expect(f.Range).NotTo(BeEmpty())
		}
		Expect(len(seen)).To(BeNumerically(">", 25))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[host]\nid = 3\n[host.id]\n"))
	f.Add([]byte("peers = [{seeds = [1]}]\n"))
	f.Add([]byte("[[callers]]\nlisten = {a = 1}\n"))
	f.Add([]byte("a.b.c = 1\na.b.d = [[1],[{x=2}]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := settings.Parse("f.toml", data)
		if (h == nil) == (err == nil) {
			t.Fatalf("Parse returned settings %v with error %v", h, err)
		}
	})
}
