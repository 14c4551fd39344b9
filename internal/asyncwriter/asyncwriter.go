// Package asyncwriter writes lines without ever making their author wait.
package asyncwriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxLines bounds the lines that wait for a slow reader: 256 KB of usual ones.
const maxLines = 1024

// Writer passes lines on to another writer in the background. Lines that find
// the queue full are dropped and counted; a line says so later.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// New returns a Writer in front of out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write takes one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since it was last reported.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			line = append(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"part\":\"log\",\"lines\":%d}\n", n), line...)
		}
		// There is no place left to report that the log itself cannot be written.
		_, _ = out.Write(line)
	}
}

// closeLimit bounds the time for a reader to take the last lines.
const closeLimit = 200 * time.Millisecond

// Close writes what waits, unless the reader is stuck. Lines written later are
// dropped.
func (w *Writer) Close() {
	limit, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	w.once.Do(func() {
		select {
		case w.lines <- nil:
		case <-limit.Done():
		}
	})
	select {
	case <-w.done:
	case <-limit.Done():
	}
}
