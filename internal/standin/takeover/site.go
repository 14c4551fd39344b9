package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// site is a deployment: hosts, databases and the platform.
type site struct {
	rec       *record
	layout    layout
	store     *store
	groups    []*group
	folder    string
	builds    builds
	hosts     []*hostProcess
	config    *config
	crossings *crossings
}

// hostProcess is one process of the project's daemon.
type hostProcess struct {
	name, zone     string
	file           string // its settings
	callers, ready string
	peers, access  string
	build          atomic.Pointer[build] // that it runs, or ran last
	cmd            *exec.Cmd
	exited         chan struct{}
}

// newSite starts a site.
func newSite(rec *record, b builds, l layout) (*site, error) {
	s := &site{rec: rec, layout: l, builds: b, crossings: newCrossings(rec, l.faults)}
	var err error
	if s.folder, err = os.MkdirTemp("", folderPrefix); err != nil {
		return nil, err
	}
	for _, name := range l.services {
		g, err := newGroup(rec, name, s.folder, l)
		if err != nil {
			s.stop()
			return nil, err
		}
		s.groups = append(s.groups, g)
	}
	if s.store, err = newStore(rec, s.promote); err != nil {
		s.stop()
		return nil, err
	}
	s.config = newConfig(s.store, l)
	if err := s.config.publish(); err != nil {
		s.stop()
		return nil, err
	}
	for _, m := range s.databases() {
		role := roleReplica
		if m == m.g.primary {
			role = rolePrimary
		}
		if _, err := s.store.put(kindServers, m.id, m.entry(role)); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.startHosts(); err != nil {
		s.stop()
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// promote carries out a promotion call.
func (s *site) promote(call promotionCall) int {
	for _, g := range s.groups {
		if g.service == call.Service {
			return g.promote(call)
		}
	}
	return http.StatusConflict
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
memory_mb = %d
cpu_share = %g

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

// startedAtOnce is the number of hosts that are started at once.
const startedAtOnce = 8

// startHosts starts all hosts, a few at once.
func (s *site) startHosts() error {
	s.hosts = make([]*hostProcess, len(s.layout.hosts))
	errs := make([]error, len(s.hosts))
	for from := 0; from < len(s.hosts); from += startedAtOnce {
		var all sync.WaitGroup
		for i := from; i < min(from+startedAtOnce, len(s.hosts)); i++ {
			all.Go(func() { s.hosts[i], errs[i] = s.startHost(fmt.Sprintf("edge-%d", i+1), s.layout.hosts[i]) })
		}
		all.Wait()
	}
	s.hosts = slices.DeleteFunc(s.hosts, func(h *hostProcess) bool { return h == nil })
	return errors.Join(errs...)
}

func (s *site) startHost(name string, size hostLayout) (*hostProcess, error) {
	for range startAttempts {
		h, err := s.tryHost(name, size)
		if err != nil {
			return nil, err
		}
		select {
		case <-h.exited:
		case <-time.After(listenTime):
			return h, nil
		}
	}
	return nil, fmt.Errorf("host %s did not start", name)
}

// tryHost starts a host on ports that are free.
func (s *site) tryHost(name string, size hostLayout) (*hostProcess, error) {
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
	text := fmt.Sprintf(template, name, size.zone, addresses[0], addresses[1], addresses[2], addresses[3], quoted, platform, size.memoryMB, size.cpuShare, platform)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h := &hostProcess{name: name, zone: size.zone, file: file, callers: addresses[0], ready: addresses[1], peers: addresses[2], access: addresses[3]}
	h.build.Store(s.builds.first())
	if err := s.crossings.add(h); err != nil {
		return nil, err
	}
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
	if s.layout.oneCore {
		cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
	}
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

// readyTime is how much longer a site takes to be ready for each host.
const readyTime = 500 * time.Millisecond

// awaitReady waits until all hosts are ready, and a little longer so that they know
// each other.
func (s *site) awaitReady() error {
	end := time.Now().Add(20*time.Second + time.Duration(len(s.hosts))*readyTime)
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

// folderPrefix begins the name of a play's folder.
const folderPrefix = "takeover-"

// stop ends all processes of the site and removes its folder.
func (s *site) stop() {
	for _, g := range s.groups {
		g.stop()
	}
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
		for _, kept := range []string{"*.log", "*.journal*"} {
			files, _ := filepath.Glob(filepath.Join(s.folder, kept)) // the pattern is valid
			for _, file := range files {
				if raw, err := os.ReadFile(file); err == nil {
					_ = os.WriteFile(filepath.Join(dir, filepath.Base(file)), raw, 0o600)
				}
			}
		}
	}
	if strings.HasPrefix(filepath.Base(s.folder), folderPrefix) {
		_ = os.RemoveAll(s.folder)
	}
}
