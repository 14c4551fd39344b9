package intake

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

var _ = Describe("the sessions of a host", func() {
	It("leave room for further customers beside crowds of two", func() {
		s := NewSessions[int](120)
		next := 0
		join := func(customer string) bool {
			next++
			_, accepted := s.Add(next)
			if accepted && s.Assign(next, customer) {
				return true
			}
			s.Remove(next)
			return false
		}
		for range 300 {
			join("crowd-1")
			join("crowd-2")
		}
		Expect(join("ordinary")).To(BeTrue())
		Expect(join("another")).To(BeTrue())
	})

	It("close the oldest that has not logged in, not one that has", func() {
		s := NewSessions[int](4)
		s.Add(1)
		Expect(s.Assign(1, "ordinary")).To(BeTrue())
		s.Add(2)
		s.Add(3)
		closed, accepted := s.Add(4)
		Expect([]any{closed, accepted}).To(Equal([]any{2, true}))
		Expect(s.Assign(2, "late")).To(BeFalse())
		Expect(s.Assign(4, "ordinary")).To(BeTrue())
	})

	It("are refused when all have logged in", func() {
		s := NewSessions[int](2)
		for k, customer := range []string{1: "a", 2: "b"} {
			if customer != "" {
				s.Add(k)
				Expect(s.Assign(k, customer)).To(BeTrue())
			}
		}
		_, accepted := s.Add(3)
		Expect(accepted).To(BeFalse())
	})
})

var _ = Describe("memory for callers' messages", func() {
	var m *Memory
	BeforeEach(func() {
		m = NewMemory(MinMemory)
		m.wait = time.Millisecond
	})

	It("is given to two of the largest messages, and to the next one when one of them has been served", func() {
		a, b, c := m.Account(), m.Account(), m.Account()
		Expect(a.HoldMessage(maxBytes)).To(Succeed())
		Expect(b.HoldMessage(maxBytes)).To(Succeed())
		Expect(c.HoldMessage(maxBytes)).To(MatchError(ErrNoMemory))
		Expect(a.HoldMessage(0)).To(Succeed())
		Expect(c.HoldMessage(maxBytes)).To(Succeed())
	})

	It("is never needed for a small message or little state", func() {
		a, b := m.Account(), m.Account()
		Expect(a.HoldMessage(2 * maxBytes)).To(Succeed())
		Expect(b.HoldMessage(FreeBytes)).To(Succeed())
		Expect(b.HoldState(FreeBytes)).To(Succeed())
		Expect(b.HoldState(FreeBytes + 1)).To(MatchError(ErrNoMemory))
	})

	It("is given back when a connection ends", func() {
		a, b := m.Account(), m.Account()
		Expect(a.HoldMessage(maxBytes)).To(Succeed())
		Expect(a.HoldState(maxBytes)).To(Succeed())
		a.Close()
		a.Close()
		Expect(b.HoldMessage(2 * maxBytes)).To(Succeed())
	})

	It("is given back when a connection ends while it waits for more", func() {
		m.wait = time.Second
		a, b := m.Account(), m.Account()
		Expect(a.HoldMessage(2 * maxBytes)).To(Succeed())
		waited := make(chan error)
		go func() { waited <- b.HoldMessage(maxBytes) }()
		Consistently(waited, 50*time.Millisecond).ShouldNot(Receive())
		b.Close()
		a.Close()
		Eventually(waited).Should(Receive(MatchError(ErrNoMemory)))
		Expect(a.memory.budget.TryAcquire(m.size)).To(BeTrue(), "all memory is free")
	})

	It("is there for a message of the largest size beside a crowd that fills its session state and stays idle", func() {
		for range 20 {
			_ = m.Account().HoldState(maxBytes) // the crowd's later ones are refused
		}
		Expect(m.Account().HoldMessage(maxBytes)).To(Succeed())
	})

	It("lets messages that arrive in pieces at once end, one after another", func() {
		const crowd = 64
		m.wait = time.Second
		var served atomic.Int32
		var done sync.WaitGroup
		for range crowd {
			done.Go(func() {
				a := m.Account()
				defer a.Close()
				if a.HoldMessage(FreeBytes+1) != nil {
					return
				}
				time.Sleep(10 * time.Millisecond) // until the next piece
				if a.HoldMessage(maxBytes) == nil {
					served.Add(1)
				}
			})
		}
		done.Wait()
		Expect(served.Load()).To(BeNumerically(">=", crowd/2))
	})
})
