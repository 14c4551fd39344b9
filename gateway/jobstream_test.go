package gateway

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/customer/intake"
	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("a statement or transaction on its home host", func() {
	var (
		dbs    *group
		g      *Gateway // the home host, and the host that sends to it
		sender *remote
	)

	BeforeEach(func() {
		dbs = newGroup("a", "b", "c")
		g = newTestGateway(newFakePlatform(dbs))
		localEnd, homeEnd := net.Pipe()
		go g.serveJobs(peer.Info{}, nil, homeEnd)
		DeferCleanup(localEnd.Close)
		g.streams.put(&stream{Conn: localEnd, r: bufio.NewReader(localEnd), access: "home"})
		sender = &remote{g: g, home: homeCandidate{name: "home", access: "home"}}
	})

	inTransaction := func(kind statement.Kind) *operation {
		now := time.Now()
		return &operation{
			Request: request(kind), svc: g.service(testService), customer: testCustomer, route: g.config.Load().Routes["own"],
			arrived: now, deadline: now.Add(time.Second), began: now, inTransaction: true,
		}
	}
	send := func(op *operation) error {
		_, err := sender.run(context.Background(), op)
		return err
	}
	setStalled := func(at time.Time) {
		g.stalls.mu.Lock()
		g.stalls.lastStallEnd = at
		g.stalls.mu.Unlock()
	}
	committed := func() (out [][]string) {
		dbs.withLock(func() { out = dbs.committed })
		return out
	}

	// Guards against a statement that runs in another caller's transaction (PINNED): a
	// refused statement left the transaction open on a stream that was used again.
	It("ends when one of its statements is refused after a stall", func() {
		Expect(send(inTransaction(statement.Write))).To(Succeed())
		setStalled(time.Now())
		Expect(errkind.Of(send(inTransaction(statement.Write)))).To(Equal(errkind.DatabaseUnavailable))
		setStalled(time.Time{})
		Expect(g.streams.idle["home"]).To(HaveLen(1), "the next transaction uses the same stream")

		next := inTransaction(statement.Write)
		Expect(send(next)).To(Succeed())
		Expect(send(inTransaction(statement.Commit))).To(Succeed())
		Expect(committed()).To(Equal([][]string{{next.ID}}))
	})

	It("accepts no further statement after one of them was refused", func() {
		Expect(send(inTransaction(statement.Write))).To(Succeed())
		used := sender.pinned
		setStalled(time.Now())
		Expect(send(inTransaction(statement.Write))).NotTo(Succeed())
		setStalled(time.Time{})
		commit := inTransaction(statement.Commit).job(time.Now(), used.transactions)
		Expect(writeMessage(used, commit)).To(Succeed())
		var result accesspb.Result
		Expect(readMessage(used.r, &result)).To(Succeed())
		Expect(errkind.Kind(result.ErrorKind)).To(Equal(errkind.TransactionAborted))
		Expect(committed()).To(BeEmpty())
	})

	It("ends when the stream carries a statement of another transaction or of none", func() {
		Expect(send(inTransaction(statement.Write))).To(Succeed())
		sender.pinned.transactions++
		next := inTransaction(statement.Write)
		Expect(send(next)).To(Succeed())
		Expect(send(inTransaction(statement.Commit))).To(Succeed())
		Expect(committed()).To(Equal([][]string{{next.ID}}))

		Expect(send(inTransaction(statement.Write))).To(Succeed())
		single := inTransaction(statement.Write)
		single.inTransaction = false
		g.streams.put(sender.pinned) // as a sending host that takes the transaction to have ended
		sender.pinned = nil
		Expect(send(single)).To(Succeed())
		Expect(committed()).To(HaveLen(1))
		for _, p := range g.service(testService).allPools() {
			Eventually(p.inUse).Should(BeZero(), "connections of the abandoned transaction")
		}
	})

	It("holds no memory for a sender that falls silent in the middle of it", func() {
		sending, receiving := net.Pipe()
		DeferCleanup(sending.Close)
		go g.serveJobs(peer.Info{}, nil, receiving)
		_, err := sending.Write(binary.AppendUvarint(nil, 2<<20)) // its size, and nothing of it
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond) // until the memory is reserved for it
		Expect(g.memory.Account().HoldMessage(1 << 20)).To(Succeed())
	})

	// Guards against a write that runs after its sender has reported its outcome as unknown:
	// the time for which it waited for memory was not part of its deadline.
	It("does not run when it got memory only after its deadline", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		sending, err := net.Dial("tcp", l.Addr().String()) // unlike a pipe, it holds what has not been read
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sending.Close)
		receiving, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		go g.serveJobs(peer.Info{}, nil, receiving)

		go g.watchStalls() // or the pause would count as a stall
		others := g.memory.Account()
		Expect(others.HoldMessage(intake.MinMemory)).To(Succeed())
		late := inTransaction(statement.Write)
		late.inTransaction, late.Args = false, strings.Repeat("x", 20<<10)
		late.deadline = time.Now().Add(200 * time.Millisecond)
		Expect(writeMessage(sending, late.job(time.Now(), 0))).To(Succeed())
		time.AfterFunc(400*time.Millisecond, others.Close)
		var result accesspb.Result
		Expect(readMessage(bufio.NewReader(sending), &result)).To(Succeed())
		Expect(errkind.Kind(result.ErrorKind)).To(Equal(errkind.DeadlineNotRun), result.Detail)
		Expect(committed()).To(BeEmpty())
	})

	// Guards against a crash of the process, and against answers that reach another
	// statement: a read was run a second time on the only known host while the first run
	// was in progress, and both used one stream.
	It("is run beside another statement by the same runner, each on its own stream", func() {
		localEnd, homeEnd := net.Pipe()
		go g.serveJobs(peer.Info{}, nil, homeEnd)
		DeferCleanup(localEnd.Close)
		g.streams.put(&stream{Conn: localEnd, r: bufio.NewReader(localEnd), access: "home"})
		hold := make(chan struct{})
		dbs.withLock(func() {
			for _, db := range dbs.databases {
				db.holdReads = hold
			}
		})
		results := make(chan error, 2)
		for range 2 {
			op := inTransaction(statement.Read)
			op.inTransaction = false
			go func() { results <- send(op) }()
		}
		time.Sleep(50 * time.Millisecond)
		close(hold)
		Eventually(results).Should(Receive(BeNil()))
		Eventually(results).Should(Receive(BeNil()))
		Expect(g.streams.idle["home"]).To(HaveLen(2))
	})
})
