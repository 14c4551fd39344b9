package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Timing of the case takeover.
const (
	takeoverFor     = 26 * time.Second // faults come for this long
	settleFor       = 2 * time.Second  // clients write on after the last order was carried out
	catchUpEvery    = 20 * time.Millisecond
	announceEvery   = 100 * time.Millisecond
	writersPerHost  = 1               // for each service
	writerTimeout   = 8 * time.Second // longer than any host is stopped
	troubledAtMost  = 2               // hosts that are stopped or killed at once
	takeoverHitting = 0.15            // share of a takeover's steps at which its host is hit
	hitWithin       = 1200 * time.Millisecond
	starving        = 0.6 // share of the ordered promotions whose database receives nothing more
	leastPromotions = 1   // a play with fewer shows nothing
	leastAcked      = 200 // nor one with fewer acknowledged commits
)

// Streams of random numbers of one seed.
const (
	streamPlan = iota
	streamCalls
	streamHits
	streamBuilds
)

func takeoverLayout(rec *record, seed uint64) layout {
	l := layout{
		services:  services,
		zones:     []string{"zone-a", "zone-b", "zone-c"},
		databases: []string{"zone-a", "zone-b", "zone-c"},
		hosts:     []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"},
		timeoutMs: 2000,
		faults:    newFaults(rec, seed),
	}
	if seed%3 == 0 {
		l.databases = append(l.databases, "zone-b")
	}
	rec.logf("seed %d", seed)
	return l
}

// step is one fault of the plan. Who is the primary is found when it begins.
type step struct {
	at, length time.Duration
	kind       string
	group      int     // the service, by index
	share      float64 // of the hosts or connections
	zone       int     // zone, host or database, by index
	primary    bool    // it is the primary's zone
	platform   bool    // the platform is cut off too
	order      []int   // of the hosts, the first share of which is hit
}

func (s step) String() string {
	return fmt.Sprintf("%s for %d ms (service %d, share %.2f, of the primary %v, index %d, with the platform %v)", s.kind, s.length.Milliseconds(), s.group, s.share, s.primary, s.zone, s.platform)
}

// planOf returns the faults of a seed: series that follow each other and overlap.
func planOf(seed uint64, l layout) []step {
	r := rand.New(rand.NewPCG(seed, streamPlan))
	between := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least)) * time.Millisecond
	}
	var plan []step
	add := func(s step) {
		s.order = r.Perm(len(l.hosts))
		if s.at+s.length < takeoverFor {
			plan = append(plan, s)
		}
	}
	for at := time.Second; at < takeoverFor; at += between(3000, 5000) {
		if r.Float64() < 0.5 {
			add(step{at: at, length: between(1200, 2800), kind: "zone cut", group: r.IntN(len(l.services)), zone: r.IntN(len(l.zones)), primary: r.Float64() < 0.7, platform: r.Float64() < 0.7})
		}
		for g := range l.services {
			if r.Float64() < 0.7 {
				add(step{at: at + between(300, 2000), length: between(2000, 4500), kind: "primary cut", group: g, share: []float64{0.55, 0.7, 0.85, 1}[r.IntN(4)], primary: r.Float64() < 0.3})
			}
			if r.Float64() < 0.15 {
				add(step{at: at + between(0, 2000), length: between(400, 2500), kind: "crash of the primary", group: g})
			}
			if r.Float64() < 0.3 {
				add(step{at: at + between(0, 2000), length: between(500, 2500), kind: "replica receives nothing", group: g, zone: r.IntN(len(l.databases))})
			}
		}
		if r.Float64() < 0.5 {
			add(step{at: at + between(1000, 2500), kind: "reset", share: 0.5})
		}
		if r.Float64() < 0.3 {
			add(step{at: at + between(0, 2500), length: between(1000, 5000), kind: "stop", zone: r.IntN(len(l.hosts))})
		}
		if r.Float64() < 0.2 {
			add(step{at: at + between(0, 2500), length: between(200, 1000), kind: "kill", zone: r.IntN(len(l.hosts))})
		}
		if r.Float64() < 0.2 {
			add(step{at: at + between(0, 2500), length: between(500, 2500), kind: "store cut", share: []float64{0.2, 0.5}[r.IntN(2)]})
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
	return plan
}

// takeover is one play of the case.
type takeover struct {
	s *site
	f *faults

	mu       sync.Mutex
	hits     *rand.Rand
	hitting  bool
	troubled map[string]bool      // hosts that are stopped or killed
	replaced map[string]bool      // hosts that are restarted as another version
	acked    map[string]time.Time // when a commit's client got its success, by id
	ackedBy  map[string]string    // and the host that it came from
	reads    map[string]span      // answered reads of the primary, by id
	busy     sync.WaitGroup       // faults under way
	stalled  time.Duration        // of the stand-in itself
}

type span struct{ began, ended time.Time }

// playTakeover replaces primaries again and again, while paths are cut, orders are
// carried out late, and hosts are stopped and killed in the middle of it. The rule is
// broken if a commit that a client was acknowledged is not in the log of a promoted
// database.
func playTakeover(s *site, trouble bool) (bool, error) {
	workTime = func(string) time.Duration { return 5 * time.Millisecond }
	f := s.layout.faults
	t := &takeover{s: s, f: f, hits: rand.New(rand.NewPCG(f.seed, streamHits)), troubled: map[string]bool{}, replaced: map[string]bool{},
		acked: map[string]time.Time{}, ackedBy: map[string]string{}, reads: map[string]span{}}
	f.mu.Lock()
	f.onTakeover, f.onOrder = t.hit, t.starve
	f.mu.Unlock()
	stop := make(chan struct{})
	var background, writers sync.WaitGroup
	for _, g := range s.groups {
		background.Go(func() { every(catchUpEvery, stop, g.catchUp) })
	}
	background.Go(func() { every(announceEvery, stop, t.announce) })
	background.Go(func() { t.watchOwnStalls(stop) })
	for _, h := range s.hosts {
		for i, service := range s.layout.services {
			for n := range writersPerHost {
				writers.Go(func() { t.write(fmt.Sprintf("%s-%s-%d", h.name, service, n+1), h, routesCurrent[i], stop) })
			}
		}
	}
	time.Sleep(time.Second)
	if trouble {
		t.disrupt()
	}
	t.busy.Wait()
	f.pending.Wait()
	time.Sleep(promoteTime + settleFor)
	close(stop)
	writers.Wait()
	background.Wait()
	return t.judge(trouble)
}

func every(interval time.Duration, stop <-chan struct{}, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-stop:
			return
		}
	}
}

// stallNoted is the least time for which the stand-in itself has stood still that is
// noted.
const stallNoted = 400 * time.Millisecond

// watchOwnStalls notes when the stand-in itself has stood still, as on a busy machine.
// Its databases, its clients and its faults stand still with it, and little is tried.
func (t *takeover) watchOwnStalls(stop <-chan struct{}) {
	last := time.Now()
	every(catchUpEvery, stop, func() {
		now := time.Now()
		if still := now.Sub(last) - catchUpEvery; still > stallNoted {
			t.s.rec.notef("the stand-in stood still for %d ms", still.Milliseconds())
			t.mu.Lock()
			t.stalled += still
			t.mu.Unlock()
		}
		last = now
	})
}

// announce writes the entries of the databases whose role has changed.
func (t *takeover) announce() {
	for _, d := range t.databases() {
		if t.f.isCut(d.id, platformEnd) {
			continue
		}
		d.g.mu.Lock()
		if d.down || d.announced == d.role() {
			d.g.mu.Unlock()
			continue
		}
		entry := d.entryOf(d.seq+1, d.born)
		d.g.mu.Unlock()
		if _, err := t.s.store.put("servers", d.id, entry); err != nil {
			t.s.rec.logf("entry of %s: %v", d.id, err)
		}
	}
}

// databases returns those of all services.
func (t *takeover) databases() []*database {
	var out []*database
	for _, g := range t.s.groups {
		out = append(out, g.databases...)
	}
	return out
}

// disrupt plays the plan and returns when its time is over.
func (t *takeover) disrupt() {
	began := time.Now()
	t.f.disrupt(true)
	t.mu.Lock()
	t.hitting = true
	t.mu.Unlock()
	for _, c := range t.s.builds.changes(t.f.seed, len(t.s.hosts)) {
		t.busy.Go(func() {
			time.Sleep(time.Until(began.Add(c.at)))
			t.change(c)
		})
	}
	for _, s := range planOf(t.f.seed, t.s.layout) {
		time.Sleep(time.Until(began.Add(s.at)))
		t.busy.Go(func() { t.play(s) })
	}
	time.Sleep(time.Until(began.Add(takeoverFor)))
	t.mu.Lock()
	t.hitting = false
	t.mu.Unlock()
	t.busy.Wait()
	t.f.disrupt(false)
	t.s.rec.notef("the faults end")
}

// play plays one step of the plan.
func (t *takeover) play(s step) {
	g := t.s.groups[s.group]
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	var paths []path
	subject := ""
	switch s.kind {
	case "zone cut":
		zone := t.s.layout.zones[s.zone]
		if s.primary {
			zone = primary.zone
		}
		subject, paths = zone, t.around(zone, s.platform)
	case "primary cut":
		subject = primary.id
		for _, i := range s.order[:int(s.share*float64(len(s.order)))] {
			paths = append(paths, pathOf(primary.id, t.s.hosts[i].name))
		}
		if s.primary { // from its replicas too
			for _, d := range g.databases {
				if d != primary {
					paths = append(paths, pathOf(primary.id, d.id))
				}
			}
		}
	case "replica receives nothing":
		subject = g.databases[s.zone].id
		for _, d := range g.databases {
			if d.id != subject {
				paths = append(paths, pathOf(subject, d.id))
			}
		}
	case "store cut":
		for _, i := range s.order[:max(1, int(s.share*float64(len(s.order))))] {
			subject += t.s.hosts[i].name + " "
			paths = append(paths, pathOf(platformEnd, t.s.hosts[i].name))
		}
	case "reset":
		t.s.rec.notef("%s", s)
		t.reset(s)
		return
	case "crash of the primary":
		t.s.rec.notef("%s: %s", s, primary.id)
		primary.setDown(true)
		time.Sleep(s.length)
		primary.setDown(false)
		t.s.rec.notef("%s is back", primary.id)
		return
	case "stop", "kill":
		h := t.s.hosts[s.zone]
		if t.claim(h.name) {
			t.trouble(h, s.kind, s.length)
		}
		return
	}
	t.s.rec.notef("%s: %s %v", s, subject, paths)
	t.f.cut(paths)
	time.Sleep(s.length)
	t.f.heal(paths)
	t.s.rec.notef("%s of %s has healed", s.kind, subject)
}

// around returns the paths between a zone and all that is outside.
func (t *takeover) around(zone string, platform bool) []path {
	type end struct{ name, zone string }
	var ends []end
	for _, h := range t.s.hosts {
		ends = append(ends, end{h.name, h.zone})
	}
	for _, d := range t.databases() {
		ends = append(ends, end{d.id, d.zone})
	}
	if platform {
		ends = append(ends, end{platformEnd, ""})
	}
	var out []path
	for i, a := range ends {
		for _, b := range ends[:i] {
			if (a.zone == zone) != (b.zone == zone) {
				out = append(out, pathOf(a.name, b.name))
			}
		}
	}
	return out
}

// reset closes the connections of some hosts to the databases.
func (t *takeover) reset(s step) {
	hit := map[string]bool{}
	for _, i := range s.order[:int(s.share*float64(len(s.order)))] {
		hit[t.s.hosts[i].name] = true
	}
	for _, d := range t.databases() {
		d.g.mu.Lock()
		for c := range d.links {
			if hit[c.from] {
				c.conn.Close()
			}
		}
		d.g.mu.Unlock()
	}
}

// setDown crashes a database, or starts it again with its log.
func (d *database) setDown(down bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.down = down
	if down {
		d.paused = 0
		for c := range d.links {
			c.conn.Close()
		}
	}
	d.g.notify()
}

// hit stops or kills a host that acts on a takeover, at times, a little later.
func (t *takeover) hit(host string) {
	t.mu.Lock()
	if !t.hitting || t.hits.Float64() >= takeoverHitting {
		t.mu.Unlock()
		return
	}
	wait := time.Duration(t.hits.Int64N(int64(hitWithin)))
	kind, length := "stop", time.Second+time.Duration(t.hits.Int64N(int64(4*time.Second)))
	if t.hits.Float64() < 0.3 {
		kind, length = "kill", 200*time.Millisecond+time.Duration(t.hits.Int64N(int64(800*time.Millisecond)))
	}
	t.mu.Unlock()
	if !t.claim(host) {
		return
	}
	for _, h := range t.s.hosts {
		if h.name == host {
			t.busy.Go(func() {
				time.Sleep(wait)
				t.trouble(h, kind, length)
			})
		}
	}
}

// starve cuts a database off from the others, at times, when its promotion is ordered:
// what the primary commits until the promotion takes effect reaches other replicas only.
func (t *takeover) starve(id string) {
	t.mu.Lock()
	hit := t.hitting && t.hits.Float64() < starving
	length := time.Second + time.Duration(t.hits.Int64N(int64(4*time.Second)))
	t.mu.Unlock()
	if !hit {
		return
	}
	var paths []path
	for _, d := range t.databases() {
		if d.id != id {
			paths = append(paths, pathOf(id, d.id))
		}
	}
	t.busy.Go(func() {
		t.s.rec.notef("%s, ordered to be promoted, receives nothing for %d ms", id, length.Milliseconds())
		t.f.cut(paths)
		time.Sleep(length)
		t.f.heal(paths)
	})
}

// claim reserves a host for one fault. It reports false if it is in one, or too many
// others are.
func (t *takeover) claim(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.troubled[host] || t.replaced[host] || len(t.troubled) >= troubledAtMost {
		return false
	}
	t.troubled[host] = true
	return true
}

// trouble stops a host for a time, or kills it and starts it again.
func (t *takeover) trouble(h *hostProcess, kind string, length time.Duration) {
	defer func() {
		t.mu.Lock()
		delete(t.troubled, h.name)
		t.mu.Unlock()
	}()
	t.s.rec.notef("%s of host %s for %d ms", kind, h.name, length.Milliseconds())
	if kind == "stop" {
		t.s.signal(h, syscall.SIGSTOP)
		time.Sleep(length)
		t.s.signal(h, syscall.SIGCONT)
		t.s.rec.notef("host %s goes on", h.name)
		return
	}
	t.s.signal(h, syscall.SIGKILL)
	<-h.exited
	time.Sleep(length)
	t.restart(h)
}

// restart starts a host that has ended.
func (t *takeover) restart(h *hostProcess) {
	for range startAttempts {
		if err := t.s.launch(h); err != nil {
			t.s.rec.logf("start of %s: %v", h.name, err)
			continue
		}
		select {
		case <-h.exited: // its port may be taken for a moment
		case <-time.After(listenTime):
			t.s.rec.notef("host %s is started again; %s", h.name, t.s.versions())
			return
		}
	}
}

// write is a client that writes, and reads the primary, through one host all the time.
func (t *takeover) write(name string, h *hostProcess, route string, stop <-chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = t.s.connect(name, h, route, "shop"); err != nil {
				c = nil
				pause(50*time.Millisecond, 150*time.Millisecond)
				continue
			}
		}
		if !t.operation(c, h, n) {
			c.close()
			c = nil
		}
		pause(15*time.Millisecond, 50*time.Millisecond)
	}
}

// operation runs one operation and reports whether the session can be used again.
func (t *takeover) operation(c *client, h *hostProcess, n int) bool {
	item := fmt.Sprintf("%s-%d", c.name, n%5)
	texts := []string{"WRITE " + item + " " + newID()}
	switch n % 4 {
	case 1:
		texts = []string{"BEGIN", texts[0], "COMMIT"}
	case 3:
		texts = []string{"READ " + item}
	}
	for _, text := range texts {
		began := time.Now()
		r := c.query(text, writerTimeout)
		if r.err != nil {
			return false
		}
		if r.code != "" {
			if r.state == "E" {
				r = c.query("ROLLBACK", writerTimeout)
			}
			return r.err == nil && r.state == "I"
		}
		t.mu.Lock()
		switch {
		case strings.HasPrefix(text, "READ"):
			t.reads[r.id] = span{began, time.Now()}
		case r.state == "I":
			t.acked[r.id], t.ackedBy[r.id] = time.Now(), h.name+" ("+c.build.name+")"
		}
		t.mu.Unlock()
	}
	return true
}

// judge reports whether an acknowledged commit was lost or a read of the primary was
// stale.
func (t *takeover) judge(trouble bool) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]bool{}
	lost, stale, promotions, rolledBack := 0, 0, 0, 0
	for _, g := range t.s.groups {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, e := range g.log {
			known[e.id] = true
		}
		var gone []rollback
		for _, r := range g.rolledBack {
			known[r.entry.id] = true
			if _, ok := t.acked[r.entry.id]; ok {
				gone = append(gone, r)
			}
		}
		t.explain(g, gone)
		lost += len(gone)
		stale += t.stale(g)
		promotions += g.promotions
		rolledBack += len(g.rolledBack)
	}
	for id := range t.acked {
		if !known[id] {
			lost++
			t.sayf("LOST: %s, acknowledged by %s, was never in a log", id, t.ackedBy[id])
		}
	}
	t.sayf("seed %d: acknowledged commits: %d, promotions that took effect: %d, commits rolled back: %d, reads of the primary: %d, own stalls: %.1f s; LOST: %d, STALE: %d",
		t.f.seed, len(t.acked), promotions, rolledBack, len(t.reads), t.stalled.Seconds(), lost, stale)
	if lost+stale > 0 {
		return true, nil
	}
	if len(t.acked) < leastAcked || trouble && promotions < leastPromotions {
		return false, fmt.Errorf("seed %d shows nothing: %d acknowledged commits, %d promotions", t.f.seed, len(t.acked), promotions)
	}
	return false, nil
}

// sayf writes a line to the record and to standard output.
func (t *takeover) sayf(format string, args ...any) {
	t.s.rec.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// stale returns the number of reads of the primary that ran on a log without a commit
// acknowledged before they began. g.mu and mu are held.
func (t *takeover) stale(g *group) int {
	type place struct {
		number int
		acked  time.Time
	}
	var places []place // of the acknowledged commits that were not rolled back
	for i, e := range g.log {
		if at, ok := t.acked[e.id]; ok {
			places = append(places, place{i + 1, at})
		}
	}
	count := 0
	for _, r := range g.statements {
		read, ok := t.reads[r.id]
		if !ok {
			continue
		}
		for _, p := range places {
			if p.number > r.applied && p.acked.Before(read.began) {
				count++
				t.sayf("STALE: read %s, sent at %.3f s, ran at %.3f s on %s with %d commits; commit %d (%s) was acknowledged by %s at %.3f s",
					r.id, t.s.rec.seconds(read.began), t.s.rec.seconds(r.at), r.database, r.applied, p.number, g.log[p.number-1].id, t.ackedBy[g.log[p.number-1].id], t.s.rec.seconds(p.acked))
				break
			}
		}
	}
	return count
}

// Bounds of what explain prints.
const (
	explainedAtMost = 10
	linesBefore     = 8 * time.Second // late orders may have been sent this long before
	linesAfter      = 300 * time.Millisecond
)

// explain prints the lost commits and the time line around them. g.mu and mu are held.
func (t *takeover) explain(g *group, lost []rollback) {
	if len(lost) == 0 {
		return
	}
	sec := t.s.rec.seconds
	from, until := lost[0].entry.at, lost[0].at
	for i, r := range lost {
		if r.at != lost[0].at {
			break // of the first promotion that lost any
		}
		acked := t.acked[r.entry.id]
		if acked.After(until) {
			until = acked
		}
		if i >= explainedAtMost {
			continue
		}
		var holders []string
		for id, at := range r.received {
			holders = append(holders, fmt.Sprintf("%s at %.3f s", id, sec(at)))
		}
		sort.Strings(holders)
		t.sayf("LOST: commit %d.%d (%s) of %s at %.3f s, received by [%s], acknowledged by %s at %.3f s; %s was promoted without it at %.3f s",
			r.entry.term, r.number+1000, r.entry.id, r.primary, sec(r.entry.at), strings.Join(holders, ", "), t.ackedBy[r.entry.id], sec(acked), r.promoted, sec(r.at))
	}
	t.sayf("time line of the first promotion of %s that lost commits (%d in all):", g.service, len(lost))
	from, until = from.Add(-linesBefore), until.Add(linesAfter)
	t.s.rec.mu.Lock()
	lines := append([]note(nil), t.s.rec.notes...)
	t.s.rec.mu.Unlock()
	for _, h := range t.s.hosts {
		lines = append(lines, t.hostNotes(h, g.service)...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, n := range lines {
		if n.at.After(from) && n.at.Before(until) {
			t.sayf("  %8.3f s  %s", sec(n.at), n.text)
		}
	}
}

// hostNotes returns the lines of a host's log about promotions of a service.
func (t *takeover) hostNotes(h *hostProcess, service string) []note {
	file, err := os.Open(filepath.Join(t.s.folder, h.name+".log"))
	if err != nil {
		t.s.rec.logf("log of %s: %v", h.name, err)
		return nil
	}
	defer file.Close()
	var out []note
	last := ""
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) != nil || line["part"] != "promotion" || line["service"] != service {
			continue
		}
		stamp, _ := line["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			continue
		}
		for _, key := range []string{"time", "level", "part", "service", "host"} {
			delete(line, key)
		}
		text, _ := line["msg"].(string)
		delete(line, "msg")
		rest, _ := json.Marshal(line)
		if text = fmt.Sprintf("    %s logs: %s %s", h.name, text, rest); text != last {
			out = append(out, note{at: at, text: text})
		}
		last = text
	}
	return out
}
