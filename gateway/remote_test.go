package gateway

import (
	"bufio"
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a statement that another host runs", func() {
	const timeout = 200 * time.Millisecond

	// runOn runs a write on a home that answers some time after it got the
	// statement, or not at all.
	runOn := func(result *accesspb.Result, after time.Duration) (statement.Answer, error) {
		g := newTestGateway(newFakePlatform(newGroup("a")))
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		go func() {
			r := bufio.NewReader(far)
			if err := readMessage(r, &accesspb.Job{}); err != nil || result == nil {
				return
			}
			time.Sleep(after)
			_ = writeMessage(far, result) // the other side may have gone
		}()
		r := &remote{g: g, home: home{name: "home", access: "x"}, stream: &stream{Conn: near, r: bufio.NewReader(near), home: "x"}}
		op := &operation{Request: request(statement.Write), svc: g.service(testService), arrived: time.Now(), deadline: time.Now().Add(timeout)}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return r.run(ctx, op)
	}

	It("is not run where its home says so as its time ends", func() {
		refusal := &accesspb.Result{Failed: true, ErrorKind: uint32(errkind.DeadlineNotRun)}
		_, err := runOn(refusal, timeout+10*time.Millisecond)
		Expect(errkind.Of(err)).To(Equal(errkind.DeadlineNotRun))
	})

	It("gets an answer that is ready a moment late", func() {
		a, err := runOn(&accesspb.Result{Signature: "signed", Rows: []string{"row"}}, timeout+10*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Rows).To(Equal([]string{"row"}))
	})

	It("has an unknown outcome where its home does not answer", func() {
		asked := time.Now()
		_, err := runOn(nil, 0)
		Expect(errkind.Of(err)).To(Equal(errkind.OutcomeUnknown))
		Expect(lost(err)).To(BeTrue())
		Expect(time.Since(asked)).To(BeNumerically("~", timeout+resultSlack, 80*time.Millisecond))
	})
})
