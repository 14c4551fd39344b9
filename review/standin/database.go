package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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
	term   int
	writes []write
}

type write struct{ id, item, data string }

// ran is a statement that a database has run.
type ran struct {
	at        time.Time
	id, text  string
	database  string
	tenant    string   // named when the connection was opened
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
	conns             int
}

func newGroup(rec *record, service string, lineByLine bool, zones []string) (*group, error) {
	g := &group{lineByLine: lineByLine, rec: rec, service: service, term: 3, refused: map[string]int{}, arrived: map[string]time.Time{}, changed: make(chan struct{})}
	for _, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &database{g: g, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slotsPerDatabase)}
		g.databases = append(g.databases, d)
		go d.serve(l)
	}
	g.primary = g.databases[0]
	return g, nil
}

// entryOf returns the entry in which the database announces itself.
func (d *database) entryOf(seq int, born int64) map[string]any {
	role := "replica"
	if d.g.primary == d {
		role = "primary"
	}
	return map[string]any{"service": d.g.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": slotsPerDatabase,
		"state": "ready", "coldLeftMs": 0, "dbRole": role, "seq": seq, "born": born}
}

// promote carries out a promotion after promoteTime.
func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.fence {
		return http.StatusConflict
	}
	g.fence = fence
	for _, d := range g.databases {
		if d.id != id {
			continue
		}
		if d != g.primary {
			time.AfterFunc(promoteTime, func() { g.lead(d) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes d the primary of the next term with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.primary, g.log = d, g.log[:d.received]
	d.applied, d.paused = d.received, 0
	for _, other := range g.databases {
		other.received = min(other.received, d.received)
		other.applied = min(other.applied, other.received)
	}
	g.rec.logf("database %s is the primary of term %d with %d commits", d.id, g.term, d.received)
}

// replicate passes entry n on to the replicas. mu is held.
func (g *group) replicate(n int) {
	term := g.term
	for _, d := range g.databases {
		if d == g.primary {
			continue
		}
		time.AfterFunc(receiveDelay, func() {
			g.mu.Lock()
			if g.term == term && d.paused == 0 {
				d.received = max(d.received, n)
				close(g.changed)
				g.changed = make(chan struct{})
			}
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
		return 0
	}
	return n - 1000
}

func (d *database) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go (&link{d: d, conn: conn}).serve()
	}
}

// link is one connection to a database.
type link struct {
	d      *database
	conn   net.Conn
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
	defer c.conn.Close()
	if c.d.g.lineByLine {
		c.out = make(chan []byte, queuedAtMost)
		c.harmed = c.d.accepted.Add(1)%harmedOf < harmedConns
		defer close(c.out)
		go c.deliver()
	}
	r := bufio.NewReader(c.conn)
	first, err := readLine(r)
	f := strings.Fields(first)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	time.Sleep(connectTime)
	g := c.d.g
	g.mu.Lock()
	full := c.d.conns >= maxConnections
	position := g.position(c.d.applied)
	if !full {
		c.d.conns++
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
		g.mu.Unlock()
	}()
	c.tenant = f[2]
	c.send("READY I " + position)
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}
		if !c.send(c.query(f[1], f[2])...) {
			return
		}
	}
}

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

func (c *link) control(f []string) []string {
	g := c.d.g
	g.mu.Lock()
	term := 0
	if len(f) > 1 {
		term, _ = strconv.Atoi(f[1])
	}
	switch f[0] {
	case "PAUSE":
		if c.d != g.primary && term > g.term {
			c.d.paused = term
		}
	case "RESUME":
		c.d.paused = 0
		if c.d != g.primary {
			n := len(g.log)
			time.AfterFunc(receiveDelay, func() {
				g.mu.Lock()
				if c.d.paused == 0 {
					c.d.received = max(c.d.received, min(n, len(g.log)))
					c.d.applied = c.d.received
				}
				g.mu.Unlock()
			})
		}
	}
	role := "replica"
	if c.d == g.primary {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %s %d 0 %d %d", role, g.term, g.position(c.d.received), c.d.paused, len(c.d.slots), c.d.conns)
	g.mu.Unlock()
	return append([]string{row}, c.done("-")...)
}

func (c *link) begin(readOnly bool, after string) []string {
	g := c.d.g
	g.mu.Lock()
	isPrimary, behind, term := c.d == g.primary, after != "" && g.parsePosition(after) > c.d.applied, g.term
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
	isPrimary, behind := c.d == g.primary, after != "" && g.parsePosition(after) > c.d.applied
	lost := c.open && !c.readOnly && g.term != c.began
	g.mu.Unlock()
	switch {
	case writes && !isPrimary || lost:
		return c.refuse("READONLY")
	case behind:
		return c.refuse("LAGGING")
	}
	g.mu.Lock()
	g.statements = append(g.statements, ran{at: time.Now(), id: id, text: text, database: c.d.id, tenant: c.tenant, neighbour: append([]string(nil), c.statements...)})
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
	return c.append(id, []string{id}, []write{w})
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
	statements, writes := c.statements, c.writes
	c.work(time.Millisecond)
	c.end()
	if len(writes) == 0 {
		return c.done(c.signature(id))
	}
	return c.append(id, statements, writes)
}

// append commits writes and waits until one replica has received them.
func (c *link) append(id string, statements []string, writes []write) []string {
	g := c.d.g
	g.mu.Lock()
	if c.d != g.primary {
		g.mu.Unlock()
		return c.refuse("READONLY")
	}
	g.log = append(g.log, entry{term: g.term, writes: writes})
	n := len(g.log)
	c.d.received, c.d.applied = n, n
	g.rec.logf("database %s commits %s as %s with the statements %v", c.d.id, id, g.position(n), statements)
	g.commits = append(g.commits, committed{at: time.Now(), id: id, statements: statements})
	g.replicate(n)
	for !g.receivedByReplica(n) {
		changed := g.changed
		g.mu.Unlock()
		<-changed
		g.mu.Lock()
	}
	g.mu.Unlock()
	return c.done(c.signature(id))
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
