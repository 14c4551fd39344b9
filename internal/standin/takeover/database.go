package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Times of the databases.
const (
	receiveDelay = time.Millisecond
	rollbackTime = 300 * time.Millisecond // for which a replica is busy after a rollback
)

// database is a process of its own, one of a service's databases, with its own view of
// the term, the primary and the log. A commit succeeds once one replica has confirmed
// it.
type database struct {
	databaseSettings
	slots   chan struct{}
	journal *journal

	mu        sync.Mutex // guards the fields below
	changed   chan struct{}
	gate      chan struct{}       // closed, except while a promotion is carried out
	term      int                 // the newest that it knows
	leader    string              // id of the primary of that term
	upstream  string              // the address at which it reaches the primary
	log       []entry             // received
	applied   int                 // entries of the log
	confirmed map[string]receipts // by replica, of the entries of the term
	paused    int
	demoted   bool // a primary that was made a replica
	busyUntil time.Time
	conns     int
	random    *rand.Rand
}

// databaseSettings are given to the process as JSON.
type databaseSettings struct {
	ID, Service, Address, Journal string
	Term                          int
	Leader, Upstream              string
	Seed                          uint64
	databaseLayout
	behaviour
}

// behaviour is what variants change about a database.
type behaviour struct {
	LateReady, NoPosition, PositionBefore, EntryTerm, JumpingNumbers, Gaps bool
}

func (v variants) behaviour() behaviour {
	return behaviour{LateReady: v.lateReady, NoPosition: v.noPosition, PositionBefore: v.positionBefore,
		EntryTerm: v.entryTerm, JumpingNumbers: v.jumpingNumbers, Gaps: v.gaps}
}

// runDatabase is the main function of a database's process, which ends when its
// standard input does.
func runDatabase(args []string) int {
	flags := flag.NewFlagSet("database", flag.ExitOnError)
	settings := flags.String("settings", "", "settings as JSON")
	if err := flags.Parse(args); err != nil {
		return exitFailed
	}
	var set databaseSettings
	if err := json.Unmarshal([]byte(*settings), &set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := startDatabase(set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // until the parent ends
	return exitHeld
}

func startDatabase(set databaseSettings) error {
	l, err := net.Listen("tcp", set.Address)
	if err != nil {
		return err
	}
	open := make(chan struct{})
	close(open)
	d := &database{databaseSettings: set, slots: make(chan struct{}, set.Slots), changed: make(chan struct{}), gate: open,
		term: set.Term, leader: set.Leader, upstream: set.Upstream, confirmed: map[string]receipts{},
		random: rand.New(rand.NewPCG(set.Seed, uint64(time.Now().UnixNano())))}
	if stored, err := readLog(set.Journal); err == nil {
		d.log, d.applied = stored.log, len(stored.log)
	}
	if d.journal, err = openJournal(set.Journal); err != nil {
		return err
	}
	go d.follow()
	go d.serve(l)
	return nil
}

// leads reports whether the database takes itself for the primary. mu is held.
func (d *database) leads() bool { return d.leader == d.ID && !d.demoted }

// role returns what the database reports. mu is held.
func (d *database) role() string {
	if d.leads() {
		return rolePrimary
	}
	return roleReplica
}

// Roles that a database reports.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// notify wakes those who wait for a change of the database. mu is held.
func (d *database) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// awaitGate waits while a promotion is carried out.
func (d *database) awaitGate() {
	for {
		d.mu.Lock()
		gate := d.gate
		d.mu.Unlock()
		select {
		case <-gate:
			return
		default:
			<-gate
		}
	}
}

// rollBack removes the entries that the log of a promoted database lacks. mu is held.
func (d *database) rollBack(promoted []string) {
	kept, more := retained(d.log, promoted)
	if kept+len(more) < len(d.log) {
		d.busyUntil = time.Now().Add(rollbackTime)
	}
	d.cutTo(kept)
	if len(more) > 0 {
		d.append(more)
		d.applied = len(d.log)
	}
}

// cutTo removes all entries behind the first ones. mu is held.
func (d *database) cutTo(kept int) {
	if kept < len(d.log) {
		d.log = d.log[:kept:kept]
		d.journal.write(journalLine{Kept: &kept})
	}
	d.applied = min(d.applied, kept)
}

// holds reports whether the log has a commit. mu is held.
func (d *database) holds(id string) bool {
	for _, e := range slices.Backward(d.log) {
		if e.ID == id {
			return true
		}
	}
	return false
}

// chance draws whether something of a share happens.
func (d *database) chance(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}

// upTo draws a time.
func (d *database) upTo(most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(most)))
}
