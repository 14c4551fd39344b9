package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// query runs one statement and returns the lines of the answer.
func (c *link) query(id, text string) []string {
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
	c.writes = nil
}

func (c *link) refuse(code string) []string {
	c.failed = c.open
	return []string{"ERROR " + code + " " + c.d.ID, c.ready()}
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
	d := c.d
	term := 0
	if len(f) > 1 {
		term, _ = strconv.Atoi(f[1])
	}
	d.mu.Lock()
	switch {
	case f[0] == "PAUSE" && d.leader != d.ID && term > d.term:
		d.paused = term
	case f[0] == "DEMOTE" && d.leader == d.ID && term > d.term:
		d.demoted = true
	case f[0] == "RESUME":
		d.paused = 0
	}
	d.notify()
	row := fmt.Sprintf("ROW %s %d %s %d 0 %d %d", d.role(), d.term, d.position(len(d.log)), d.paused, len(d.slots), d.conns)
	d.mu.Unlock()
	return append([]string{row}, c.done("-")...)
}

func (c *link) begin(readOnly bool, after string) []string {
	d := c.d
	d.mu.Lock()
	isPrimary, behind, term := d.leads(), d.isBehind(after), d.term
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
	c.d.awaitGate()
	<-c.d.slots
}

// run runs a read or a write.
func (c *link) run(id, text, item, data string, writes bool, after string) []string {
	d := c.d
	d.mu.Lock()
	isPrimary, behind := d.leads(), d.isBehind(after)
	lost := c.open && !c.readOnly && (d.term != c.began || !isPrimary)
	applied := d.numberAt(d.applied)
	d.mu.Unlock()
	switch {
	case writes && !isPrimary || lost:
		return c.refuse("READONLY")
	case behind:
		return c.refuse("LAGGING")
	}
	d.journal.write(journalLine{Ran: &ran{At: time.Now(), ID: id, Text: text, Applied: applied}})
	c.work(workTime)
	w := write{ID: id, Item: item, Data: data}
	if !writes {
		return append([]string{"ROW " + c.value(item)}, c.done(c.signature(id))...)
	}
	if c.open {
		c.writes = append(c.writes, w)
		return c.done(c.signature(id))
	}
	return c.append(id, []write{w}, 0)
}

const signaturePrefix = "7."

func (c *link) signature(id string) string { return signaturePrefix + c.d.ID + "." + id }

// value returns what the database holds for an item, with the transaction's own
// writes.
func (c *link) value(item string) string {
	for i := len(c.writes) - 1; i >= 0; i-- {
		if c.writes[i].Item == item {
			return c.writes[i].Data
		}
	}
	d := c.d
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := min(d.applied, len(d.log)) - 1; i >= 0; i-- {
		for _, w := range d.log[i].Writes {
			if w.Item == item {
				return w.Data
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
	writes, began := c.writes, c.began
	c.work(time.Millisecond)
	c.end()
	if len(writes) == 0 {
		return c.done(c.signature(id))
	}
	return c.append(id, writes, began)
}

// append commits writes and waits until a replica has confirmed them. A transaction
// names the term in which it began. There is no answer if the commit is rolled back
// before that.
func (c *link) append(id string, writes []write, began int) []string {
	d := c.d
	d.awaitGate()
	d.mu.Lock()
	if !d.leads() || began != 0 && began != d.term {
		d.mu.Unlock()
		return c.refuse("READONLY")
	}
	term := d.term
	number := d.nextNumber()
	d.append([]entry{{ID: id, At: time.Now(), Term: term, Number: number, Writes: writes}})
	d.applied = len(d.log)
	position := d.position(d.applied)
	if d.PositionBefore && d.random.Float64() < positionBeforeShare {
		position = d.position(d.applied - 1)
	}
	for d.term == term && !d.isConfirmed(number) {
		changed := d.changed
		d.mu.Unlock()
		<-changed
		d.awaitGate()
		d.mu.Lock()
	}
	// A commit of a former primary has succeeded if the new one had received it.
	c.mute, c.committed = !d.holds(id), id
	d.mu.Unlock()
	if d.NoPosition && d.chance(noPositionShare) {
		position = "-"
	}
	if d.LateReady && d.chance(lateReadyShare) {
		return []string{"COMPLETE " + c.signature(id), lateReady}
	}
	return []string{"COMPLETE " + c.signature(id), "READY I " + position}
}
