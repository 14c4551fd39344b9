// Package asyncwriter writes log lines in the background, so that a slow output
// never blocks the code that logs.
package asyncwriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxLines bounds the queue for a slow output: 256 KB of lines of usual length.
const maxLines = 1024

// Writer forwards lines to another writer in the background. Lines that arrive
// while the queue is full are dropped; a later line reports their number.
type Writer struct {
	lines   chan []byte   // queue; nil marks its end
	dropped atomic.Uint64 // lines dropped since their number was last written
	done    chan struct{} // closed when run returns
	once    sync.Once
}

// New returns a Writer in front of out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of one line; it never blocks and never returns an error. The
// line must not be empty: an empty one ends the output as Close does.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that the output has not reported
// yet.
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
		// A failure to write the log cannot be reported anywhere else.
		_, _ = out.Write(line)
	}
}

// closeTimeout bounds the time that Close waits for the output.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, but returns after closeTimeout if the output
// blocks. Lines written later are lost, and Dropped does not count all of them.
func (w *Writer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	w.once.Do(func() {
		select {
		case w.lines <- nil:
		case <-ctx.Done():
		}
	})
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
