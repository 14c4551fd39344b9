// Command cigate reads the output of "go test -json" from standard input, prints
// the failures and the totals, and exits with 1 if a test failed that is not on
// the list of known failures, if no test passed, or if the results do not account
// for the exit status of "go test". It exits with 2 if it cannot read the list or
// the input.
//
// Its argument names the file with the list. An entry names a Go test or one spec
// of a Ginkgo suite; the text after the first bar is for readers:
//
//	package TestName | ...
//	package TestName/"containers and text of the spec" | ...
//
// A test is passed over only if it failed by nothing but a failed assertion, and a
// Ginkgo suite only if each of its failures is a listed spec.
//
// The input ends with one more event, of action "exit", whose output is the exit
// status of "go test".
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of test2json output, or the exit status at its end.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: cigate KNOWN-RED-FILE")
		os.Exit(2)
	}
	known, err := readKnownRed(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	g := &gate{knownRed: known, out: os.Stdout, output: map[string][]string{}}
	if err := g.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(g.finish())
}

// readKnownRed reads the file of known failures. It maps each key, the part before
// the first bar, to its whole line.
func readKnownRed(name string) (map[string]string, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	known := map[string]string{}
	for _, line := range strings.Split(string(data), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, _, _ := strings.Cut(line, "|")
		known[strings.TrimSpace(key)] = line
	}
	return known, nil
}

// gate collects test results and determines the exit code.
type gate struct {
	knownRed       map[string]string // by the part of an entry before the first bar
	out            io.Writer
	output         map[string][]string // by "package TestName"
	passed, failed int
	knownRedFailed int             // known failures seen
	knownRedIn     map[string]bool // packages with a known failure
	exitStatus     string          // of "go test"; empty if its output was cut short
	failedPackages []string
	testFailedIn   map[string]bool // packages with a failed test
}

func (g *gate) read(r io.Reader) error {
	g.knownRedIn = map[string]bool{}
	g.testFailedIn = map[string]bool{}
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<24)
	for in.Scan() {
		var e event
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			fmt.Fprintln(g.out, in.Text())
			continue
		}
		g.record(e)
	}
	return in.Err()
}

func (g *gate) record(e event) {
	key := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		g.output[key] = append(g.output[key], e.Output)
	case "exit":
		g.exitStatus = e.Output
	case "pass":
		g.recordPass(e, key)
	case "fail":
		g.recordFail(e, key)
	}
}

func (g *gate) recordPass(e event, key string) {
	if e.Test == "" {
		fmt.Fprintf(g.out, "ok  \t%s\n", e.Package)
		return
	}
	g.passed++
	if _, ok := g.knownRed[key]; ok {
		fmt.Fprintf(g.out, "KNOWN-RED test passes now: %s\n", key)
	}
}

func (g *gate) recordFail(e event, key string) {
	if e.Test == "" {
		g.failedPackages = append(g.failedPackages, e.Package)
		return
	}
	g.testFailedIn[e.Package] = true
	if lines, ok := g.knownRedLines(key); ok {
		g.knownRedFailed += len(lines)
		g.knownRedIn[e.Package] = true
		for _, line := range lines {
			fmt.Fprintf(g.out, "KNOWN-RED %s\n", line)
		}
		return
	}
	g.failed++
	fmt.Fprintf(g.out, "FAIL %s\n%s", key, strings.Join(g.output[key], ""))
}

// finish prints the totals and returns the exit code. A package that failed
// without a failing test of its own did not build or crashed: it counts as a
// failure. So does one with a known failure that printed more than that a test
// failed, and an exit status that no failed test accounts for. Output that
// belongs to no package, such as that of a failed build, is printed if anything
// failed.
func (g *gate) finish() int {
	for _, p := range g.failedPackages {
		if !g.testFailedIn[p] || g.knownRedIn[p] && !g.endedPlainly(p) {
			g.failed++
			fmt.Fprintf(g.out, "FAIL %s\n%s", p, strings.Join(g.output[p+" "], ""))
		}
	}
	explained := g.exitStatus == "0" || g.exitStatus == "1" && g.failed+g.knownRedFailed > 0
	if !explained && g.failed == 0 {
		g.failed++
		fmt.Fprintf(g.out, "FAIL go test ended with exit status %q\n", g.exitStatus)
	}
	for key, lines := range g.output {
		if strings.HasPrefix(key, " ") && g.failed > 0 {
			fmt.Fprint(g.out, strings.Join(lines, ""))
		}
	}
	fmt.Fprintf(g.out, "known red: %d\n", g.knownRedFailed)
	fmt.Fprintf(g.out, "%d passed, %d failed\n", g.passed, g.failed)
	if g.failed > 0 || g.passed == 0 {
		return 1
	}
	return 0
}
