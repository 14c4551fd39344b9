//go:build misuse

package misuse

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/standin/site"
)

func TestMisuse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "misuse")
}

// The host of these tests is small, so that a small crowd reaches its limits.
const (
	hostMemoryMB = 64  // the setting site.memory_mb, and the bound of the process's resident memory
	hostSessions = 120 // the setting site.max_callers
	// hostDescriptors bounds the process's open descriptors: the sessions, and what the host
	// itself needs for its listeners, the store, other hosts and databases.
	hostDescriptors = hostSessions + 80
	messageBytes    = 1 << 20 // largest legal message, with its CR LF
	// served is how long a test waits until an ordinary request is answered: many times as
	// long as the host's own limits for a startup, a message and an answer.
	served = 60 * time.Second
	key    = "k-ordinary"
	rudest = "k-crowd" // the key of the crowd's customer
)

const settingsText = `[host]
id = "host-1"
data_centre = "dc-1"
[site]
callers = "%s"
ready = "%s"
peers = "%s"
access = "%s"
data_centres = ["dc-1"]
promotion_url = "%s"
memory_mb = %d
max_callers = %d
[platform]
url = "%s"
timeout = "1s"
[databases]
user = "bronzeloft"
[shutdown]
grace = "2s"
[log]
format = "json"
`

const configurationText = `{"version":2,
"routes":[{"database":"orders","service":"orders-db","type":"primary","timeoutMs":2000,"sloMs":500,"priority":1,"maxStalenessMs":0}],
"services":[{"name":"orders-db","maxConns":40,"syncReplicas":0}],"limits":{"txIdleMs":3000},
"tenants":[{"name":"ordinary","apiKeys":["k-ordinary"],"ratePerS":1000,"burst":1000},{"name":"crowd","apiKeys":["k-crowd"],"ratePerS":1000,"burst":1000}]}`

// daemon is a running host with its stand-ins.
type daemon struct {
	cmd                   *exec.Cmd
	exited                chan struct{}
	callers, ready, peers string
	access                string
	log                   string
	maxHandles            int // most open descriptors seen
	stopWatch             chan struct{}
	watched               sync.WaitGroup
}

var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "bronzeloft")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/bronzeloft/bronzeloft/cmd/bronzeloft").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// startDaemon starts a host with one database and waits until it is ready.
func startDaemon() *daemon {
	store, err := site.StartStore()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	databases, err := site.StartDatabases(store, "orders-db", "dc-1", "orders-1")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(databases.Close)
	store.Put("config", "main", configurationText)
	d := &daemon{callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), access: freeAddress(),
		exited: make(chan struct{}), stopWatch: make(chan struct{})}
	folder := GinkgoT().TempDir()
	file := filepath.Join(folder, "host.toml")
	d.log = filepath.Join(folder, "host.log")
	text := fmt.Sprintf(settingsText, d.callers, d.ready, d.peers, d.access, databases.URL(), hostMemoryMB, hostSessions, store.URL())
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	log, err := os.Create(d.log)
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	d.cmd = exec.Command(binary, "--config", file)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	Expect(d.cmd.Start()).To(Succeed())
	go func() {
		_ = d.cmd.Wait() // the test checks that it has not ended
		close(d.exited)
	}()
	DeferCleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
	})
	Eventually(d.isReady, served, 50*time.Millisecond).Should(BeTrue())
	d.watched.Go(d.watch)
	DeferCleanup(func() {
		close(d.stopWatch)
		d.watched.Wait()
	})
	return d
}

func (d *daemon) isReady() bool {
	res, err := http.Get("http://" + d.ready + "/-/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// freeAddress returns a loopback address whose port is free for TCP and UDP. Its port lies below
// those that the kernel gives to outgoing connections.
func freeAddress() string {
	for port := 21000 + os.Getpid()%4000; ; port++ {
		address := "127.0.0.1:" + strconv.Itoa(port)
		if taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		u.Close()
		taken[address] = true
		return address
	}
}

var taken = map[string]bool{}

// watch records the process's memory and descriptors until the test ends. The kernel keeps
// the peak of the memory itself.
func (d *daemon) watch() {
	for {
		select {
		case <-d.stopWatch:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)); err == nil {
			d.maxHandles = max(d.maxHandles, len(entries))
		}
	}
}

// peakResident returns the largest resident memory of the process so far, in MB.
func (d *daemon) peakResident() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.Fields(rest)[0])
			Expect(err).NotTo(HaveOccurred())
			return kB >> 10
		}
	}
	Fail("no VmHWM of the process")
	return 0
}

// hold checks what must hold after a crowd, with the crowd's connections still open where the
// test keeps them: an ordinary request is answered, the process lives, and its memory and
// descriptors have stayed under their bounds.
func (d *daemon) hold() {
	GinkgoHelper()
	Eventually(d.ordinaryRequest, served, 100*time.Millisecond).Should(Succeed())
	Expect(d.exited).NotTo(BeClosed(), "the process has ended")
	peak := d.peakResident()
	AddReportEntry("peak", fmt.Sprintf("%d MB, %d descriptors", peak, d.maxHandles))
	GinkgoWriter.Printf("peak %d MB, %d descriptors\n", peak, d.maxHandles)
	Expect(peak).To(BeNumerically("<=", hostMemoryMB), "resident memory, MB")
	Expect(d.maxHandles).To(BeNumerically("<=", hostDescriptors), "open descriptors")
}

// ordinaryRequest logs in, runs a write and leaves.
func (d *daemon) ordinaryRequest() error {
	return d.request("WRITE 1a4 xkqpwnzd")
}

func (d *daemon) request(text string) error {
	c, err := net.DialTimeout("tcp", d.callers, 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // an error of the socket shows in the next call
	r := bufio.NewReaderSize(c, 64<<10)
	if _, err := fmt.Fprintf(c, "STARTUP orders %s\r\n", key); err != nil {
		return err
	}
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return fmt.Errorf("startup answered by %.80q: %w", line, err)
	}
	if _, err := fmt.Fprintf(c, "QUERY 5c0e7a21 %s\r\n", text); err != nil {
		return err
	}
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "COMPLETE") {
		return fmt.Errorf("request answered by %.80q: %w", line, err)
	}
	return nil
}
