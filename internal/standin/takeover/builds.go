package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// build is one version of the project's daemon.
type build struct{ name, path string }

// builds are the versions that a fleet consists of. older is nil if there is one only.
type builds struct{ newer, older *build }

func newBuilds(newer, older string) (builds, error) {
	var out builds
	var err error
	if out.newer, err = newBuild(newer); err != nil || older == "" {
		return out, err
	}
	if out.older, err = newBuild(older); err != nil {
		return out, err
	}
	if out.older.name == out.newer.name {
		out.older.name, out.newer.name = "older "+out.older.name, "newer "+out.newer.name
	}
	return out, nil
}

func newBuild(path string) (*build, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	return &build{name: filepath.Base(path), path: path}, nil
}

// first returns the version as which the fleet starts.
func (b builds) first() *build {
	if b.older != nil {
		return b.older
	}
	return b.newer
}

// buildChange restarts one host as another version.
type buildChange struct {
	at       time.Duration
	host     int // by index
	to       *build
	graceful bool // by SIGTERM
}

// Phases of the changes of versions, as shares of the time of the faults.
const (
	upgradeFrom  = 0.06
	rollbackFrom = 0.46
	againFrom    = 0.65
	againUntil   = 0.88
)

// shutdownTime is the time after which a host that is to stop is killed.
const shutdownTime = 8 * time.Second

// changes returns the changes of a seed: all hosts are upgraded one by one, half of them
// are rolled back, and these are upgraded again.
func (b builds) changes(seed uint64, hosts int, length time.Duration) []buildChange {
	if b.older == nil {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, streamBuilds))
	var out []buildChange
	phase := func(from, until float64, who []int, to *build) {
		each := time.Duration((until - from) * float64(length) / float64(len(who)))
		for i, host := range who {
			at := time.Duration(from*float64(length)) + time.Duration(i)*each + time.Duration(r.Int64N(int64(each)))
			out = append(out, buildChange{at: at, host: host, to: to, graceful: r.Float64() < 0.5})
		}
	}
	phase(upgradeFrom, rollbackFrom, r.Perm(hosts), b.newer)
	back := r.Perm(hosts)[:(hosts+1)/2]
	phase(rollbackFrom, againFrom, back, b.older)
	phase(againFrom, againUntil, back, b.newer)
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// change restarts a host as another version, once no other fault holds it.
func (t *takeover) change(c buildChange) {
	h := t.s.hosts[c.host]
	for !t.reserve(h.name) {
		time.Sleep(claimPoll)
	}
	defer t.release(h.name)
	if h.build.Load() == c.to {
		return
	}
	sig := syscall.SIGKILL
	if c.graceful {
		sig = syscall.SIGTERM
	}
	t.s.rec.notef("host %s is to be replaced: it ends by %v, and starts as %s", h.name, sig, c.to.name)
	t.s.signal(h, sig)
	select {
	case <-h.exited:
	case <-time.After(shutdownTime):
		t.s.rec.notef("host %s has not ended in time", h.name)
		t.s.signal(h, syscall.SIGKILL)
		<-h.exited
	}
	h.build.Store(c.to)
	t.restart(h)
}

// claimPoll is the time between two tries to reserve a host.
const claimPoll = 20 * time.Millisecond

// reserve reserves a host for a change of its version. Unlike claim it sets no limit to
// the hosts that are in a fault at once.
func (t *takeover) reserve(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.troubled[host] || t.replaced[host] {
		return false
	}
	t.replaced[host] = true
	return true
}

func (t *takeover) release(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.replaced, host)
}

// versions names the version of each host.
func (s *site) versions() string {
	var out []string
	for _, h := range s.hosts {
		out = append(out, fmt.Sprintf("%s %s", h.name, h.build.Load().name))
	}
	return "hosts by version: " + strings.Join(out, ", ")
}
