package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// playLossy loses three in ten packets on three in ten connections of two of the nine
// databases for five seconds, several times, while callers write and read their writes
// in transactions.
func playLossy(s *site, trouble bool) (bool, error) {
	var mu sync.Mutex
	var mixed []string
	var callers sync.WaitGroup
	stopped := make(chan struct{})
	for n := range 60 {
		callers.Go(func() {
			name := fmt.Sprintf("c%d", n+1)
			tenant := []string{"shop", "yard"}[n%2]
			check := func(c *client, text string) bool {
				r := c.query(text, 4*time.Second)
				word, _, _ := strings.Cut(text, " ")
				signed := word == "READ" || word == "WRITE" || word == "COMMIT"
				if r.err == nil && r.code == "" && signed && !strings.HasSuffix(r.sign, "."+r.id) {
					mu.Lock()
					mixed = append(mixed, fmt.Sprintf("MIXED: %s of %s (%s) succeeded with the signature %q and the rows %q", r.id, name, text, r.sign, r.rows))
					mu.Unlock()
				}
				if r.err == nil && r.state == "E" {
					c.query("ROLLBACK", 4*time.Second)
				}
				return r.err == nil && r.code == ""
			}
			for {
				select {
				case <-stopped:
					return
				default:
				}
				c, err := s.connect(name, s.hosts[n%len(s.hosts)], routeOwn, tenant)
				if err != nil {
					pause(100*time.Millisecond, 300*time.Millisecond)
					continue
				}
				for ok := true; ok; {
					select {
					case <-stopped:
						ok = false
						continue
					default:
					}
					item := fmt.Sprintf("item%d", rand.N(200))
					texts := []string{"WRITE " + item + " " + newID(), "BEGIN READ", "READ " + item, "COMMIT", "READ " + item}
					for _, text := range texts {
						if !check(c, text) {
							ok = false
							break
						}
						pause(0, 5*time.Millisecond)
					}
				}
				c.close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	harmed := s.group.databases[1:]
	lose := func(on bool) {
		if !trouble {
			return
		}
		s.rec.logf("loss of packets: %v", on)
		for _, d := range harmed {
			d.lossy.Store(on)
		}
	}
	for range 9 {
		lose(true)
		time.Sleep(5 * time.Second)
		lose(false)
		time.Sleep(3 * time.Second)
	}
	close(stopped)
	callers.Wait()
	for _, line := range mixed {
		s.rec.logf("%s", line)
	}
	s.group.mu.Lock()
	s.rec.logf("statements refused by databases: %v", s.group.refused)
	s.group.mu.Unlock()
	s.rec.logf("successes without the signature of their own statement: %d", len(mixed))
	return len(mixed) > 0, nil
}
