package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

// scriptedCaller is a caller that sends the requests that the test passes to it.
type scriptedCaller struct {
	requests chan statement.Request
	answers  chan statement.Answer

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
	closed   chan struct{}
	once     sync.Once
}

func newScriptedCaller() *scriptedCaller {
	return &scriptedCaller{requests: make(chan statement.Request), answers: make(chan statement.Answer, 10),
		changed: make(chan struct{}), closed: make(chan struct{})}
}

func (c *scriptedCaller) Startup() (route, key string, err error) { return "current", testKey, nil }
func (c *scriptedCaller) Welcome() error                          { return nil }
func (c *scriptedCaller) Buffered() bool                          { return false }

func (c *scriptedCaller) Answer(a statement.Answer) error {
	c.answers <- a
	return nil
}

func (c *scriptedCaller) Reject(*errkind.Error) error { return nil }

func (c *scriptedCaller) SetReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
}

// errReadTimeout is a timeout error like those of network connections.
type errReadTimeout struct{ error }

func (errReadTimeout) Timeout() bool   { return true }
func (errReadTimeout) Temporary() bool { return true }

func (c *scriptedCaller) Receive() (statement.Request, error) {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.changed
		c.mu.Unlock()
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			timeout = time.After(time.Until(deadline))
		}
		select {
		case r := <-c.requests:
			return r, nil
		case <-timeout:
			return statement.Request{}, errReadTimeout{errors.New("i/o timeout")}
		case <-changed:
		case <-c.closed:
			return statement.Request{}, net.ErrClosed
		}
	}
}

func (c *scriptedCaller) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

var _ = Describe("draining a host", func() {
	const grace = 4 * time.Second // half of it is shorter than rotationDelay

	var (
		dbs *group
		g   *Gateway
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		g = newTestGateway(newFakePlatform(dbs))
		g.started = g.started.Add(-peerDiscoveryTimeout)
		g.opt.Grace = grace
	})

	connect := func() *scriptedCaller {
		c := newScriptedCaller()
		s := newSession(g, c)
		_, accepted := g.callers.add(s)
		Expect(accepted).To(BeTrue())
		go s.run()
		return c
	}
	send := func(c *scriptedCaller, kind statement.Kind) statement.Answer {
		GinkgoHelper()
		Eventually(c.requests).WithTimeout(2 * time.Second).Should(BeSent(request(kind)))
		var a statement.Answer
		Eventually(c.answers).WithTimeout(2 * time.Second).Should(Receive(&a))
		return a
	}
	drain := func() chan time.Duration {
		took := make(chan time.Duration, 1)
		clock := g.drainClock
		started := clock.now()
		go func() {
			g.Drain(context.Background())
			took <- clock.now().Sub(started)
		}()
		Eventually(g.leaving.Load).Should(BeTrue())
		return took
	}

	// sumOfWaits returns a clock that each wait moves on by its own length, however late
	// a busy machine ends it: a timer of 2.3 s was seen to end after 3.6 s.
	sumOfWaits := func() clock {
		var elapsed atomic.Int64
		start := time.Now()
		return clock{
			now: func() time.Time { return start.Add(time.Duration(elapsed.Load())) },
			wait: func(ctx context.Context, d time.Duration) bool {
				defer elapsed.Add(int64(d))
				return retry.Wait(ctx, d)
			},
		}
	}

	It("reports not ready, serves its callers until the platform sends no new ones, and then closes idle sessions", func() {
		g.drainClock = sumOfWaits()
		c := connect()
		Expect(send(c, statement.Write).Err).NotTo(HaveOccurred())
		took := drain()
		Expect(g.Ready()).To(BeFalse())
		Expect(send(c, statement.Write).Err).NotTo(HaveOccurred())
		Consistently(c.closed).WithTimeout(rotationDelay - 500*time.Millisecond).ShouldNot(BeClosed())
		Eventually(took).WithTimeout(grace - rotationDelay + 500*time.Millisecond).Should(Receive(BeNumerically("~", rotationDelay, 500*time.Millisecond)))
		Expect(c.closed).To(BeClosed())
	})

	It("answers a statement in flight before it closes the session", func() {
		hold := make(chan struct{})
		dbs.withLock(func() { dbs.databases["a"].holdReads = hold })
		c := connect()
		took := drain()
		time.Sleep(rotationDelay - 200*time.Millisecond)
		c.requests <- request(statement.Read)
		time.Sleep(500 * time.Millisecond)
		close(hold)
		var a statement.Answer
		Eventually(c.answers).WithTimeout(time.Second).Should(Receive(&a))
		Expect(a.Err).NotTo(HaveOccurred())
		Eventually(took).WithTimeout(grace).Should(Receive())
	})

	It("rolls back a transaction that is idle after half of the grace period", func() {
		c := connect()
		Expect(send(c, statement.Begin).Err).NotTo(HaveOccurred())
		Expect(send(c, statement.Write).Err).NotTo(HaveOccurred())
		took := drain()
		a := send(c, statement.Write)
		Expect(a.Err).NotTo(HaveOccurred())
		time.Sleep(rotationDelay + 300*time.Millisecond)
		a = send(c, statement.Commit)
		Expect(a.Err).To(HaveOccurred())
		Expect(a.Err.Kind.Answer().Outcome).To(Equal(errkind.NotRun))
		dbs.withLock(func() { Expect(dbs.ran).To(BeEmpty()) })
		Eventually(took).WithTimeout(grace).Should(Receive())
	})

	holdReads := func() chan struct{} {
		hold := make(chan struct{})
		dbs.withLock(func() { dbs.databases["a"].holdReads = hold })
		return hold
	}

	// Guards against requests without an answer at a planned stop (LOST): a transaction
	// that ran a statement at half of the grace period was never ended.
	It("ends a transaction after the statement that it runs at half of the grace period", func() {
		c := connect()
		Expect(send(c, statement.Begin).Err).NotTo(HaveOccurred())
		Expect(send(c, statement.Write).Err).NotTo(HaveOccurred())
		took := drain()
		time.Sleep(rotationDelay - 200*time.Millisecond)
		hold := holdReads()
		c.requests <- request(statement.Read)
		time.Sleep(500 * time.Millisecond) // past half of the grace period
		close(hold)
		var a statement.Answer
		Eventually(c.answers).Should(Receive(&a))
		Expect(a.Err).NotTo(HaveOccurred())
		for _, p := range g.service(testService).allPools() {
			Eventually(p.inUse).WithTimeout(300*time.Millisecond).Should(BeZero(), "the transaction holds no connection")
		}
		a = send(c, statement.Write)
		Expect(a.Err.Kind).To(Equal(errkind.TransactionAborted))
		Expect(send(c, statement.Rollback).Err).NotTo(HaveOccurred())
		Eventually(took).WithTimeout(grace).Should(Receive(BeNumerically("<", grace-exitMargin)))
	})

	It("ends a transaction that has run no statement at half of the grace period", func() {
		c := connect()
		Expect(send(c, statement.Begin).Err).NotTo(HaveOccurred())
		took := drain()
		time.Sleep(rotationDelay + 200*time.Millisecond)
		Expect(send(c, statement.Write).Err.Kind).To(Equal(errkind.TransactionAborted))
		Expect(send(c, statement.Rollback).Err).NotTo(HaveOccurred())
		Eventually(took).WithTimeout(grace).Should(Receive())
	})

	// Guards against requests without an answer at a planned stop (LOST): statements in
	// flight at the end of the grace period were cut off together with their sessions.
	It("answers a statement that still runs at the end of the grace period before it closes the session", func() {
		hold := holdReads()
		defer close(hold)
		g.updateRoute("current", func(r *routes.Route) { r.Timeout = 2 * grace })
		c := connect()
		took := drain()
		time.Sleep(rotationDelay - 200*time.Millisecond)
		c.requests <- request(statement.Read)
		Eventually(took).WithTimeout(grace).Should(Receive(BeNumerically("<", grace)))
		g.Close()
		var a statement.Answer
		Expect(c.answers).To(Receive(&a))
		Expect(a.Err).To(HaveOccurred())
		Expect(c.closed).To(BeClosed())
	})
})
