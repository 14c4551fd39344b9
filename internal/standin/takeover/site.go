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
	"sync/atomic"
	"syscall"
	"time"
)

// site is a small deployment: two zones with two hosts each, three services with three
// databases each, and the platform.
type site struct {
	rec    *record
	layout layout
	store  *store
	group  *group // of the first service
	groups []*group
	folder string
	builds builds
	hosts  []*hostProcess
	ended  chan struct{}
	config map[string]any
}

// layout is what a site consists of.
type layout struct {
	services   []string
	zones      []string // the data centres
	databases  []string // data centre of each database of a service
	hosts      []string // data centre of each host
	timeoutMs  int      // of the routes that read the primary
	lineByLine bool     // each line of the databases' answers is sent in a segment of its own
	faults     *faults  // nil for none
}

// hostProcess is one process of the project's daemon.
type hostProcess struct {
	name, zone     string
	file           string // its settings
	callers, ready string
	build          atomic.Pointer[build] // that it runs, or ran last
	cmd            *exec.Cmd
	exited         chan struct{}
}

// services are the names of the services.
var services = []string{"orders-db", "stock-db", "vans-db"}

// Routes of the site, by their database names.
const (
	routePrimary = "book"
	routeOwn     = "plan"
	routeExtra   = "partner"
)

// routesCurrent are the database names of routes whose reads see the primary, one for
// each service.
var routesCurrent = []string{routePrimary, "book-stock", "book-vans"}

// routesBounded are the database names of the routes with bounded staleness, one for
// each service.
var routesBounded = []string{"look", "look-stock", "look-vans"}

// Tenants of the site and their keys.
var tenants = map[string]string{"shop": "key-of-shop-1", "yard": "key-of-yard-1", "partner": "key-of-partner-1"}

// newSite starts a site.
func newSite(rec *record, b builds, l layout) (*site, error) {
	s := &site{rec: rec, layout: l, builds: b, ended: make(chan struct{})}
	var err error
	for _, name := range l.services {
		g, err := newGroup(rec, name, l)
		if err != nil {
			return nil, err
		}
		s.groups = append(s.groups, g)
	}
	s.group = s.groups[0]
	if s.store, err = newStore(rec, s.promote); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	s.config = firstConfig(l)
	if _, err := s.store.put("config", "main", s.config); err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	for _, g := range s.groups {
		for _, d := range g.databases {
			if _, err := s.store.put("servers", d.id, d.entryOf(1, born)); err != nil {
				return nil, err
			}
		}
	}
	for i, zone := range l.hosts {
		if err := s.startHost(fmt.Sprintf("edge-%d", i+1), zone); err != nil {
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

// promote carries out a promotion call.
func (s *site) promote(service, id string, fence uint64) int {
	for _, g := range s.groups {
		if g.service == service {
			return g.promote(id, fence)
		}
	}
	return http.StatusConflict
}

func route(service, database, kind string, timeoutMs, sloMs, priority, staleMs int) map[string]any {
	r := map[string]any{"name": "r-" + database, "database": database, "pathPrefix": "/", "type": kind, "timeoutMs": timeoutMs,
		"sloMs": sloMs, "priority": priority, "service": service, "maxAttempts": 2, "public": false}
	if staleMs > 0 {
		r["maxStalenessMs"] = staleMs
	}
	return r
}

func firstConfig(l layout) map[string]any {
	services := l.services
	routes := []map[string]any{
		route(services[0], routeOwn, "read_your_writes", l.timeoutMs, 400, 2, 2500),
		route(services[0], routeExtra, "primary", l.timeoutMs, 200, 1, 0),
	}
	var list, holders []map[string]any
	for i, name := range services {
		routes = append(routes, route(name, routesCurrent[i], "primary", l.timeoutMs, 200, 1, 0))
		routes = append(routes, route(name, routesBounded[i], "bounded_staleness", 3000, 800, 2, 1500))
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConnections, "protocol": "h1", "tls": false, "syncReplicas": 1})
	}
	for name, key := range tenants {
		holders = append(holders, map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "ratePerS": 500, "burst": 500})
	}
	return map[string]any{
		"version":  7,
		"routes":   routes,
		"services": list,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  holders,
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
data_centres = [%s]
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

// startAttempts is how often a host is started with other ports, since another process
// may have taken one of them.
const startAttempts = 5

// listenTime is how long a host takes to open its listeners.
const listenTime = 300 * time.Millisecond

func (s *site) startHost(name, zone string) error {
	for range startAttempts {
		h, err := s.tryHost(name, zone)
		if err != nil {
			return err
		}
		select {
		case <-h.exited:
		case <-time.After(listenTime):
			s.hosts = append(s.hosts, h)
			return nil
		}
	}
	return fmt.Errorf("host %s did not start", name)
}

// tryHost starts a host on ports that are free.
func (s *site) tryHost(name, zone string) (*hostProcess, error) {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	file := filepath.Join(s.folder, name+".toml")
	platform, err := s.entrance(name)
	if err != nil {
		return nil, err
	}
	quoted := `"` + strings.Join(s.layout.zones, `","`) + `"`
	text := fmt.Sprintf(template, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], quoted, platform, platform)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h := &hostProcess{name: name, zone: zone, file: file, callers: addresses[0], ready: addresses[1]}
	h.build.Store(s.builds.first())
	if err := s.launch(h); err != nil {
		return nil, err
	}
	return h, nil
}

// launch starts the process of a host, for the first time or again.
func (s *site) launch(h *hostProcess) error {
	log, err := os.OpenFile(filepath.Join(s.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	b := h.build.Load()
	cmd := exec.Command(b.path, "--config", h.file)
	cmd.Env = append(os.Environ(), "BRONZELOFT_BOOT="+h.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	if s.layout.faults != nil {
		s.layout.faults.started(h.name, cmd.Process.Pid)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status is in the log
		s.rec.logf("host %s has ended", h.name)
		close(exited)
	}()
	h.cmd, h.exited = cmd, exited
	s.rec.notef("host %s started in %s as %s", h.name, h.zone, b.name)
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
