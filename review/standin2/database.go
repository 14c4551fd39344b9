package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the databases, as in the sheets of small sites.
const (
	databaseSlots   = 5
	databaseQueue   = 40                   // statements that wait for a slot; more are refused
	databaseWork    = 8 * time.Millisecond // of one read, write or commit
	connectWork     = 12 * time.Millisecond
	receiveDelay    = time.Millisecond
	promotionDelay  = time.Second
	heartbeat       = 1200 * time.Millisecond
	silentBeats     = 3
	firstTerm       = 3
	firstIndex      = 1000
	maxMessageBytes = 1 << 20
)

// group is a service's databases. All of them are sound: a commit that is acknowledged is on the
// primary and on one replica at least, and a promoted database leads with what it has received.
type group struct {
	rec         *record
	ledger      *ledger
	store       *store
	service     string
	connections int // that one database accepts
	reportRows  atomic.Int64

	mu      sync.Mutex // guards the fields below and those of each database
	all     []*database
	primary *database
	term    uint64
	fence   uint64
	signed  uint64
	lost    int // acknowledged commits that a promoted log lacked
}

// database is one database of the group.
type database struct {
	g             *group
	id, zone      string
	listener      net.Listener
	address       string
	born          int64
	conns         map[net.Conn]bool
	received      uint64
	receivedTerm  uint64 // of the last entry
	paused        uint64
	down          bool
	state         string    // in its entry
	deaf          bool      // it receives nothing
	blank         bool      // it has started without a log and has not reached a primary since
	silentUntil   time.Time // until its first heartbeat after a start
	beatAt        time.Time // of the last heartbeat
	waiting, busy int
	slotFree      *sync.Cond
}

func newGroup(rec *record, book *ledger, service string, zones []string, connections int) (*group, error) {
	g := &group{rec: rec, ledger: book, service: service, connections: connections, term: firstTerm}
	for _, zone := range zones {
		if _, err := g.start(zone); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// start starts a database. The first one is the primary; later ones have its log.
func (g *group) start(zone string) (*database, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &database{g: g, id: fmt.Sprintf("i-%s-%d", g.service, len(g.all)+1), zone: zone, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(),
		conns: map[net.Conn]bool{}, received: firstIndex, receivedTerm: firstTerm, state: "ready"}
	d.slotFree = sync.NewCond(&g.mu)
	if g.primary == nil {
		g.primary = d
	} else {
		d.received, d.receivedTerm = g.primary.received, g.primary.receivedTerm
	}
	g.all = append(g.all, d)
	go d.accept()
	return d, nil
}

// replace replaces a database by a new one in its zone, as a release does: the new one starts, and
// the old one announces its shutdown, serves for drain, and ends.
func (g *group) replace(old *database, drain time.Duration) error {
	fresh, err := g.start(old.zone)
	if err != nil {
		return err
	}
	g.rec.logf("database %s has started; %s is draining", fresh.id, old.id)
	g.setState(old, "draining")
	time.Sleep(drain)
	g.end(old)
	g.store.remove("servers", old.id)
	g.rec.logf("database %s has left", old.id)
	return nil
}

func (g *group) setState(d *database, state string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.state = state
}

// announce writes the entries of the databases, and removes those of silent ones, until stop is
// closed.
func (g *group) announce(stop <-chan struct{}) {
	for {
		g.mu.Lock()
		for _, d := range g.all {
			switch {
			case !d.down && !time.Now().Before(d.silentUntil):
				if time.Since(d.beatAt) >= heartbeat {
					d.beatAt = time.Now()
				}
				role := "replica"
				if g.primary == d {
					role = "primary"
				}
				g.store.put("servers", d.id, map[string]any{"service": g.service, "address": d.address, "zone": d.zone, "version": "v1",
					"slots": databaseSlots, "state": d.state, "coldLeftMs": 0, "dbRole": role, "seq": 1, "born": d.born})
			case time.Since(d.beatAt) > silentBeats*heartbeat:
				g.store.remove("servers", d.id) // it is announced again with its next heartbeat
			}
		}
		g.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitBeatDue waits until a database's next heartbeat is due within a tenth of a second.
func (g *group) awaitBeatDue(d *database) {
	for due := false; !due; time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		since := time.Since(d.beatAt)
		due = since > heartbeat-100*time.Millisecond && since < heartbeat
		g.mu.Unlock()
	}
}

// crash ends a database for good.
func (g *group) crash(d *database) {
	g.end(d)
	g.rec.logf("database %s has crashed and is lost for good", d.id)
}

// comeBack starts a database again at its address and under its id. With its log it leads if no
// other database was promoted; without, it knows nothing of before, and its first heartbeat comes a
// heartbeat after its start.
func (g *group) comeBack(d *database, withLog bool) error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	d.listener, d.down, d.born = l, false, time.Now().UnixMilli()
	if !withLog {
		d.received, d.receivedTerm, d.paused, d.blank = 0, 0, 0, true
		d.silentUntil = time.Now().Add(heartbeat)
	}
	g.mu.Unlock()
	g.rec.logf("database %s has started again under its id, with its log: %t", d.id, withLog)
	go d.accept()
	return nil
}

func (g *group) setDeaf(d *database, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.deaf = deaf
	if !deaf && !g.primary.down && !d.blank {
		d.received, d.receivedTerm = g.primary.received, g.primary.receivedTerm
	}
	g.rec.logf("database %s receives nothing: %t", d.id, deaf)
}

// end ends a database's process.
func (g *group) end(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.down = true
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.Close()
	}
}

func (g *group) stop() {
	g.mu.Lock()
	all := slices.Clone(g.all)
	g.mu.Unlock()
	for _, d := range all {
		g.end(d)
	}
}

// promote carries out a promotion call.
func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.fence {
		return http.StatusConflict
	}
	g.fence = fence
	for _, d := range g.all {
		if d.id == id && !d.down {
			if g.primary != d {
				time.AfterFunc(promotionDelay, func() { g.lead(d) })
			}
			return http.StatusOK
		}
	}
	return http.StatusConflict
}

func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || g.primary == d {
		return
	}
	g.term++
	g.primary = d
	for _, other := range g.all {
		other.paused, other.blank = 0, false
		if other != d {
			other.received, other.receivedTerm = d.received, d.receivedTerm
		}
	}
	lost := g.ledger.ackedAfter(d.received)
	g.lost += lost
	g.rec.logf("database %s leads %s in term %d with its log up to %d; %d acknowledged commits are not in it", d.id, g.service, g.term, d.received, lost)
}

func (d *database) accept() {
	d.g.mu.Lock()
	l := d.listener
	d.g.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.g.mu.Lock()
		d.conns[c] = true
		d.g.mu.Unlock()
		go func() {
			d.serve(c)
			_ = c.Close()
			d.g.mu.Lock()
			delete(d.conns, c)
			d.g.mu.Unlock()
		}()
	}
}

// connection is the state of one connection to a database.
type connection struct {
	d        *database
	state    string
	id       string // of the present request
	begun    uint64 // term in which a plain transaction began; 0 outside of one
	wrote    bool
	prepared map[string]string // access word and shape by name
	values   map[string]string
}

func (d *database) serve(c net.Conn) {
	r := bufio.NewReader(c)
	line, err := readLine(r)
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	d.g.mu.Lock()
	full := len(d.conns) > d.g.connections
	d.g.mu.Unlock()
	switch {
	case f[1] != d.g.service, len(f) > 3 && f[3] != d.id:
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", d.id)
		return
	case full:
		fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", d.id)
		return
	}
	if !d.work(connectWork) {
		fmt.Fprintf(c, "ERROR BUSY %s\r\n", d.id)
		return
	}
	x := &connection{d: d, state: "I", prepared: map[string]string{}, values: map[string]string{}}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", d.position()); err != nil {
		return
	}
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		arrived := time.Now()
		x.id = id
		out := x.run(text)
		if strings.HasPrefix(out, "ROW row-of") || strings.HasPrefix(out, "COMPLETE 7.") {
			d.g.ledger.recordRun(f[2], id, arrived)
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", out, x.state, d.position()); err != nil {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil || len(line) > maxMessageBytes {
		return "", fmt.Errorf("line of %d bytes: %w", len(line), err)
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// position returns the end of the database's log.
func (d *database) position() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return fmt.Sprintf("%d.%d", d.logTerm(), d.received)
}

// logTerm returns the term of the log's end; that of a primary is its own. mu is held.
func (d *database) logTerm() uint64 {
	if d.g.primary == d {
		return d.g.term
	}
	return d.receivedTerm
}

// work occupies a slot for a time, and reports whether there was one.
func (d *database) work(length time.Duration) bool {
	d.g.mu.Lock()
	if d.busy >= databaseSlots && d.waiting >= databaseQueue {
		d.g.mu.Unlock()
		return false
	}
	d.waiting++
	for d.busy >= databaseSlots {
		d.slotFree.Wait()
	}
	d.waiting--
	d.busy++
	d.g.mu.Unlock()
	time.Sleep(length)
	d.g.mu.Lock()
	d.busy--
	d.slotFree.Signal()
	d.g.mu.Unlock()
	return true
}

// run runs one statement and returns the answer without its READY line.
func (x *connection) run(text string) string {
	const complete = "COMPLETE -\r\n"
	d := x.d
	after, text, ok := cutAfter(text)
	if !ok {
		return x.fail("MALFORMED")
	}
	verb, rest, _ := strings.Cut(text, " ")
	if x.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return "ERROR MALFORMED " + d.id + "\r\n"
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		if !d.work(0) {
			return x.fail("BUSY")
		}
		return d.control(verb, rest) + complete
	case "BEGIN":
		if rest == "" && !d.leads(0) {
			return x.fail("READONLY")
		}
		if !d.holds(after) {
			return x.fail("LAGGING")
		}
		x.state, x.wrote = "T", false
		if rest == "" {
			x.begun = d.term()
		}
		return complete
	case "ROLLBACK":
		x.state, x.begun = "I", 0
		return complete
	case "COMMIT":
		return x.commit()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		x.values[name] = value
		return complete
	case "RESET":
		x.values, x.prepared = map[string]string{}, map[string]string{}
		return complete
	case "PREPARE":
		name, form, _ := strings.Cut(rest, " ")
		x.prepared[name] = form
		return complete
	case "DEALLOC":
		delete(x.prepared, rest)
		return complete
	case "EXECUTE":
		name, _, _ := strings.Cut(rest, " ")
		form, known := x.prepared[name]
		if !known {
			return x.fail("NOSTMT")
		}
		return x.data(strings.HasPrefix(form, "WRITE "), after)
	case "READ":
		if strings.HasPrefix(rest, reportPrefix) {
			return x.report(after)
		}
		return x.data(false, after)
	case "WRITE":
		return x.data(true, after)
	}
	return x.fail("MALFORMED")
}

func cutAfter(text string) (after uint64, rest string, ok bool) {
	tail, found := strings.CutPrefix(text, "AFTER ")
	if !found {
		return 0, text, true
	}
	at, rest, _ := strings.Cut(tail, " ")
	_, index, _ := strings.Cut(at, ".")
	after, err := strconv.ParseUint(index, 10, 64)
	return after, rest, err == nil
}

// fail returns a refusal; within a transaction that fails, too.
func (x *connection) fail(code string) string {
	if x.state == "T" && code != "BUSY" {
		x.state = "E"
	}
	return "ERROR " + code + " " + x.d.id + "\r\n"
}

// data runs a read or a write.
func (x *connection) data(write bool, after uint64) string {
	d := x.d
	switch {
	case write && x.begun == 0 && !d.leads(0), x.begun != 0 && !d.leads(x.begun):
		return x.fail("READONLY")
	case !d.holds(after):
		return x.fail("LAGGING")
	case !d.work(databaseWork):
		return x.fail("BUSY")
	case !write:
		return "ROW row-of-" + d.id + "\r\n" + d.sign()
	case x.begun != 0:
		x.wrote = true
		return d.sign()
	}
	return x.replicate(d.term())
}

// Items whose name begins with reportPrefix have g.reportRows rows of reportBytes each.
const (
	reportPrefix = "report"
	reportBytes  = 512 << 10
)

// report runs a read whose answer has many rows.
func (x *connection) report(after uint64) string {
	answer := x.data(false, after)
	row, signature, ok := strings.Cut(answer, "\r\n")
	if !ok || !strings.HasPrefix(row, "ROW ") {
		return answer
	}
	return strings.Repeat(row+strings.Repeat("r", reportBytes)+"\r\n", int(x.d.g.reportRows.Load())) + signature
}

func (x *connection) commit() string {
	wrote, term, failed := x.wrote, x.begun, x.state == "E"
	x.state, x.begun, x.wrote = "I", 0, false
	switch {
	case failed:
		return "ERROR ABORTED " + x.d.id + "\r\n"
	case wrote && !x.d.leads(term):
		return "ERROR READONLY " + x.d.id + "\r\n"
	case !x.d.work(databaseWork):
		return "ERROR ABORTED " + x.d.id + "\r\n"
	case !wrote:
		return x.d.sign()
	}
	return x.replicate(term)
}

// replicate appends a commit to the primary's log, and answers once a replica has received it.
func (x *connection) replicate(term uint64) string {
	d, g := x.d, x.d.g
	g.mu.Lock()
	if g.primary != d || g.term != term || d.down {
		g.mu.Unlock()
		return "ERROR READONLY " + d.id + "\r\n"
	}
	d.received++
	d.receivedTerm = term
	index := d.received
	g.mu.Unlock()
	g.ledger.recordCommit(x.id, index)
	for {
		time.Sleep(receiveDelay)
		g.mu.Lock()
		got := false
		for _, other := range g.all {
			if other != d && !other.down && !other.deaf && other.paused <= term && g.term == term {
				other.received, other.receivedTerm, other.blank = max(other.received, index), term, false
				got = true
			}
		}
		over := g.term != term || d.down
		g.mu.Unlock()
		switch {
		case got:
			return d.sign()
		case over:
			return "ERROR TIMEOUT " + d.id + "\r\n"
		}
	}
}

func (d *database) term() uint64 {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.g.term
}

// leads reports whether the database is the primary of a term, or of the present one if that is 0.
func (d *database) leads(term uint64) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.g.primary == d && (term == 0 || d.g.term == term)
}

func (d *database) holds(index uint64) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.received >= index
}

func (d *database) sign() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.g.signed++
	return fmt.Sprintf("COMPLETE 7.%s.%d\r\n", d.id, d.g.signed)
}

// control carries out a statement about replication and returns the status row.
func (d *database) control(verb, rest string) string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	role, known := "replica", d.g.term
	if d.g.primary == d {
		role = "primary"
	}
	if d.blank {
		known = 0
	}
	switch term, err := strconv.ParseUint(rest, 10, 64); {
	case verb == "PAUSE" && err == nil && role == "replica" && term > known:
		d.paused = term
	case verb == "RESUME":
		d.paused = 0
	}
	return fmt.Sprintf("ROW %s %d %d.%d %d 1 %d %d\r\n", role, known, d.logTerm(), d.received, d.paused, d.busy, len(d.conns))
}
