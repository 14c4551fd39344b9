package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// workTime is how long a database works on a statement.
var workTime = func(string) time.Duration { return 15 * time.Millisecond }

// pause waits for a random time between the bounds.
func pause(least, most time.Duration) { time.Sleep(least + rand.N(most-least)) }

// attempt is one transaction of a caller.
type attempt struct {
	caller   string
	tenant   string
	ids      []string // of its statements
	promised string   // the code that promised that nothing is kept
	commit   string   // id of its COMMIT, if sent
}

// attempts collects the transactions of all callers.
type attempts struct {
	mu   sync.Mutex
	list []*attempt
}

func (a *attempts) add(t *attempt) {
	a.mu.Lock()
	a.list = append(a.list, t)
	a.mu.Unlock()
}

// transact runs one transaction of two writes and a read and records it. It reports
// whether the session can be used again.
func (c *client) transact(all *attempts, least, most time.Duration) bool {
	t := &attempt{caller: c.name, tenant: c.tenant}
	defer all.add(t)
	if r := c.query("BEGIN", 2*time.Second); r.err != nil || r.code != "" {
		return false
	}
	texts := []string{"WRITE " + c.name + "-a " + newID(), "READ " + c.name + "-a", "WRITE " + c.name + "-b " + newID(), "COMMIT"}
	for _, text := range texts {
		pause(least, most)
		r := c.query(text, 4*time.Second)
		t.ids = append(t.ids, r.id)
		if text == "COMMIT" {
			t.commit = r.id
		}
		if r.err != nil {
			return false
		}
		if r.code == "" {
			continue
		}
		if promises[r.code] {
			t.promised = r.code
		}
		if r.state == "E" {
			r = c.query("ROLLBACK", 4*time.Second)
		}
		return r.err == nil && r.state == "I"
	}
	return true
}

// playStall freezes one host after the other for less than a second while callers
// run transactions through the others.
func playStall(s *site, trouble bool) (bool, error) {
	var all attempts
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i, h := range s.hosts {
		for n := range 6 {
			tenant := []string{"shop", "yard"}[n%2]
			callers.Go(func() {
				name := fmt.Sprintf("c%d%d", i+1, n)
				var c *client
				for {
					select {
					case <-stop:
						if c != nil {
							c.close()
						}
						return
					default:
					}
					if c == nil {
						var err error
						if c, err = s.connect(name, h, routePrimary, tenant); err != nil {
							pause(100*time.Millisecond, 300*time.Millisecond)
							continue
						}
					}
					if !c.transact(&all, 50*time.Millisecond, 200*time.Millisecond) {
						c.close()
						c = nil
					}
					pause(50*time.Millisecond, 300*time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for round := range 12 {
		h := s.hosts[round%len(s.hosts)]
		if trouble {
			s.signal(h, syscall.SIGSTOP)
		}
		time.Sleep(800 * time.Millisecond)
		if trouble {
			s.signal(h, syscall.SIGCONT)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	return s.mixed(&all), nil
}

// mixed reports whether a statement ran in another caller's transaction, whether a
// write was committed that its caller was promised not to be kept, or whether a
// statement ran under another tenant.
func (s *site) mixed(all *attempts) bool {
	owner := map[string]*attempt{}
	for _, t := range all.list {
		for _, id := range t.ids {
			owner[id] = t
		}
	}
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	foreign, tenant, refused := 0, 0, 0
	for _, r := range g.statements {
		t := owner[r.id]
		if t == nil {
			continue
		}
		for _, id := range r.neighbour {
			if other := owner[id]; other != nil && other != t {
				foreign++
				s.rec.logf("PINNED: %s of %s (%s) ran on %s in the transaction of %s, after %s", r.id, t.caller, r.text, r.database, other.caller, id)
				break
			}
		}
		if r.tenant != t.tenant {
			tenant++
			s.rec.logf("UNASKED: %s of %s, tenant %s, ran on %s as tenant %s", r.id, t.caller, t.tenant, r.database, r.tenant)
		}
	}
	for _, c := range g.commits {
		for _, id := range c.statements {
			if t := owner[id]; t != nil && t.promised != "" {
				refused++
				s.rec.logf("REFUSED: %s of %s is committed by %s, though %s was told %s", id, t.caller, c.id, t.caller, t.promised)
			}
		}
	}
	s.rec.logf("transactions: %d, statements run: %d, commits: %d", len(all.list), len(g.statements), len(g.commits))
	s.rec.logf("statements in another's transaction: %d, under another tenant: %d, committed though refused: %d", foreign, tenant, refused)
	return foreign > 0 || tenant > 0 || refused > 0
}

// Bounds of the rule LOST around a SIGTERM.
const (
	excusedUntil = 3 * time.Second // a request sent by then may be cut in the last sixth of the grace period
	lossSlack    = 200 * time.Millisecond
	routeTimeout = 3 * time.Second // of routesBounded
	deadline     = 12 * time.Second
)

// reader is a caller of read transactions, for playShutdown.
type reader struct {
	s       *site
	name    string
	host    int // index of the host that is stopped
	service int // index
	mu      *sync.Mutex
	term    *time.Time // of the SIGTERM; guarded by mu
	lost    *[]string  // guarded by mu
	stopped chan struct{}
}

// run runs transactions through the host that is stopped and, once the platform has
// taken that one out of rotation, through the next one.
func (r *reader) run() {
	var c *client
	for {
		select {
		case <-r.stopped:
			if c != nil {
				c.close()
			}
			return
		default:
		}
		if c == nil {
			r.mu.Lock()
			to := r.s.hosts[r.host]
			if !r.term.IsZero() && time.Since(*r.term) > 2*time.Second {
				to = r.s.hosts[(r.host+1)%len(r.s.hosts)]
			}
			r.mu.Unlock()
			var err error
			if c, err = r.s.connect(r.name, to, routesBounded[r.service], "shop"); err != nil {
				pause(200*time.Millisecond, 400*time.Millisecond)
				continue
			}
		}
		if !r.transact(c) {
			c.close()
			c = nil
		}
		pause(50*time.Millisecond, 200*time.Millisecond)
	}
}

// transact runs one transaction of eleven reads and reports whether the session can
// be used again.
func (r *reader) transact(c *client) bool {
	began := time.Now()
	a := c.query("BEGIN READ", 2*time.Second)
	for i := 0; i < 12 && a.err == nil && a.code == ""; i++ {
		text := fmt.Sprintf("READ item%d", rand.N(100))
		if i == 11 {
			text = "COMMIT"
		}
		pause(80*time.Millisecond, 160*time.Millisecond)
		sent := time.Now()
		a = c.query(text, 6*time.Second)
		if a.err != nil {
			r.judge(a, text, began, sent)
		}
	}
	if a.err == nil && a.code != "" && a.state == "E" {
		a = c.query("ROLLBACK", 4*time.Second)
	}
	return a.err == nil && a.state == "I"
}

// judge records a request whose connection ended without an answer, if the rule
// counts it.
func (r *reader) judge(a reply, text string, began, sent time.Time) {
	ended := time.Now()
	g := r.s.groups[r.service]
	g.mu.Lock()
	arrived, passedOn := g.arrived[a.id]
	g.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term.IsZero() || !passedOn && ended.Sub(sent) <= lossSlack {
		return
	}
	where := "had not reached a database"
	if passedOn {
		where = fmt.Sprintf("reached a database %d ms later", arrived.Sub(sent).Milliseconds())
	}
	after := sent.Sub(*r.term)
	if after <= excusedUntil || after > grace+time.Second || ended.Sub(sent) >= routeTimeout || ended.Sub(began) >= deadline {
		return
	}
	*r.lost = append(*r.lost, fmt.Sprintf("LOST: %s (%s) of %s, sent %d ms after the SIGTERM, %s; its connection ended without an answer after %d ms",
		a.id, text, r.name, after.Milliseconds(), where, ended.Sub(sent).Milliseconds()))
}

// playShutdown stops one host after the other with SIGTERM, while callers run read
// transactions of twelve statements through it, and starts it again.
func playShutdown(s *site, trouble bool) (bool, error) {
	workTime = func(string) time.Duration { return 330*time.Millisecond + rand.N(80*time.Millisecond) }
	var lost []string
	for i := range s.hosts {
		if err := stopUnderLoad(s, i, trouble, &lost); err != nil {
			return false, err
		}
	}
	s.rec.logf("requests whose connection ended without an answer: %d", len(lost))
	return len(lost) > 0, nil
}

// stopUnderLoad stops one host and starts it again.
func stopUnderLoad(s *site, i int, trouble bool, lost *[]string) error {
	target := s.hosts[i]
	var mu sync.Mutex
	var term time.Time
	var callers sync.WaitGroup
	stopped := make(chan struct{})
	before := len(*lost)
	for n := range 42 {
		r := &reader{s: s, name: fmt.Sprintf("reader%d", n+1), host: i, service: n % len(services), mu: &mu, term: &term, lost: lost, stopped: stopped}
		callers.Go(r.run)
	}
	time.Sleep(7 * time.Second)
	if trouble {
		mu.Lock()
		term = time.Now()
		mu.Unlock()
		s.signal(target, syscall.SIGTERM)
		select {
		case <-target.exited:
			s.rec.logf("host %s ended %d ms after its SIGTERM", target.name, time.Since(term).Milliseconds())
		case <-time.After(grace):
			s.rec.logf("host %s still ran at the end of the grace period", target.name)
		}
	} else {
		time.Sleep(grace)
	}
	time.Sleep(time.Second)
	close(stopped)
	callers.Wait()
	for _, line := range (*lost)[before:] {
		s.rec.logf("%s", line)
	}
	if !trouble {
		return nil
	}
	select {
	case <-target.exited:
	default:
		return fmt.Errorf("host %s did not end", target.name)
	}
	if err := s.launch(target); err != nil {
		return err
	}
	return s.awaitReady()
}

// playOffboard takes away a tenant's key and its route in one version of the
// configuration while the tenant has a transaction open.
func playOffboard(s *site, trouble bool) (bool, error) {
	const configApply = 3 * time.Second
	c, err := s.connect("partner", s.hosts[0], routeExtra, "partner")
	if err != nil {
		return false, err
	}
	defer c.close()
	first := []string{"BEGIN", "WRITE partner-1 " + newID()}
	for _, text := range first {
		if r := c.query(text, 2*time.Second); r.err != nil || r.code != "" {
			return false, fmt.Errorf("%s: %s %v", text, r.code, r.err)
		}
	}
	// A second tenant loses its key, but not its route: its open transaction shows how
	// the host treats a withdrawn key otherwise.
	other, err := s.connect("yard", s.hosts[0], routePrimary, "yard")
	if err != nil {
		return false, err
	}
	defer other.close()
	for _, text := range []string{"BEGIN", "WRITE yard-1 " + newID()} {
		if r := other.query(text, 2*time.Second); r.err != nil || r.code != "" {
			return false, fmt.Errorf("%s: %s %v", text, r.code, r.err)
		}
	}
	acked, err := s.configure(9, func(config map[string]any) {
		if !trouble {
			config["limits"].(map[string]any)["idleTimeoutMs"] = 14000
			return
		}
		var routes, rest []map[string]any
		for _, r := range config["routes"].([]map[string]any) {
			if r["database"] != routeExtra {
				routes = append(routes, r)
			}
		}
		for _, t := range config["tenants"].([]map[string]any) {
			if t["name"] == "shop" {
				rest = append(rest, t)
			}
		}
		config["routes"], config["tenants"] = routes, rest
	})
	if err != nil {
		return false, err
	}
	late := map[string]string{}
	for i := range 11 {
		time.Sleep(700 * time.Millisecond)
		if i == 1 && trouble {
			r := other.query("WRITE yard-2 "+newID(), 2*time.Second)
			s.rec.logf("the tenant that lost its key, but not its route, is answered %q", r.code)
		}
		text := fmt.Sprintf("WRITE partner-%d %s", i+2, newID())
		if i == 10 {
			text = "COMMIT"
		}
		sent := time.Now()
		r := c.query(text, 4*time.Second)
		if sent.Sub(acked) > configApply {
			late[r.id] = text
		}
		if r.err != nil || r.code != "" {
			break
		}
	}
	if trouble {
		if other, err := s.connect("partner-again", s.hosts[1], routePrimary, "partner"); err == nil {
			r := other.query("READ partner-1", 2*time.Second)
			s.rec.logf("a new session with the key: %q", r.code)
			other.close()
		} else {
			s.rec.logf("a new session with the key: %v", err)
		}
	}
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := 0
	for _, r := range g.statements {
		if text, ok := late[r.id]; ok && trouble {
			broken++
			s.rec.logf("CONFIG: %s (%s) ran on %s as tenant %s, sent over %v after the version without its key was acknowledged", r.id, text, r.database, r.tenant, configApply)
		}
	}
	for _, k := range g.commits {
		if _, ok := late[k.id]; ok && trouble {
			broken++
			s.rec.logf("CONFIG: %s committed %d statements, sent over %v after the version without its key was acknowledged", k.id, len(k.statements), configApply)
		}
	}
	return broken > 0, nil
}
