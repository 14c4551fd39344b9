package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// hostsPerZone is the number of machines in each zone.
const hostsPerZone = 2

// tenantSettings are a tenant's name and limit.
type tenantSettings struct {
	name        string
	rate, burst int
}

// layout is what differs between the deployments of the cases.
type layout struct {
	zones       []string
	tenants     []tenantSettings
	services    []string
	connections int // that one database accepts
}

// site is a deployment: zones with two hosts each, services with three databases each, and the
// platform.
type site struct {
	layout
	rec    *record
	daemon string
	folder string
	store  *store
	ledger *ledger
	groups []*group
	hosts  []*host
	ready  atomic.Bool   // all hosts have been ready
	ended  chan struct{} // closed when the play ends
	once   sync.Once
}

const (
	memoryMB = 206 // of one process
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// memoryPoll is the time between two looks at a process's memory.
	memoryPoll = 20 * time.Millisecond
)

// host is one machine and the process that runs on it.
type host struct {
	s              *site
	name, zone     string
	file           string
	callers, ready string
	peers, access  string

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	held    bool // the platform does not start the process now
	ends    int  // processes that ended by themselves or were killed for their memory
	killing bool // the play ends the present process
	peakMB  int
}

func newSite(rec *record, daemon string, l layout) (*site, error) {
	s := &site{layout: l, rec: rec, daemon: daemon, ended: make(chan struct{}), ledger: &ledger{sentAt: map[string]time.Time{}, commits: map[string]uint64{}}}
	var err error
	if s.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	for _, name := range l.services {
		g, err := newGroup(rec, s.ledger, name, s.zones[:databaseCount], l.connections)
		if err != nil {
			return nil, err
		}
		s.groups = append(s.groups, g)
	}
	if s.store, err = newStore(func(service, id string, fence uint64) int {
		status := http.StatusConflict
		for _, g := range s.groups {
			if g.service == service {
				status = g.promote(id, fence)
			}
		}
		rec.logf("promotion of %s with fencing token %d: %d", id, fence, status)
		return status
	}); err != nil {
		return nil, err
	}
	s.store.put("config", "main", s.configuration(firstVersion))
	for _, g := range s.groups {
		g.store = s.store
		go g.announce(s.ended)
	}
	time.Sleep(200 * time.Millisecond)
	for _, zone := range s.zones {
		for n := range hostsPerZone {
			h := &host{s: s, name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone}
			if err := h.configure(); err != nil {
				return nil, err
			}
			s.hosts = append(s.hosts, h)
		}
	}
	for _, h := range s.hosts {
		go h.keepRunning()
	}
	if err := s.awaitReady(25 * time.Second); err != nil {
		s.stop()
		return nil, err
	}
	s.ready.Store(true)
	time.Sleep(3 * time.Second)
	rec.logf("all hosts are ready")
	return s, nil
}

// databaseCount is the number of databases of the service, each in a zone of its own.
const databaseCount = 3

// firstVersion is the version of the first configuration.
const firstVersion = 7

// configuration returns the operator's configuration under a version.
func (s *site) configuration(version int) map[string]any {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, name := range s.services {
		route := func(word, kind string, timeoutMs, sloMs, priority, staleMs int) {
			database := word + "-" + name
			routes = append(routes, map[string]any{"name": "r-" + database, "database": database, "pathPrefix": "/", "type": kind, "timeoutMs": timeoutMs,
				"sloMs": sloMs, "priority": priority, "service": name, "maxAttempts": 2, "maxStalenessMs": staleMs, "public": false})
		}
		route("book", "primary", 1000, 200, 1, 0)
		route("look", "bounded_staleness", 3000, 800, 2, 1500)
		route("plan", "read_your_writes", 1000, 400, 2, 2500)
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": s.connections, "protocol": "h1", "tls": false, "syncReplicas": 1})
	}
	tenants := []map[string]any{}
	for _, t := range s.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": []string{keyOf(t.name)}, "priority": 1, "ratePerS": t.rate, "burst": t.burst})
	}
	return map[string]any{
		"version": version,
		"routes":  routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants": tenants,
	}
}

// firstService is the service that ordinary callers use.
const firstService = "orders-db"

// smallLayout is a deployment with three zones and four tenants.
func smallLayout() layout {
	l := layout{zones: []string{"zone-a", "zone-b", "zone-c"}, services: []string{firstService}, connections: 66}
	for i := range 4 {
		l.tenants = append(l.tenants, tenantSettings{fmt.Sprintf("shop%d", i+1), 300, 300})
	}
	return l
}

func keyOf(tenant string) string { return "key-of-" + tenant }

// settings is deploy/host.toml as the platform fills it in.
const settings = `[host]
id = "%s"
data_centre = "%s"

[site]
callers = "%s"
ready = "%s"
peers = "%s"
access = "%s"
data_centres = ["%s"]
promotion_url = "http://%s"
memory_mb = %d
database_drain = "7000ms"
cpu_share = 0.272
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]

[platform]
url = "http://%s"
timeout = "1s"

[databases]
user = "bronzeloft"

[shutdown]
grace = "6s"

[log]
format = "json"
`

// configure chooses the host's ports and writes its settings file.
func (h *host) configure() error {
	for _, to := range []*string{&h.callers, &h.ready, &h.peers, &h.access} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*to = address
	}
	s := h.s
	h.file = filepath.Join(s.folder, h.name+".toml")
	text := fmt.Sprintf(settings, h.name, h.zone, h.callers, h.ready, h.peers, h.access, strings.Join(s.zones, `","`), s.store.address, memoryMB, s.store.address)
	return os.WriteFile(h.file, []byte(text), 0o600)
}

// Ports are taken from below the range that the kernel uses for outgoing connections.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no port is free for both TCP and UDP")
}

// keepRunning starts the host's process, and starts it again when it has ended, until the play
// ends.
func (h *host) keepRunning() {
	for {
		select {
		case <-h.s.ended:
			return
		default:
		}
		h.mu.Lock()
		held := h.held
		h.mu.Unlock()
		if !held {
			if err := h.runOnce(); err != nil {
				h.s.rec.logf("%s does not start: %v", h.name, err)
			}
			h.s.chooseOtherPorts(h)
		}
		time.Sleep(restartDelay)
	}
}

// chooseOtherPorts gives a host other ports if its process ended before the site was ready: another
// process may have taken one of them.
func (s *site) chooseOtherPorts(h *host) {
	if s.ready.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = 0
	if err := h.configure(); err != nil {
		s.rec.logf("%s: %v", h.name, err)
	}
}

// runOnce runs one process of the host. Like the platform, it kills a process that exceeds its
// memory.
func (h *host) runOnce() error {
	log, err := os.OpenFile(filepath.Join(h.s.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.s.daemon, "--config", h.file)
	cmd.Env = append(os.Environ(), "BRONZELOFT_BOOT="+h.file)
	cmd.Stdout, cmd.Stderr = log, log
	h.mu.Lock()
	select {
	case <-h.s.ended:
		h.mu.Unlock()
		return nil
	default:
	}
	if err := cmd.Start(); err != nil {
		h.mu.Unlock()
		return err
	}
	h.cmd, h.killing = cmd, false
	h.mu.Unlock()
	h.s.rec.logf("%s starts", h.name)
	exited := make(chan struct{})
	go h.watchMemory(cmd.Process, exited)
	err = cmd.Wait()
	close(exited)
	h.mu.Lock()
	if !h.killing {
		h.ends++
		h.s.rec.logf("%s: its process has ended by itself: %v", h.name, err)
	}
	h.cmd = nil
	h.mu.Unlock()
	return nil
}

// watchMemory kills the process once its resident memory exceeds memoryMB.
func (h *host) watchMemory(p *os.Process, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(memoryPoll):
		}
		mb := residentMB(p.Pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mu.Unlock()
		if mb > memoryMB {
			h.s.rec.logf("%s holds %d MB of memory, more than %d MB; the platform kills it", h.name, mb, memoryMB)
			_ = p.Kill()
			return
		}
	}
}

// residentMB returns the resident memory of a process, and 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		if f := strings.Fields(string(line)); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}

// kill kills the host's process, which starts again after restartDelay, or after resume if hold is
// set.
func (h *host) kill(hold bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = hold
	if h.cmd != nil {
		h.killing = true
		_ = h.cmd.Process.Kill() // it may have ended
	}
}

// resume lets the platform start the process again.
func (h *host) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = false
}

func (h *host) endsByItself() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends
}

func (h *host) readyAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s was not ready in time", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readyAddress()+"/-/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stop ends everything that the play started and removes its folder.
func (s *site) stop() {
	s.once.Do(func() {
		close(s.ended)
		for _, h := range s.hosts {
			h.kill(true)
		}
		for _, h := range s.hosts {
			for running := true; running; time.Sleep(10 * time.Millisecond) {
				h.mu.Lock()
				running = h.cmd != nil
				h.mu.Unlock()
			}
		}
		for _, g := range s.groups {
			g.stop()
		}
		if s.store != nil {
			s.store.stop()
		}
		if dir := os.Getenv("REVIEW_KEEP_LOGS"); dir != "" {
			for _, h := range s.hosts {
				if raw, err := os.ReadFile(filepath.Join(s.folder, h.name+".log")); err == nil {
					_ = os.WriteFile(filepath.Join(dir, h.name+".log"), raw, 0o600)
				}
			}
		}
		_ = os.RemoveAll(s.folder)
	})
}
