package site

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Databases is a stand-in for one service's databases and for the platform's
// promotion call. Replicas hold every commit at once, paused or not. It is safe for concurrent use.
type Databases struct {
	service string
	store   *Store
	server  *http.Server
	url     string

	mu      sync.Mutex // guards the fields below and those of each Database
	signed  uint64     // number of signatures given, no two of which are equal
	term    uint64
	index   uint64
	primary string
	members map[string]*Database
}

// Database is one database of a service.
type Database struct {
	ID       string
	group    *Databases
	listener net.Listener
	conns    map[net.Conn]bool
	reads    int
	requests int
	paused   uint64 // term of the last PAUSE, until a RESUME or a promotion
}

// StartDatabases starts the named databases of a service; the first is the primary.
// Their entries are in the store.
func StartDatabases(store *Store, service, zone string, ids ...string) (*Databases, error) {
	g := &Databases{service: service, store: store, term: 1, index: 10, primary: ids[0], members: map[string]*Database{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", g.promote)
	g.server, g.url = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, "http://"+l.Addr().String()
	go func() { _ = g.server.Serve(l) }() // ends with Close
	for _, id := range ids {
		if err := g.Start(id, zone); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Start starts a database and stores its entry.
func (g *Databases) Start(id, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	db := &Database{ID: id, group: g, listener: l, conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.members[id] = db
	role := "replica"
	if g.primary == id {
		role = "primary"
	}
	g.mu.Unlock()
	go db.serve()
	g.store.Put("servers", id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":4,"version":"v1","state":"ready","coldLeftMs":0,"dbRole":%q,"seq":1,"born":1}`, g.service, l.Addr(), zone, role))
	return nil
}

// URL returns the base URL of the promotion call.
func (g *Databases) URL() string { return g.url }

// Close stops all databases and the promotion call.
func (g *Databases) Close() {
	_ = g.server.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.members {
		g.stop(id)
	}
}

// Kill stops a database without removing its entry.
func (g *Databases) Kill(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop(id)
}

// stop is Kill with mu held.
func (g *Databases) stop(id string) {
	db := g.members[id]
	if db == nil {
		return
	}
	delete(g.members, id)
	_ = db.listener.Close()
	for c := range db.conns {
		_ = c.Close()
	}
}

// Primary returns the id of the primary.
func (g *Databases) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Reads returns the number of reads that a database has run.
func (g *Databases) Reads(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if db := g.members[id]; db != nil {
		return db.reads
	}
	return 0
}

// Requests returns the number of statements that a database has received, without those that only
// ask for its state or steer its replication.
func (g *Databases) Requests(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if db := g.members[id]; db != nil {
		return db.requests
	}
	return 0
}

func (g *Databases) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID string `json:"id"`
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil || g.members[order.ID] == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if g.primary != order.ID {
		g.term++
		g.primary = order.ID
		for _, db := range g.members {
			db.paused = 0
		}
	}
}

func (d *Database) serve() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		d.conns[c] = true
		d.group.mu.Unlock()
		go d.serveConn(c)
	}
}

func (d *Database) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	state := "I"
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		answer := ""
		if word == "QUERY" {
			_, text, _ := strings.Cut(rest, " ")
			answer, state = d.run(text, state)
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, d.end()); err != nil {
			return
		}
	}
}

func (d *Database) end() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return fmt.Sprintf("%d.%d", d.group.term, d.group.index)
}

// sign returns the signed end of an answer. mu is held.
func (g *Databases) sign() string {
	g.signed++
	return fmt.Sprintf("COMPLETE sig%d\r\n", g.signed)
}

// run runs one statement and returns its answer without the READY line, and the
// new state of the connection.
func (d *Database) run(text, state string) (answer, next string) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	const complete = "COMPLETE -\r\n"
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	verb, argument, _ := strings.Cut(text, " ")
	isPrimary := g.primary == d.ID
	if verb != "STATUS" && verb != "PAUSE" && verb != "RESUME" && verb != "DEMOTE" {
		d.requests++
	}
	switch {
	case text == "BEGIN" && !isPrimary, verb == "WRITE" && !isPrimary:
		return "ERROR READONLY " + d.ID + "\r\n", state
	case verb == "BEGIN":
		return complete, "T"
	case verb == "COMMIT", verb == "ROLLBACK":
		return complete, "I"
	case verb == "READ", verb == "EXECUTE":
		d.reads++
		return "ROW " + d.ID + "\r\n" + g.sign(), state
	case verb == "WRITE":
		g.index++
		return g.sign(), state
	case verb == "STATUS", verb == "PAUSE", verb == "RESUME", verb == "DEMOTE":
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		switch term, err := strconv.ParseUint(argument, 10, 64); {
		case verb == "RESUME":
			d.paused = 0
		case verb == "PAUSE" && err == nil && !isPrimary && term > g.term:
			d.paused = term
		}
		return fmt.Sprintf("ROW %s %d %d.%d %d 1 0 1\r\n%s", role, g.term, g.term, g.index, d.paused, complete), state
	}
	return complete, state
}
