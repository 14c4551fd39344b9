package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// variants are the ways in which databases, promotions and the configuration of a play
// differ from the plain ones.
type variants struct {
	lateReady      bool // READY lines are formed late, with the position of that moment
	noPosition     bool // READY lines after commits name no position at times
	heldAnswers    bool // answers to commits are held up on their way
	slowPromotions bool // promotions take longer than the platform's pages state
	lateNews       bool // databases learn of a promotion late, also the former primary
	restarts       bool // replicas start again without their logs
	noRoutes       bool // configurations take the routes of a service away
	noService      bool // configurations take a service's entry away
	cutAtCall      bool // a successor leads with what it had received when the call was accepted
	deafSuccessor  bool // databases whose promotion is ordered receive nothing more, at times
	entryTerm      bool // a position names the term of the log's last entry
	jumpingNumbers bool // numbers of entries jump with each term
	positionBefore bool // READY lines after commits name the position before the commit, at times
	gaps           bool // a replica that has received nothing for a while goes on from the present entry
	lapsingEntries bool // the store's entries of replicas that live are missing for a time
	hostsKilled    bool // all hosts are killed a moment after databases have gone away
	newIDs         bool // every database that returns has a new id
	calm           bool // orders and calls of the store are answered, and hosts run on
}

// starves reports whether databases whose promotion is ordered are cut off. A successor
// that receives nothing more leads with what it had at the call anyway, and the other
// replicas cannot be found to be ahead of it by then.
func (v variants) starves() bool { return v.deafSuccessor || !v.cutAtCall }

// byName returns the variants under the names of the command line.
func (v *variants) byName() map[string]*bool {
	return map[string]*bool{
		"late-ready":      &v.lateReady,
		"no-position":     &v.noPosition,
		"held-answers":    &v.heldAnswers,
		"slow-promotions": &v.slowPromotions,
		"late-news":       &v.lateNews,
		"restarts":        &v.restarts,
		"no-routes":       &v.noRoutes,
		"no-service":      &v.noService,
		"cut-at-call":     &v.cutAtCall,
		"deaf-successor":  &v.deafSuccessor,
		"entry-term":      &v.entryTerm,
		"jumping-numbers": &v.jumpingNumbers,
		"position-before": &v.positionBefore,
		"gaps":            &v.gaps,
		"lapsing-entries": &v.lapsingEntries,
		"hosts-killed":    &v.hostsKilled,
		"new-ids":         &v.newIDs,
		"calm":            &v.calm,
	}
}

// variantNames lists the names of the variants.
func variantNames() string {
	var v variants
	return strings.Join(append(slices.Sorted(maps.Keys(v.byName())), asRecorded), ", ")
}

// asRecorded stands for the variants that the record of issue 36 fits.
const asRecorded = "as-recorded"

// parseVariants reads a comma-separated list.
func parseVariants(text string) (variants, error) {
	var v variants
	names := v.byName()
	for _, name := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		if name == asRecorded {
			v.cutAtCall, v.entryTerm, v.jumpingNumbers = true, true, true
			continue
		}
		set := names[name]
		if set == nil {
			return v, fmt.Errorf("unknown variant %q", name)
		}
		*set = true
	}
	return v, nil
}

// Shares and bounds of the variants of answers.
const (
	lateReadyShare      = 0.5 // of the commits
	latestReady         = 600 * time.Millisecond
	noPositionShare     = 0.1 // of the commits
	positionBeforeShare = 0.5 // of the commits
	heldShare           = 0.1 // of the commits
	heldLeast           = 20 * time.Millisecond
	heldMost            = 3 * time.Second
)

// chance draws whether something of a share happens.
func (f *faults) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.details.Float64() < share
}

// between draws a time between two bounds.
func (f *faults) between(least, most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return least + time.Duration(f.details.Int64N(int64(most-least)))
}

// hold draws for how long an answer to a commit is held up on its way.
func (f *faults) hold(v variants) time.Duration {
	if !v.heldAnswers || !f.chance(heldShare) {
		return 0
	}
	return f.between(heldLeast, heldMost)
}

func newDetails(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, streamDetails)) }
