package asyncwriter_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/asyncwriter"
)

func TestAsyncwriter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "internal/asyncwriter")
}

var _ = Describe("a log whose reader may be slow", func() {
	It("writes all lines in order before it closes", func() {
		var out bytes.Buffer
		w := asyncwriter.New(&out)
		for i := range 500 {
			fmt.Fprintf(w, "%d\n", i)
		}
		w.Close()
		Expect(strings.Count(out.String(), "\n")).To(Equal(500))
		Expect(out.String()).To(HavePrefix("0\n1\n2\n"))
	})

	It("never makes its author wait, drops lines and says how many", func() {
		reader, writer := io.Pipe() // nobody reads yet
		w := asyncwriter.New(writer)
		began := time.Now()
		for i := range 20000 {
			fmt.Fprintf(w, "%d\n", i)
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(w.Dropped()).To(BeNumerically(">", 18000))
		seen := make(chan string, 1)
		go func() {
			buf := make([]byte, 64<<10)
			var all strings.Builder
			for !strings.Contains(all.String(), "dropped") {
				n, err := reader.Read(buf)
				if err != nil {
					break
				}
				all.Write(buf[:n])
			}
			seen <- all.String()
			io.Copy(io.Discard, reader)
		}()
		Eventually(seen, "2s").Should(Receive(ContainSubstring("Log lines were dropped.")))
		w.Close()
	})

	It("closes although its reader is stuck", func() {
		_, writer := io.Pipe()
		w := asyncwriter.New(writer)
		for range 5000 {
			fmt.Fprintln(w, "x")
		}
		began := time.Now()
		w.Close()
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})
})
