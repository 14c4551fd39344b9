package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// member is one database of a group: its process, and the paths to it.
type member struct {
	g        *group
	id, zone string             // the id is its first one
	front    *front             // at which hosts reach it
	real     string             // at which its process listens
	journal  string             // file
	upstream map[*member]string // the addresses at which it reaches the others

	mu        sync.Mutex // guards the fields below
	cmd       *exec.Cmd
	stdin     io.Closer
	exited    chan struct{}
	down      bool
	instance  string // id under which the process runs; a new one if its log was handed over
	draining  bool
	lost      bool   // its log goes with its process
	stopped   int    // number of reasons for which it stands still
	role      string // as of its last answer
	term      int    // that it was told last
	links     map[*hostLink]struct{}
	seq       int
	born      int64
	announced string // the role and the state in its entry
	hidden    int    // number of reasons for which its entry is missing
}

func newMember(g *group, zone, folder string) (*member, error) {
	actual, err := freeAddress()
	if err != nil {
		return nil, err
	}
	id := newInstance()
	m := &member{g: g, id: id, instance: id, zone: zone, real: actual, journal: filepath.Join(folder, id+".journal"),
		upstream: map[*member]string{}, links: map[*hostLink]struct{}{}, term: firstTerm}
	m.front, err = newFront(m.carry)
	return m, err
}

func newInstance() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// name returns the id under which the process runs, or ran last.
func (m *member) name() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

// connect opens the path over which the database receives from another one.
func (m *member) connect(to *member) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.upstream[to] = l.Addr().String()
	x := &connectionPath{faults: m.g.faults, from: m.id, to: to.id}
	go x.carryConnections(l, to.real)
	return nil
}

// start starts the database's process, which follows or is a primary of a term.
func (m *member) start(leader *member, term int) error {
	set := databaseSettings{ID: m.name(), Service: m.g.service, Address: m.real, Journal: m.journal, Term: term, Leader: leader.name(),
		Upstream: m.upstream[leader], Seed: m.g.faults.seed, databaseLayout: m.g.database, behaviour: m.g.with.behaviour()}
	raw, err := json.Marshal(set)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, modeDatabase, "--settings", string(raw))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // it ends when it is killed
		close(exited)
	}()
	if err := awaitListener(m.real); err != nil {
		return fmt.Errorf("database %s: %w", m.id, err)
	}
	m.mu.Lock()
	m.cmd, m.stdin, m.exited, m.down = cmd, stdin, exited, false
	m.stopped, m.term, m.role = 0, term, ""
	m.seq, m.announced, m.born, m.draining, m.lost = 0, "", time.Now().UnixMilli(), false, false
	m.mu.Unlock()
	return m.front.enter()
}

// startTime is how long a process may take to listen.
const startTime = 5 * time.Second

func awaitListener(address string) error {
	for end := time.Now().Add(startTime); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			return err
		}
	}
}

// order sends an order to the database and records its state. It waits while the process
// stands still.
func (m *member) order(o order) (state, error) {
	m.mu.Lock()
	down, exited := m.down, m.exited
	m.mu.Unlock()
	if down {
		return state{}, fmt.Errorf("database %s is down", m.id)
	}
	c, err := dialControl(m.real)
	if err != nil {
		return state{}, err
	}
	defer c.conn.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-exited:
			c.conn.Close()
		case <-done:
		}
	}()
	out, err := c.do(o)
	if err != nil {
		return out, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.role = out.Role
	m.term = max(m.term, out.Term)
	return out, nil
}

// runs reports whether the process runs.
func (m *member) runs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.down && m.stopped == 0
}

func (m *member) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// hide keeps the entry of the database out of the store for a time, as after heartbeats
// that did not arrive.
func (m *member) hide(length time.Duration, remove func()) {
	by := func(n int) {
		m.mu.Lock()
		m.hidden += n
		m.mu.Unlock()
	}
	by(1)
	remove()
	time.Sleep(length)
	by(-1)
}

// freeze stops the database's process for a time.
func (m *member) freeze(length time.Duration) {
	m.signal(syscall.SIGSTOP, 1)
	time.Sleep(length)
	m.signal(syscall.SIGCONT, -1)
}

// signal stops the process, or continues it unless there is another reason to stop it.
func (m *member) signal(sig syscall.Signal, by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped = max(0, m.stopped+by); m.down || sig == syscall.SIGCONT && m.stopped > 0 {
		return
	}
	if err := m.cmd.Process.Signal(sig); err != nil {
		m.g.rec.logf("%v to %s: %v", sig, m.id, err)
	}
}

// keepsLog reports whether the process runs, or is to start again with its log.
func (m *member) keepsLog() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lost
}

// loseLog states that the process will not start with its log again.
func (m *member) loseLog() {
	m.mu.Lock()
	m.lost = true
	m.mu.Unlock()
}

// kill ends the process, unless it is down. how is what its address does then.
func (m *member) kill(how absence) bool {
	m.mu.Lock()
	if m.down || m.cmd == nil {
		m.mu.Unlock()
		return false
	}
	m.down = true
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	m.front.leave(how)
	_ = cmd.Process.Kill() // it may have ended
	<-exited
	m.mu.Lock()
	m.stdin.Close()
	m.mu.Unlock()
	return true
}

// replace gives the next process another id. The entry of the former one goes.
func (m *member) replace(remove func(id string)) {
	m.mu.Lock()
	former := m.instance
	m.instance = newInstance()
	m.mu.Unlock()
	remove(former)
}

// restart starts the process again, with its log or without.
func (m *member) restart(empty bool) {
	if empty {
		if err := os.Rename(m.journal, fmt.Sprintf("%s.%d", m.journal, time.Now().UnixNano())); err != nil {
			m.g.rec.notef("log of %s: %v", m.id, err)
		}
	}
	if err := m.g.restart(m); err != nil {
		m.g.rec.notef("start of %s: %v", m.id, err)
	}
}
