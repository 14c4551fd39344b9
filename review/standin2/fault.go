package main

import (
	"fmt"
	"strings"
)

// A fault: on a tenth of the machines, two at least, processes end by themselves three times.
const (
	faultMachines = 2
	faultEnds     = 3
)

// hasFault reports whether processes ended by themselves as often as the rule counts.
func (s *site) hasFault() bool {
	n := 0
	for _, h := range s.hosts {
		if h.endsByItself() >= faultEnds {
			n++
		}
	}
	return n >= faultMachines
}

func (s *site) memoryText() string {
	var out []string
	for _, h := range s.hosts {
		mb := 0
		h.mu.Lock()
		if h.cmd != nil {
			mb = residentMB(h.cmd.Process.Pid)
		}
		h.mu.Unlock()
		out = append(out, fmt.Sprintf("%s %d MB", h.name, mb))
	}
	return strings.Join(out, ", ")
}

func (h *host) peak() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peakMB
}

// logEnds records how often each host's processes ended by themselves.
func (s *site) logEnds() {
	for _, h := range s.hosts {
		s.rec.logf("%s: processes that ended by themselves or exceeded the memory: %d, peak memory %d MB", h.name, h.endsByItself(), h.peak())
	}
}
