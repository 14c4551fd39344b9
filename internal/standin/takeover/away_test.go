package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain lets the test binary serve as the process of a database.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == modeDatabase {
		os.Exit(runDatabase(os.Args[2:]))
	}
	os.Exit(m.Run())
}

var _ = Describe("the address of a database", func() {
	const word = "hello\r\n"
	var f *front
	BeforeEach(func() {
		var err error
		f, err = newFront(func(conn net.Conn) {
			fmt.Fprint(conn, word)
			conn.Close()
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			f.listener.Close()
			f.reserve.Close()
		})
	})
	read := func(within time.Duration) (string, error) {
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			return "", err
		}
		defer conn.Close()
		Expect(conn.SetReadDeadline(time.Now().Add(within))).To(Succeed())
		buf := make([]byte, 64)
		n, err := conn.Read(buf)
		return string(buf[:n]), err
	}
	answers := func() { Expect(read(5 * time.Second)).To(Equal(word)) }

	It("refuses connections while the database is down", func() {
		answers()
		for range 2 {
			f.leave(absentRefused)
			for range 3 {
				_, err := read(time.Second)
				Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
			}
			Expect(f.enter()).To(Succeed())
			answers()
		}
	})

	It("keeps its port while nobody listens", func() {
		f.leave(absentRefused)
		other, err := newFront(func(net.Conn) {})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			other.listener.Close()
			other.reserve.Close()
		})
		Expect(other.address).NotTo(Equal(f.address))
		Expect(f.enter()).To(Succeed())
		answers()
	})

	It("takes connections and answers nothing while the database is silent, and resets them when it returns", func() {
		f.leave(absentSilent)
		_, err := read(300 * time.Millisecond)
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
		ended := make(chan error, 1)
		go func() {
			_, err := read(5 * time.Second)
			ended <- err
		}()
		Consistently(ended, "200ms").ShouldNot(Receive())
		Expect(f.enter()).To(Succeed())
		Eventually(ended).Should(Receive(&err))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		answers()
	})

	It("resets connections", func() {
		f.leave(absentReset)
		_, err := read(5 * time.Second)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		Expect(f.enter()).To(Succeed())
		answers()
	})
})

var _ = Describe("a database that goes away", func() {
	var t *takeover
	var g *group
	BeforeEach(func() {
		rec := &record{file: GinkgoWriter, started: time.Now()}
		l, err := newLayout(rec, "small", "away", variants{}, 1)
		Expect(err).NotTo(HaveOccurred())
		l.drain = 50 * time.Millisecond
		l.faults.started("edge-1", os.Getpid())
		g, err = newGroup(rec, "orders-db", GinkgoT().TempDir(), l)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.stop)
		s := &site{rec: rec, layout: l, groups: []*group{g}}
		s.store, err = newStore(rec, s.promote)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.store.server.Close)
		t = &takeover{s: s, f: l.faults}
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			s.announce(stop)
			close(ended)
		}()
		DeferCleanup(func() {
			close(stop)
			<-ended
		})
		Eventually(func() bool { return s.store.has(kindServers, g.primary.name()) }).Should(BeTrue())
		openSession(g.primary.front.address).commit("a")
		Eventually(func() []string { return idsIn(g.databases[1].journal) }).Should(Equal([]string{"a"}))
	})
	entryOf := func(m *member) string {
		t.s.store.mu.Lock()
		defer t.s.store.mu.Unlock()
		return string(t.s.store.objects[kindServers][m.name()].Spec)
	}
	promote := func(id string) int {
		body := strings.NewReader(fmt.Sprintf(`{"service":"orders-db","id":%q}`, id))
		req, err := http.NewRequest(http.MethodPost, "http://"+t.s.store.address+promotionPath, body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Bronzeloft-Fencing-Token", "7")
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		return res.StatusCode
	}
	startup := func(m *member, id string) string {
		conn, err := net.Dial("tcp", m.front.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(conn, "STARTUP orders-db shop %s\r\n", id)
		Expect(err).NotTo(HaveOccurred())
		buf := make([]byte, 64)
		n, err := conn.Read(buf)
		Expect(err).NotTo(HaveOccurred())
		return string(buf[:n])
	}

	for _, how := range []absence{absentRefused, absentSilent, absentReset} {
		It("returns under its id with its log, born anew: "+how.String(), func() {
			m := g.primary
			id, before := m.name(), entryOf(m)
			t.crash(step{length: 50 * time.Millisecond, absence: how}, m)
			Expect(m.name()).To(Equal(id))
			Eventually(func() string { return entryOf(m) }).ShouldNot(Equal(before))
			Expect(entryOf(m)).To(MatchRegexp(`"born":\d{13}`))
			c := openSession(m.front.address)
			c.send("READ a")
			Expect(c.answer()).To(ContainElement("ROW a"))
			Expect(c.status()).To(ContainElement(HavePrefix("ROW primary 3 3.1001 ")))
			Expect(c.commit("b")).To(Equal("READY I 3.1002"))
		})
	}

	It("returns under a new id at its address with its log, and its former entry is gone", func() {
		m := g.databases[1]
		former, address := m.name(), m.front.address
		t.crash(step{length: 50 * time.Millisecond, handover: true}, m)
		Expect(m.name()).NotTo(Equal(former))
		Expect(m.front.address).To(Equal(address))
		Eventually(func() string { return entryOf(m) }).Should(ContainSubstring(address))
		Expect(t.s.store.has(kindServers, former)).To(BeFalse())
		Expect(startup(m, former)).To(HavePrefix("ERROR MISROUTED"))
		Expect(startup(m, m.name())).To(HavePrefix("READY I 3.1001"))
		Expect(promote(former)).To(Equal(http.StatusConflict))
	})

	It("is not promoted while it is down", func() {
		m := g.databases[1]
		Expect(m.kill(absentSilent)).To(BeTrue())
		Expect(promote(m.name())).To(Equal(http.StatusConflict))
		m.restart(false)
		Expect(promote(m.name())).To(Equal(http.StatusOK))
		t.f.pending.Wait()
	})

	It("has its entry lapse after three heartbeats of silence, and has it back when it returns", func() {
		m := g.databases[1]
		Expect(m.kill(absentRefused)).To(BeTrue())
		killed := time.Now()
		Eventually(func() string { return entryOf(m) }, "10s").Should(BeEmpty())
		Expect(time.Since(killed)).To(BeNumerically(">", (silentBeats-1)*heartbeat))
		m.restart(false)
		Eventually(func() string { return entryOf(m) }).Should(ContainSubstring(`"state":"ready"`))
	})

	It("announces that it leaves, serves on, and is gone", func() {
		m := g.databases[1]
		t.s.layout.drain = 1500 * time.Millisecond
		left := make(chan struct{})
		go func() {
			t.leave(step{gone: true}, m)
			close(left)
		}()
		Eventually(func() string { return entryOf(m) }, "1400ms", "10ms").Should(ContainSubstring(`"state":"draining"`))
		Expect(startup(m, m.name())).To(HavePrefix("READY"))
		Eventually(left, "5s").Should(BeClosed())
		Expect(entryOf(m)).To(BeEmpty())
		Expect(m.keepsLog()).To(BeFalse())
		_, err := net.Dial("tcp", m.front.address)
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
	})
})

var _ = Describe("the plan away", func() {
	planOf := func(seed uint64, with variants) (layout, []step) {
		l, err := newLayout(&record{file: GinkgoWriter}, "pluta-hq", "away", with, seed)
		Expect(err).NotTo(HaveOccurred())
		return l, awayOf(seed, l)
	}

	It("takes two databases of each service away at once, in every order, and at half of the times as recorded", func() {
		orders := map[string]bool{}
		rounds, recorded := 0, 0
		for seed := range uint64(40) {
			l, plan := planOf(seed, variants{calm: true})
			for g := range l.services {
				var away []step
				gone := 0
				for _, s := range plan {
					if s.group == g && strings.HasSuffix(s.kind, " of a database") {
						away = append(away, s)
					}
				}
				Expect(len(away)).To(BeNumerically(">=", 4))
				for i := 0; i+1 < len(away); i += 2 {
					a, b := away[i], away[i+1]
					Expect(a.rank).NotTo(Equal(b.rank))
					Expect(b.at - a.at).To(And(BeNumerically(">=", 0), BeNumerically("<", 4*time.Second)))
					orders[fmt.Sprintf("%s %d %d", a.kind, min(a.rank, 1), min(b.rank, 1))] = true
					rounds++
					if a.at == b.at && a.absence == absentRefused && a.length >= 5*time.Second && b.length < 8500*time.Millisecond {
						recorded++
					}
					for _, s := range []step{a, b} {
						Expect(s.length).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 30*time.Second)))
						if s.gone {
							gone++
							Expect(s.handover).To(BeFalse())
						}
					}
				}
				Expect(gone).To(BeNumerically("<=", 1), "one of three remains")
			}
		}
		Expect(orders).To(HaveLen(6))
		Expect(float64(recorded) / float64(rounds)).To(BeNumerically("~", 0.5, 0.1))
	})

	It("gives every database that returns a new id with new-ids", func() {
		_, plan := planOf(7, variants{newIDs: true})
		for _, s := range plan {
			if strings.HasSuffix(s.kind, " of a database") {
				Expect(s.handover).To(Equal(!s.gone))
			}
		}
	})

	It("loses all hosts a second after the absences with hosts-killed, and none without", func() {
		losses := func(with variants) (n int) {
			_, plan := planOf(7, with)
			for _, s := range plan {
				if s.kind == "loss of the hosts" {
					n++
					Expect(s.order).To(HaveLen(14))
					Expect(s.share).To(Equal(1.0))
				}
			}
			return n
		}
		Expect(losses(variants{calm: true})).To(BeZero())
		Expect(losses(variants{calm: true, hostsKilled: true})).To(Equal(4))
	})
})

var _ = Describe("the judge's summary", func() {
	It("names each service with what was acknowledged for it after the faults", func() {
		t := &takeover{s: &site{layout: layout{services: []string{"orders-db", "stock-db"}}}, after: map[string]int{"stock-db": 12}}
		Expect(t.afterFaults()).To(Equal("orders-db 0, stock-db 12"))
	})
})
