package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTakeover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "internal/standin/takeover")
}

// pair is a primary and its replica, in this process.
type pair struct{ primary, replica databaseSettings }

func startPair(replicates bool) pair {
	folder := GinkgoT().TempDir()
	settings := func(id string) databaseSettings {
		address, err := freeAddress()
		Expect(err).NotTo(HaveOccurred())
		return databaseSettings{ID: id, Service: "orders-db", Address: address, Journal: filepath.Join(folder, id), Term: firstTerm, Leader: "i-1"}
	}
	p := pair{settings("i-1"), settings("i-2")}
	if replicates {
		p.replica.Upstream = p.primary.Address
	}
	Expect(startDatabase(p.primary)).To(Succeed())
	Expect(startDatabase(p.replica)).To(Succeed())
	return p
}

// databaseSession is a connection to a database.
type databaseSession struct {
	conn net.Conn
	r    *bufio.Reader
}

func openSession(address string) *databaseSession {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	c := &databaseSession{conn, bufio.NewReader(conn)}
	_, err = fmt.Fprintf(conn, "STARTUP orders-db shop\r\n")
	Expect(err).NotTo(HaveOccurred())
	Expect(c.answer()).To(HaveLen(1))
	return c
}

// answer returns the lines up to READY, or none if it doesn't come.
func (c *databaseSession) answer() []string {
	Expect(c.conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
	var out []string
	for {
		line, err := readLine(c.r)
		if err != nil {
			return nil
		}
		if out = append(out, line); strings.HasPrefix(line, "READY") {
			return out
		}
	}
}

func (c *databaseSession) send(text string) {
	_, err := fmt.Fprintf(c.conn, "QUERY id %s\r\n", text)
	Expect(err).NotTo(HaveOccurred())
}

func instruct(address string, o order) state {
	c, err := dialControl(address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.conn.Close)
	out, err := c.do(o)
	Expect(err).NotTo(HaveOccurred())
	return out
}

var _ = Describe("a database of the play", func() {
	It("confirms a commit once a replica has it", func() {
		p := startPair(true)
		c := openSession(p.primary.Address)
		c.send("WRITE a 1")
		Expect(c.answer()).To(Equal([]string{"COMPLETE 7.i-1.id", "READY I 3.1001"}))
		Expect(instruct(p.replica.Address, order{Do: orderLead, Term: 4}).IDs).To(Equal([]string{"id"}))
	})

	It("leads with what it held when the call was accepted, if told so", func() {
		p := startPair(true)
		c := openSession(p.primary.Address)
		c.send("WRITE a 1")
		Expect(c.answer()).To(HaveLen(2))
		held := instruct(p.replica.Address, order{Do: orderState}).Length
		c.send("WRITE a 2")
		Expect(c.answer()).To(Equal([]string{"COMPLETE 7.i-1.id", "READY I 3.1002"}))
		led := instruct(p.replica.Address, order{Do: orderLead, Term: 4, Kept: &held})
		Expect(led.IDs).To(HaveLen(1))
		stored, err := readJournal(p.replica.Journal)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.log).To(HaveLen(1))
		session := openSession(p.replica.Address)
		session.send("READ a")
		Expect(session.answer()).To(ContainElement("ROW 1"))
	})

	It("does not answer a commit that a promotion rolls back, and leads no longer", func() {
		p := startPair(false)
		c := openSession(p.primary.Address)
		c.send("WRITE a 1")
		Expect(c.answer()).To(BeEmpty())
		led := instruct(p.replica.Address, order{Do: orderLead, Term: 4})
		Expect(led).To(Equal(state{Role: rolePrimary, Term: 4, Length: 0, IDs: []string{}}))
		Expect(instruct(p.primary.Address, order{Do: orderLearn, Term: 4, Leader: "i-2", IDs: led.IDs}).Role).To(Equal(roleReplica))
		Expect(c.answer()).To(BeEmpty())
		stored, err := readJournal(p.primary.Journal)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.log).To(BeEmpty())
	})
})

var _ = Describe("variants", func() {
	It("cut off ordered databases, except with cut-at-call alone", func() {
		for text, starves := range map[string]bool{"": true, "calm": true, "cut-at-call": false, "calm,cut-at-call,deaf-successor": true} {
			v, err := parseVariants(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(v.starves()).To(Equal(starves), text)
		}
	})
})

var _ = Describe("a plan", func() {
	It("is that of its seed", func() {
		for name, plan := range plans {
			l, err := newLayout(&record{file: GinkgoWriter}, "large", name, variants{restarts: true, noService: true}, 7)
			Expect(err).NotTo(HaveOccurred())
			Expect(plan.of(7, l)).To(Equal(plan.of(7, l)), name)
			Expect(plan.of(8, l)).NotTo(Equal(plan.of(7, l)), name)
		}
	})

	It("upgrades all hosts, rolls half of them back, and upgrades these again", func() {
		b := builds{newer: &build{name: "newer"}, older: &build{name: "older"}}
		var toNewer, toOlder []int
		for _, c := range b.changes(7, 6, faultsFor) {
			if c.to == b.newer {
				toNewer = append(toNewer, c.host)
			} else {
				toOlder = append(toOlder, c.host)
			}
		}
		slices.Sort(toNewer[:6])
		Expect(toNewer[:6]).To(Equal([]int{0, 1, 2, 3, 4, 5}))
		Expect(toOlder).To(HaveLen(3))
		Expect(toNewer[6:]).To(ConsistOf(toOlder))
	})
})
