package gateway

import (
	"bufio"
	"context"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/statement"
)

// delayedConn delivers an answer at a nominal time. Whether the answer meets the read
// deadline depends on the two times only, not on when the reader gets the processor.
type delayedConn struct {
	net.Conn
	arrival  time.Time
	answers  bool
	deadline time.Time // guarded by the order of calls: set before Read
}

func (c *delayedConn) SetDeadline(t time.Time) error {
	c.deadline = t
	if !c.answers {
		return c.Conn.SetDeadline(t)
	}
	return nil
}

func (c *delayedConn) Read(b []byte) (int, error) {
	if c.answers {
		if c.arrival.After(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Until(c.arrival))
	}
	return c.Conn.Read(b)
}

var _ = Describe("a statement run on its home host", func() {
	const timeout = 200 * time.Millisecond

	// runOn runs a write on a home host that answers with result after a delay, or
	// does not answer if result is nil.
	runOn := func(result *accesspb.Result, after time.Duration) (statement.Answer, error) {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		localEnd, remoteEnd := net.Pipe()
		DeferCleanup(remoteEnd.Close)
		go func() {
			r := bufio.NewReader(remoteEnd)
			if err := readMessage(r, &accesspb.Job{}); err != nil || result == nil {
				return
			}
			_ = writeMessage(remoteEnd, result) // the receiving end may be closed already
		}()
		conn := &delayedConn{Conn: localEnd, arrival: time.Now().Add(after), answers: result != nil}
		g.streams.put(&stream{Conn: conn, r: bufio.NewReader(conn), access: "x"})
		r := &remote{g: g, home: homeCandidate{name: "home", access: "x"}}
		op := &operation{Request: request(statement.Write), svc: g.service(testService), arrived: time.Now(), deadline: time.Now().Add(timeout)}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return r.run(ctx, op)
	}

	It("is reported as not run when its home host reports so just after the deadline", func() {
		refusal := &accesspb.Result{Failed: true, ErrorKind: uint32(errkind.DeadlineNotRun)}
		_, err := runOn(refusal, timeout+10*time.Millisecond)
		Expect(errkind.Of(err)).To(Equal(errkind.DeadlineNotRun))
	})

	It("returns an answer that arrives just after the deadline", func() {
		a, err := runOn(&accesspb.Result{Signature: "signed", Rows: []string{"row"}}, timeout+10*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Rows).To(Equal([]string{"row"}))
	})

	It("has an unknown outcome when its home host does not answer", func() {
		sentAt := time.Now()
		_, err := runOn(nil, 0)
		Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		Expect(isHomeUnavailable(err)).To(BeTrue())
		Expect(time.Since(sentAt)).To(BeNumerically("~", timeout+resultSlack, 80*time.Millisecond))
	})
})
