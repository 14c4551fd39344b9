package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

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
	if c.isBusy() {
		return c.refuse("BUSY")
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

// isBusy reports whether the database still rolls back, outside of a transaction.
func (c *link) isBusy() bool {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return !c.open && time.Now().Before(c.d.busyUntil)
}

// end ends the open transaction.
func (c *link) end() {
	c.open, c.readOnly, c.failed = false, false, false
	c.statements, c.writes = nil, nil
}

func (c *link) refuse(code string) []string {
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
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return "READY " + state + " " + c.d.position(c.d.applied)
}

// control runs a statement that concerns the database itself.
func (c *link) control(f []string) []string {
	g, d := c.d.g, c.d
	term := 0
	if len(f) > 1 {
		term, _ = strconv.Atoi(f[1])
	}
	if f[0] != "STATUS" {
		what := fmt.Sprintf("%s of %s for %s (sent at %.3f s)", strings.Join(f, " "), c.from, d.id, g.rec.seconds(time.Now()))
		g.faults.takeover(c.from)
		fate := g.faults.order()
		if fate.unanswered {
			c.mute = true
			g.rec.notef("%s: no answer, carried out after %d ms", what, fate.after.Milliseconds())
			g.faults.later(fate.after, func() {
				d.awaitThaw()
				d.obey(f[0], term)
				g.rec.notef("%s: carried out", what)
			})
			return nil
		}
		g.rec.notef("%s: carried out and answered", what)
	}
	d.obey(f[0], term)
	d.mu.Lock()
	row := fmt.Sprintf("ROW %s %d %s %d 0 %d %d", d.role(), d.term, d.position(len(d.log)), d.paused, len(d.slots), d.conns)
	d.mu.Unlock()
	return append([]string{row}, c.done("-")...)
}

// obey carries out an order to the database.
func (d *database) obey(order string, term int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down:
	case order == "PAUSE" && d.leader != d && term > d.term:
		d.paused = term
	case order == "DEMOTE" && d.leader == d && term > d.term:
		d.demoted = true
		d.notify()
	case order == "RESUME":
		d.paused = 0
		d.notify()
	}
}

func (c *link) begin(readOnly bool, after string) []string {
	d := c.d
	d.mu.Lock()
	isPrimary, behind, term := d.leads(), after != "" && d.parsePosition(after) > d.applied, d.term
	d.mu.Unlock()
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
	c.d.awaitThaw()
	<-c.d.slots
}

// run runs a read or a write.
func (c *link) run(id, text, item, data string, writes bool, after string) []string {
	g, d := c.d.g, c.d
	d.mu.Lock()
	isPrimary, behind := d.leads(), after != "" && d.parsePosition(after) > d.applied
	lost := c.open && !c.readOnly && (d.term != c.began || !isPrimary)
	applied := d.applied
	d.mu.Unlock()
	switch {
	case writes && !isPrimary || lost:
		return c.refuse("READONLY")
	case behind:
		return c.refuse("LAGGING")
	}
	g.mu.Lock()
	g.statements = append(g.statements, ran{at: time.Now(), id: id, text: text, database: d.id, applied: applied})
	g.mu.Unlock()
	g.rec.logf("database %s runs %s %s", d.id, id, text)
	c.work(workTime)
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

const signaturePrefix = "7."

func (c *link) signature(id string) string { return signaturePrefix + c.d.id + "." + id }

// value returns what the database holds for an item, with the transaction's own
// writes.
func (c *link) value(item string) string {
	for i := len(c.writes) - 1; i >= 0; i-- {
		if c.writes[i].item == item {
			return c.writes[i].data
		}
	}
	d := c.d
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := min(d.applied, len(d.log)) - 1; i >= 0; i-- {
		for _, w := range d.log[i].writes {
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

// append commits writes and waits until a replica has confirmed them. A transaction
// names the term in which it began. There is no answer if the commit is rolled back
// or the database goes down before that.
func (c *link) append(id string, statements []string, writes []write, began int) []string {
	g, d := c.d.g, c.d
	d.mu.Lock()
	if !d.leads() || began != 0 && began != d.term {
		d.mu.Unlock()
		return c.refuse("READONLY")
	}
	if d.down {
		d.mu.Unlock()
		c.mute = true
		return nil
	}
	term := d.term
	d.log = append(d.log, entry{id: id, at: time.Now(), term: term, writes: writes})
	n := len(d.log)
	d.applied = n
	position := d.position(n)
	d.notify()
	g.rec.logf("database %s commits %s as %s with the statements %v", d.id, id, position, statements)
	for !d.down && d.term == term && !d.isConfirmed(n) {
		changed := d.changed
		d.mu.Unlock()
		<-changed
		d.awaitThaw()
		d.mu.Lock()
	}
	// A commit of a former primary has succeeded if the new one had received it.
	kept := n <= len(d.log) && d.log[n-1].id == id
	c.mute = !kept || d.down
	d.mu.Unlock()
	g.mu.Lock()
	g.strays[id] = fmt.Sprintf("%s as %s at %.3f s", d.id, position, g.rec.seconds(time.Now()))
	g.mu.Unlock()
	if g.with.lateReady && g.faults.chance(lateReadyShare) {
		return []string{"COMPLETE " + c.signature(id), lateReady}
	}
	return []string{"COMPLETE " + c.signature(id), "READY I " + position}
}
