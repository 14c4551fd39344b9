package main

import (
	"fmt"
	"strings"
	"time"
)

// worker is a client that works through one host all the time.
type worker struct {
	name, service, kind, tenant string
	host                        *hostProcess
}

// work writes and reads through one host, unless the route is for reads only.
func (t *takeover) work(w *worker, stop <-chan struct{}) {
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
			if c, err = t.s.connect(w.name, w.host, routeOf(w.kind, w.service), w.tenant); err != nil {
				c = nil
				pause(50*time.Millisecond, 150*time.Millisecond)
				continue
			}
		}
		if !t.operation(c, w, n) {
			c.close()
			c = nil
		}
		pause(t.s.layout.pauseLeast, t.s.layout.pauseMost)
	}
}

// operation runs one operation and reports whether the session can be used again.
func (t *takeover) operation(c *client, w *worker, n int) bool {
	item := fmt.Sprintf("%s-%d", c.name, n%5)
	texts := []string{"WRITE " + item + " " + newID()}
	switch {
	case w.kind == kindBounded || n%4 == 3:
		texts = []string{"READ " + item}
	case n%4 == 1:
		texts = []string{"BEGIN", texts[0], "COMMIT"}
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
		case strings.HasPrefix(text, "READ") && w.kind != kindPrimary:
		case strings.HasPrefix(text, "READ"):
			t.reads[r.id] = span{began, time.Now()}
		case r.state == "I":
			t.acked[r.id], t.ackedBy[r.id] = time.Now(), w.host.name+" ("+c.build.name+")"
			if t.settling {
				t.after[w.service]++
			}
		}
		t.mu.Unlock()
	}
	return true
}
