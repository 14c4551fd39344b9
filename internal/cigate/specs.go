package main

import (
	"regexp"
	"strconv"
	"strings"
)

// Lines that Ginkgo prints at the end of a suite that failed, without colours.
var (
	ansiColour     = regexp.MustCompile("\x1b\\[[0-9;]*m")
	summaryHeading = regexp.MustCompile(`^Summarizing (\d+) Failures?:$`)
	// summaryFailure is a line of the summary that names a failure of any kind: a
	// failed assertion, a panic, a timeout, an interruption.
	summaryFailure = regexp.MustCompile(`^\s*\[[A-Z]+\] .*\[[A-Z]`)
	// failedSpec is the line of a spec whose own body failed by an assertion. It names
	// the containers and the spec.
	failedSpec  = regexp.MustCompile(`^\s*\[FAIL\] (.*)\[It\] (.+?)\s*$`)
	specsRun    = regexp.MustCompile(`^Ran (\d+) of (\d+) Specs in `)
	suiteTotals = regexp.MustCompile(`(\d+) Passed \| (\d+) Failed \| \d+ Pending \| (\d+) Skipped`)
)

// suite holds what Ginkgo printed of a suite that failed.
type suite struct {
	failures   int      // failures that the summary announces
	lines      int      // failures that the summary lists
	specs      []string // names, with their containers, of the specs among them that failed by an assertion
	ran, total int      // specs
	failed     int      // specs
	skipped    int      // specs
	complete   bool     // the totals were printed, once
}

// abnormalEnd reports whether a line shows that a test ended by something else than
// a failed assertion.
func abnormalEnd(text string) bool {
	return strings.HasPrefix(text, "panic: ") || strings.HasPrefix(text, "fatal error: ") ||
		strings.Contains(text, "WARNING: DATA RACE") || strings.Contains(text, "race detected") ||
		strings.Contains(text, "There were additional failures detected")
}

// parseSuite reads the output of a test. isSuite is false if the test is no Ginkgo
// suite; ok is false if the output shows an abnormal end.
func parseSuite(output []string) (s suite, isSuite, ok bool) {
	inSummary := false
	number := func(text string) int {
		n, _ := strconv.Atoi(text) // the expressions match digits only
		return n
	}
	for _, text := range strings.Split(strings.Join(output, ""), "\n") {
		text = ansiColour.ReplaceAllString(text, "")
		if abnormalEnd(text) {
			return suite{}, true, false
		}
		isSuite = isSuite || strings.HasPrefix(text, "Running Suite: ")
		if m := summaryHeading.FindStringSubmatch(text); m != nil {
			s.failures, inSummary = number(m[1]), true
		}
		if inSummary && summaryFailure.MatchString(text) {
			s.lines++
			if m := failedSpec.FindStringSubmatch(text); m != nil {
				s.specs = append(s.specs, strings.Join(strings.Fields(m[1]+" "+m[2]), " "))
			}
		}
		if m := specsRun.FindStringSubmatch(text); m != nil {
			s.ran, s.total, inSummary = number(m[1]), number(m[2]), false
		}
		if m := suiteTotals.FindStringSubmatch(text); m != nil {
			s.failed, s.skipped = number(m[2]), number(m[3])
			s.complete = !s.complete
		}
	}
	return s, isSuite, true
}

// knownRedLines returns the entries that a failed test is passed over for. ok is false
// if the test failed for any other reason: a spec that is not listed or did not end
// by a failed assertion, a failure in setup or cleanup, specs that did not run, a
// data race, a crash.
func (g *gate) knownRedLines(key string) (lines []string, ok bool) {
	s, isSuite, ok := parseSuite(g.output[key])
	if !ok {
		return nil, false
	}
	if !isSuite {
		line, listed := g.knownRed[key]
		return []string{line}, listed
	}
	for _, name := range s.specs {
		line, listed := g.knownRed[key+`/"`+name+`"`]
		if !listed {
			return nil, false
		}
		lines = append(lines, line)
	}
	n := len(lines)
	return lines, n > 0 && s.complete && s.failures == n && s.lines == n && s.failed == n && s.skipped == 0 && s.ran == s.total
}

// plainFailure matches the lines that "go test" prints for a package whose tests
// failed and whose process then ended as usual.
var plainFailure = regexp.MustCompile(`^(FAIL|FAIL\t.*|)$`)

// endedPlainly reports whether the output of a package, apart from that of its
// tests, shows nothing but that a test failed.
func (g *gate) endedPlainly(pkg string) bool {
	for _, text := range strings.Split(strings.Join(g.output[pkg+" "], ""), "\n") {
		if !plainFailure.MatchString(text) {
			return false
		}
	}
	return true
}
