package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Properties of the databases, as in the site file.
const (
	slotsPerDatabase = 5
	maxConnections   = 66
	connectTime      = 12 * time.Millisecond
	receiveDelay     = time.Millisecond
	applyDelay       = 20 * time.Millisecond
	promoteTime      = time.Second
)

// group is a service's databases: one primary and its replicas. A commit is
// acknowledged once one replica has received it.
type group struct {
	rec     *record
	service string

	mu         sync.Mutex // guards the fields below and those of the databases
	term       int
	primary    *database
	databases  []*database
	log        []entry // of the primary
	rolledBack []rollback
	promotions int
	faults     *faults
	fence      uint64
	arrived    map[string]time.Time // when a statement with an id reached a database
	statements []ran
	commits    []committed
	changed    chan struct{} // closed and replaced when a log grows

	refused    map[string]int // statements by the code of their refusal
	lineByLine bool           // each line of an answer is sent in a segment of its own
}

// entry is one commit in the log.
type entry struct {
	id     string // of the COMMIT, or of the single write
	at     time.Time
	term   int
	writes []write
}

// rollback is a commit that a promotion has rolled back.
type rollback struct {
	entry    entry
	number   int // in the log, from 1
	at       time.Time
	primary  string               // id of the database that had committed it
	promoted string               // id
	received map[string]time.Time // when other databases received it, by id
}

// progress is a growth of a database's log.
type progress struct {
	at       time.Time
	term     int
	received int
}

type write struct{ id, item, data string }

// ran is a statement that a database has run.
type ran struct {
	at        time.Time
	id, text  string
	database  string
	tenant    string   // named when the connection was opened
	applied   int      // entries of the log that it ran on
	neighbour []string // ids of the statements that the transaction ran before it
}

// committed is a commit that took effect.
type committed struct {
	at         time.Time
	id         string   // of the COMMIT, or of the single write
	statements []string // ids of the statements of the transaction
}

// database is one database of a group.
type database struct {
	g        *group
	id, zone string
	address  string
	slots    chan struct{}
	accepted atomic.Int64
	lossy    atomic.Bool // packets are lost on harmed connections

	received, applied int // entries of the log
	paused            int
	demoted           bool // a primary that was made a replica
	down              bool
	conns             int
	links             map[*link]struct{}
	history           []progress
	seq               int
	born              int64
	announced         string // the role in its entry
}

func newGroup(rec *record, service string, layout layout) (*group, error) {
	g := &group{lineByLine: layout.lineByLine, faults: layout.faults, rec: rec, service: service, term: 3, refused: map[string]int{}, arrived: map[string]time.Time{}, changed: make(chan struct{})}
	for _, zone := range layout.databases {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &database{g: g, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slotsPerDatabase),
			links: map[*link]struct{}{}}
		g.databases = append(g.databases, d)
		go d.serve(l)
	}
	g.primary = g.databases[0]
	return g, nil
}

// leads reports whether the database is the primary. g.mu is held.
func (d *database) leads() bool { return d.g.primary == d && !d.demoted }

func (d *database) role() string {
	if d.leads() {
		return "primary"
	}
	return "replica"
}

// entryOf returns the entry in which the database announces itself. g.mu is held or
// no host runs yet.
func (d *database) entryOf(seq int, born int64) map[string]any {
	d.seq, d.born = seq, born
	role := d.role()
	d.announced = role
	return map[string]any{"service": d.g.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": slotsPerDatabase,
		"state": "ready", "coldLeftMs": 0, "dbRole": role, "seq": seq, "born": born}
}

// promote accepts a promotion call and carries it out after promoteTime, whichever
// database is the primary by then.
func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.fence {
		return http.StatusConflict
	}
	g.fence = fence
	for _, d := range g.databases {
		if d.id == id && !d.down {
			g.rec.notef("promotion of %s accepted with fence %d", id, fence)
			time.AfterFunc(promoteTime, func() { g.lead(d) })
			return http.StatusOK
		}
	}
	return http.StatusConflict
}

// lead makes d the primary of the next term with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.leads() || d.down {
		return
	}
	now := time.Now()
	for i, e := range g.log[d.received:] {
		r := rollback{entry: e, number: d.received + i + 1, at: now, primary: g.primary.id, promoted: d.id, received: map[string]time.Time{}}
		for _, other := range g.databases {
			if at, ok := other.receivedAt(g.term, r.number); ok && other != g.primary {
				r.received[other.id] = at
			}
		}
		g.rolledBack = append(g.rolledBack, r)
	}
	g.term++
	g.promotions++
	g.rec.notef("database %s is the primary of term %d with %d commits; %d are rolled back", d.id, g.term, d.received, len(g.log)-d.received)
	g.primary, g.log = d, g.log[:d.received:d.received]
	d.applied, d.paused, d.demoted = d.received, 0, false
	for _, other := range g.databases {
		other.received = min(other.received, d.received)
		other.applied = min(other.applied, other.received)
	}
	g.notify()
}

// notify wakes those who wait for a change of the logs. mu is held.
func (g *group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// receivedAt returns when the database received a commit in a term. mu is held.
func (d *database) receivedAt(term, n int) (time.Time, bool) {
	if n > d.received {
		return time.Time{}, false
	}
	for _, p := range d.history {
		if p.term == term && p.received >= n {
			return p.at, true
		}
	}
	return time.Time{}, true
}

// receives reports whether a replica receives from the primary. mu is held.
func (g *group) receives(d *database) bool {
	return d != g.primary && d.paused == 0 && !d.down && !g.primary.down && !g.faults.isCut(g.primary.id, d.id)
}

// receive extends the log of a replica to n entries of a term. mu is held.
func (g *group) receive(d *database, term, n int) {
	if g.term != term || n <= d.received || !g.receives(d) {
		return
	}
	d.received = n
	d.history = append(d.history, progress{at: time.Now(), term: term, received: n})
	g.notify()
}

// replicate passes entry n on to the replicas. mu is held.
func (g *group) replicate(n int) {
	for _, d := range g.databases {
		if d != g.primary {
			g.send(d, n)
		}
	}
}

// send passes the log up to entry n on to a replica. mu is held.
func (g *group) send(d *database, n int) {
	term := g.term
	time.AfterFunc(receiveDelay, func() {
		g.mu.Lock()
		g.receive(d, term, n)
		g.mu.Unlock()
	})
	time.AfterFunc(receiveDelay+applyDelay, func() {
		g.mu.Lock()
		if g.term == term {
			d.applied = max(d.applied, min(n, d.received))
		}
		g.mu.Unlock()
	})
}

// catchUp passes the log on to the replicas that have missed some of it.
func (g *group) catchUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if g.receives(d) && (d.received < len(g.log) || d.applied < d.received) {
			g.send(d, len(g.log))
		}
	}
}

// position returns a position in the log. mu is held.
func (g *group) position(n int) string { return fmt.Sprintf("%d.%d", g.term, 1000+n) }

// parsePosition returns the number of entries that a position stands for, or a
// number beyond every log for a newer term. mu is held.
func (g *group) parsePosition(text string) int {
	term, number, _ := strings.Cut(text, ".")
	t, err1 := strconv.Atoi(term)
	n, err2 := strconv.Atoi(number)
	switch {
	case err1 != nil || err2 != nil || t > g.term:
		return 1 << 30
	case t < g.term:
		kept := sort.Search(len(g.log), func(i int) bool { return g.log[i].term > t })
		return min(n-1000, kept)
	}
	return n - 1000
}

func (d *database) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go (&link{d: d, conn: conn, gone: make(chan struct{}), ended: make(chan struct{})}).serve()
	}
}

// link is one connection to a database.
type link struct {
	d      *database
	conn   net.Conn
	from   string        // the host, if there are faults
	gone   chan struct{} // closed when the host has closed the connection
	ended  chan struct{} // closed when the connection is no longer served
	mute   bool          // no further answer is sent
	tenant string
	out    chan []byte // segments to send; nil if they are sent at once
	harmed bool        // its packets are lost while those of its database are

	open, readOnly, failed bool
	began                  int // term of the open transaction
	statements             []string
	writes                 []write
	prepared               map[string]string // "READ" or "WRITE" by name
}

func (c *link) serve() {
	defer close(c.ended)
	defer c.conn.Close()
	if c.d.g.lineByLine {
		c.out = make(chan []byte, queuedAtMost)
		c.harmed = c.d.accepted.Add(1)%harmedOf < harmedConns
		defer close(c.out)
		go c.deliver()
	}
	lines := make(chan string, queuedAtMost)
	go c.read(lines)
	if c.d.g.faults != nil {
		if c.from = c.d.g.faults.sender(c.conn); c.from == "" {
			return // its process has ended
		}
	}
	f := strings.Fields(<-lines)
	if len(f) < 3 || f[0] != "STARTUP" || !c.awaitPath() {
		return
	}
	time.Sleep(connectTime)
	g := c.d.g
	g.mu.Lock()
	if c.d.down {
		g.mu.Unlock()
		return
	}
	full := c.d.conns >= maxConnections
	position := g.position(c.d.applied)
	if !full {
		c.d.conns++
		c.d.links[c] = struct{}{}
	}
	g.mu.Unlock()
	switch {
	case full:
		c.send("ERROR TOOMANY " + c.d.id)
		return
	case f[1] != g.service || len(f) > 3 && f[3] != c.d.id:
		c.send("ERROR MISROUTED " + c.d.id)
		return
	}
	defer func() {
		g.mu.Lock()
		c.d.conns--
		delete(c.d.links, c)
		g.mu.Unlock()
	}()
	c.tenant = f[2]
	c.send("READY I " + position)
	for line := range lines {
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 || !c.awaitPath() {
			return
		}
		answer := c.query(f[1], f[2])
		if c.mute {
			<-c.gone
			return
		}
		if !c.awaitPath() || !c.send(answer...) {
			return
		}
	}
}

// read reads the lines of a connection ahead, so that its end is seen while a statement
// is held up.
func (c *link) read(lines chan<- string) {
	defer close(lines)
	r := bufio.NewReader(c.conn)
	for {
		line, err := readLine(r)
		if err != nil {
			close(c.gone)
			return
		}
		select {
		case lines <- line:
		case <-c.ended:
			close(c.gone)
			return
		}
	}
}

// awaitPath waits until the path between the host and the database is whole. It reports
// false if the host closes the connection meanwhile, or the path stays cut.
func (c *link) awaitPath() bool { return c.d.g.faults.await(c.gone, c.from, c.d.id) }

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Loss of packets: three in ten, each sent again after a time-out that doubles.
const (
	harmedConns   = 3 // of harmedOf connections to a database, for as many of the machines
	harmedOf      = 10
	lossShare     = 0.3
	firstTimeout  = 200 * time.Millisecond // the least of the operating system
	lostAtMost    = 4
	queuedAtMost  = 1024
	timeoutFactor = 2
)

// deliver sends the segments of a connection in order. Each that is lost holds up the
// ones behind it.
func (c *link) deliver() {
	for segment := range c.out {
		wait := firstTimeout
		for n := 0; n < lostAtMost && c.harmed && c.d.lossy.Load() && rand.Float64() < lossShare; n++ {
			time.Sleep(wait)
			wait *= timeoutFactor
		}
		if _, err := c.conn.Write(segment); err != nil {
			c.conn.Close()
		}
	}
}

func (c *link) send(lines ...string) bool {
	if c.out != nil {
		for _, line := range lines {
			c.out <- []byte(line + "\r\n")
		}
		return true
	}
	_, err := c.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

// query runs one statement and returns the lines of the answer.
func (c *link) query(id, text string) []string {
	g := c.d.g
	if id != "-" {
		g.mu.Lock()
		g.arrived[id] = time.Now()
		g.mu.Unlock()
	}
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	f := strings.SplitN(text, " ", 4)
	if c.failed && f[0] != "ROLLBACK" && f[0] != "COMMIT" {
		return c.refuse("MALFORMED")
	}
	switch f[0] {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return c.control(f)
	case "SET":
		return c.done("-")
	case "RESET":
		c.prepared = nil
		return c.done("-")
	case "PREPARE":
		if c.prepared == nil {
			c.prepared = map[string]string{}
		}
		c.prepared[f[1]] = f[2]
		return c.done("-")
	case "DEALLOC":
		delete(c.prepared, f[1])
		return c.done("-")
	case "ROLLBACK":
		c.end()
		return c.done("-")
	case "BEGIN":
		return c.begin(len(f) > 1, after)
	case "COMMIT":
		return c.commit(id)
	case "READ":
		return c.run(id, text, f[1], "", false, after)
	case "WRITE":
		_, data, _ := strings.Cut(strings.TrimPrefix(text, "WRITE "), " ")
		return c.run(id, text, f[1], data, true, after)
	case "EXECUTE":
		access, ok := c.prepared[f[1]]
		if !ok || len(f) < 3 {
			return c.refuse("NOSTMT")
		}
		data := ""
		if len(f) > 3 {
			data = f[3]
		}
		return c.run(id, text, f[2], data, access == "WRITE", after)
	}
	return c.refuse("MALFORMED")
}

// end ends the open transaction.
func (c *link) end() {
	c.open, c.readOnly, c.failed = false, false, false
	c.statements, c.writes = nil, nil
}

func (c *link) refuse(code string) []string {
	c.d.g.mu.Lock()
	c.d.g.refused[code]++
	c.d.g.mu.Unlock()
	c.failed = c.open
	return []string{"ERROR " + code + " " + c.d.id, c.ready()}
}

func (c *link) done(signature string) []string { return []string{"COMPLETE " + signature, c.ready()} }

func (c *link) ready() string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.open:
		state = "T"
	}
	g := c.d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return "READY " + state + " " + g.position(c.d.applied)
}

// control runs a statement that concerns the database itself.
func (c *link) control(f []string) []string {
	g := c.d.g
	term := 0
	if len(f) > 1 {
		term, _ = strconv.Atoi(f[1])
	}
	if f[0] != "STATUS" {
		what := fmt.Sprintf("%s of %s for %s (sent at %.3f s)", strings.Join(f, " "), c.from, c.d.id, g.rec.seconds(time.Now()))
		g.faults.takeover(c.from)
		fate := g.faults.order()
		if fate.unanswered {
			c.mute = true
			g.rec.notef("%s: no answer, carried out after %d ms", what, fate.after.Milliseconds())
			g.faults.later(fate.after, func() {
				g.mu.Lock()
				g.obey(c.d, f[0], term)
				g.rec.notef("%s: carried out", what)
				g.mu.Unlock()
			})
			return nil
		}
		g.rec.notef("%s: carried out and answered", what)
	}
	g.mu.Lock()
	g.obey(c.d, f[0], term)
	row := fmt.Sprintf("ROW %s %d %s %d 0 %d %d", c.d.role(), g.term, g.position(c.d.received), c.d.paused, len(c.d.slots), c.d.conns)
	g.mu.Unlock()
	return append([]string{row}, c.done("-")...)
}

// obey carries out an order to a database. mu is held.
func (g *group) obey(d *database, order string, term int) {
	switch {
	case d.down:
	case order == "PAUSE" && d != g.primary && term > g.term:
		d.paused = term
	case order == "DEMOTE" && d == g.primary && term > g.term:
		d.demoted = true
		g.notify()
	case order == "RESUME":
		d.paused = 0
		if d != g.primary {
			g.send(d, len(g.log))
		}
	}
}

func (c *link) begin(readOnly bool, after string) []string {
	g := c.d.g
	g.mu.Lock()
	isPrimary, behind, term := c.d.leads(), after != "" && g.parsePosition(after) > c.d.applied, g.term
	g.mu.Unlock()
	switch {
	case c.open:
		return c.refuse("MALFORMED")
	case !readOnly && !isPrimary:
		return c.refuse("READONLY")
	case behind:
		return c.refuse("LAGGING")
	}
	c.open, c.readOnly, c.began = true, readOnly, term
	return c.done("-")
}

// work occupies a slot for the time that a statement takes.
func (c *link) work(d time.Duration) {
	c.d.slots <- struct{}{}
	time.Sleep(d)
	<-c.d.slots
}

// run runs a read or a write.
func (c *link) run(id, text, item, data string, writes bool, after string) []string {
	g := c.d.g
	g.mu.Lock()
	isPrimary, behind := c.d.leads(), after != "" && g.parsePosition(after) > c.d.applied
	lost := c.open && !c.readOnly && (g.term != c.began || !isPrimary)
	g.mu.Unlock()
	switch {
	case writes && !isPrimary || lost:
		return c.refuse("READONLY")
	case behind:
		return c.refuse("LAGGING")
	}
	g.mu.Lock()
	g.statements = append(g.statements, ran{at: time.Now(), id: id, text: text, database: c.d.id, tenant: c.tenant, applied: c.d.applied, neighbour: append([]string(nil), c.statements...)})
	g.mu.Unlock()
	g.rec.logf("database %s runs %s %s for tenant %s", c.d.id, id, text, c.tenant)
	c.work(workTime(item))
	if c.open {
		c.statements = append(c.statements, id)
	}
	w := write{id: id, item: item, data: data}
	if !writes {
		return append([]string{"ROW " + c.value(item)}, c.done(c.signature(id))...)
	}
	if c.open {
		c.writes = append(c.writes, w)
		return c.done(c.signature(id))
	}
	return c.append(id, []string{id}, []write{w}, 0)
}

func (c *link) signature(id string) string { return "7." + c.d.id + "." + id }

// value returns what the database holds for an item, with the transaction's own
// writes.
func (c *link) value(item string) string {
	for i := len(c.writes) - 1; i >= 0; i-- {
		if c.writes[i].item == item {
			return c.writes[i].data
		}
	}
	g := c.d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := min(c.d.applied, len(g.log)) - 1; i >= 0; i-- {
		for _, w := range g.log[i].writes {
			if w.item == item {
				return w.data
			}
		}
	}
	return "none"
}

func (c *link) commit(id string) []string {
	if !c.open || c.failed {
		c.end()
		return c.refuse("MALFORMED")
	}
	statements, writes, began := c.statements, c.writes, c.began
	c.work(time.Millisecond)
	c.end()
	if len(writes) == 0 {
		return c.done(c.signature(id))
	}
	return c.append(id, statements, writes, began)
}

// append commits writes and waits until one replica has received them. A transaction
// names the term in which it began. There is no answer if the commit is rolled back or
// the database goes down meanwhile.
func (c *link) append(id string, statements []string, writes []write, began int) []string {
	g := c.d.g
	g.mu.Lock()
	if !c.d.leads() || began != 0 && began != g.term {
		g.mu.Unlock()
		return c.refuse("READONLY")
	}
	if c.d.down {
		g.mu.Unlock()
		c.mute = true
		return nil
	}
	term := g.term
	g.log = append(g.log, entry{id: id, at: time.Now(), term: term, writes: writes})
	n := len(g.log)
	c.d.received, c.d.applied = n, n
	position := g.position(n)
	g.rec.logf("database %s commits %s as %s with the statements %v", c.d.id, id, position, statements)
	g.commits = append(g.commits, committed{at: time.Now(), id: id, statements: statements})
	g.replicate(n)
	kept := true
	for kept && !c.d.down && !g.receivedByReplica(n) {
		changed := g.changed
		g.mu.Unlock()
		<-changed
		g.mu.Lock()
		kept = n <= len(g.log) && g.log[n-1].term == term
	}
	c.mute = !kept || c.d.down
	g.mu.Unlock()
	return []string{"COMPLETE " + c.signature(id), "READY I " + position}
}

// receivedByReplica reports whether a replica holds n entries. mu is held.
func (g *group) receivedByReplica(n int) bool {
	for _, d := range g.databases {
		if d != g.primary && d.received >= n {
			return true
		}
	}
	return false
}
