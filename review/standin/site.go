package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment: two zones with two hosts each, one service with three
// databases, and the platform.
type site struct {
	rec    *record
	store  *store
	group  *group
	folder string
	daemon string
	hosts  []*hostProcess
	ended  chan struct{}

	mu     sync.Mutex
	config map[string]any
}

// hostProcess is one process of the project's daemon.
type hostProcess struct {
	name, zone     string
	callers, ready string
	cmd            *exec.Cmd
	exited         chan struct{}
}

const service = "orders-db"

// Routes of the site, by their database names.
const (
	routePrimary = "book"
	routeBounded = "look"
	routeOwn     = "plan"
	routeExtra   = "partner"
)

// Tenants of the site and their keys.
var tenants = map[string]string{"shop": "key-of-shop-1", "yard": "key-of-yard-1", "partner": "key-of-partner-1"}

var zones = []string{"zone-a", "zone-b"}

func newSite(rec *record, daemon string) (*site, error) {
	s := &site{rec: rec, daemon: daemon, ended: make(chan struct{})}
	var err error
	if s.group, err = newGroup(rec, service, []string{"zone-a", "zone-b", "zone-b"}); err != nil {
		return nil, err
	}
	if s.store, err = newStore(rec, s.group.promote); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	s.config = firstConfig()
	if _, err := s.store.put("config", "main", s.config); err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	for _, d := range s.group.databases {
		if _, err := s.store.put("servers", d.id, d.entryOf(1, born)); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := s.startHost(fmt.Sprintf("edge-%d", i+1), zones[i/2]); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func route(database, kind string, timeoutMs, sloMs, priority, staleMs int) map[string]any {
	r := map[string]any{"name": "r-" + database, "database": database, "pathPrefix": "/", "type": kind, "timeoutMs": timeoutMs,
		"sloMs": sloMs, "priority": priority, "service": service, "maxAttempts": 2, "public": false}
	if staleMs > 0 {
		r["maxStalenessMs"] = staleMs
	}
	return r
}

func firstConfig() map[string]any {
	var list []map[string]any
	for name, key := range tenants {
		list = append(list, map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "ratePerS": 500, "burst": 500})
	}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			route(routePrimary, "primary", 1000, 200, 1, 0),
			route(routeBounded, "bounded_staleness", 3000, 800, 2, 1500),
			route(routeOwn, "read_your_writes", 1000, 400, 2, 2500),
			route(routeExtra, "primary", 1000, 200, 1, 0),
		},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": maxConnections, "protocol": "h1", "tls": false, "syncReplicas": 1}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  list,
	}
}

// Ports of the hosts are taken from below the range that the kernel uses for outgoing
// connections, so that none of these occupies one before its host listens.
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
		l.Close()
		if err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no port is free for both TCP and UDP")
}

// template is deploy/host.toml with the names of its placeholders.
const template = `[host]
id = "%s"
data_centre = "%s"

[site]
callers = "%s"
ready = "%s"
peers = "%s"
access = "%s"
data_centres = ["zone-a","zone-b"]
promotion_url = "http://%s"
memory_mb = 206
cpu_share = 0.272

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

// grace is graceS of the settings.
const grace = 6 * time.Second

func (s *site) startHost(name, zone string) error {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = a
	}
	file := filepath.Join(s.folder, name+".toml")
	text := fmt.Sprintf(template, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], s.store.address, s.store.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return err
	}
	h := &hostProcess{name: name, zone: zone, callers: addresses[0], ready: addresses[1], exited: make(chan struct{})}
	h.cmd = exec.Command(s.daemon, "--config", file)
	h.cmd.Env = append(os.Environ(), "BRONZELOFT_BOOT="+file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = h.cmd.Wait() // the exit status is in the log
		s.rec.logf("host %s has ended", h.name)
		close(h.exited)
	}()
	s.hosts = append(s.hosts, h)
	s.rec.logf("host %s started in %s", name, zone)
	return nil
}

// awaitReady waits until all hosts are ready, and a little longer so that they know
// each other.
func (s *site) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s was not ready in time", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	s.rec.logf("all hosts are ready")
	return nil
}

func (h *hostProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/-/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (s *site) signal(h *hostProcess, sig syscall.Signal) {
	s.rec.logf("host %s gets %v", h.name, sig)
	if err := h.cmd.Process.Signal(sig); err != nil {
		s.rec.logf("signal to %s: %v", h.name, err)
	}
}

// configure writes a new version of the configuration and returns when the store
// has acknowledged it.
func (s *site) configure(version int, change func(config map[string]any)) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config["version"] = version
	change(s.config)
	if _, err := s.store.put("config", "main", s.config); err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	s.rec.logf("the store acknowledges version %d of the configuration", version)
	return at, nil
}

// stop ends all processes of the site and removes its folder.
func (s *site) stop() {
	for _, h := range s.hosts {
		select {
		case <-h.exited:
		default:
			_ = h.cmd.Process.Signal(syscall.SIGCONT) // it may be stopped
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	if dir := os.Getenv("REVIEW_KEEP_LOGS"); dir != "" {
		for _, h := range s.hosts {
			if raw, err := os.ReadFile(filepath.Join(s.folder, h.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(dir, h.name+".log"), raw, 0o600)
			}
		}
	}
	if strings.HasPrefix(filepath.Base(s.folder), "review-") {
		_ = os.RemoveAll(s.folder)
	}
}
