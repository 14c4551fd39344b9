package fair_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/customer/fair"
	"github.com/bronzeloft/bronzeloft/errkind"
)

// scheduler is a Queue or a Classes.
type scheduler interface {
	Enqueue(item fair.Item, now time.Time) fair.Verdict
	Done(id uint64, now time.Time) []uint64
	Expire(now time.Time) []uint64
}

// stream is one customer's requests at even distances.
type stream struct {
	customer string
	urgency  int
	every    time.Duration
	work     time.Duration
	deadline time.Duration // from the arrival
}

// served is what became of a stream's requests.
type served struct {
	waits   []time.Duration // of those that ran
	refused int
	gaveWay int
}

func (s *served) p99() time.Duration {
	if len(s.waits) == 0 {
		return 0
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

// play sends the streams' requests to q for the given time.
func play(q scheduler, streams []stream, length time.Duration) []served {
	out := make([]served, len(streams))
	of, arrived, ends := map[uint64]int{}, map[uint64]time.Time{}, map[uint64]time.Time{}
	next := uint64(0)
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		run := func(ids ...uint64) {
			for _, id := range ids {
				out[of[id]].waits = append(out[of[id]].waits, now.Sub(arrived[id]))
				ends[id] = now.Add(streams[of[id]].work)
			}
		}
		for _, id := range q.Expire(now) {
			out[of[id]].refused++
		}
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
				run(q.Done(id, now)...)
			}
		}
		for i, s := range streams {
			if now.Sub(start)%s.every != 0 {
				continue
			}
			next++
			of[next], arrived[next] = i, now
			v := q.Enqueue(fair.Item{ID: next, Customer: s.customer, Urgency: s.urgency, Deadline: now.Add(s.deadline)}, now)
			switch v.State {
			case fair.Run:
				run(next)
			case fair.Refused:
				out[i].refused++
			}
			for _, id := range v.GaveWay {
				out[of[id]].gaveWay++
			}
		}
	}
	return out
}

var _ = Describe("Classes", func() {
	// Two of a database's slots stand in one data centre. Six customers send long reads, 55 ms each,
	// at 1.6 times what these slots can run; two send short writes of the most urgent class.
	const objective = 200 * time.Millisecond
	burst := func() (streams []stream) {
		for i := range 6 {
			streams = append(streams, stream{fmt.Sprint("reader", i), 2, 102 * time.Millisecond, 55 * time.Millisecond, 8 * time.Second})
		}
		for i := range 2 {
			streams = append(streams, stream{fmt.Sprint("writer", i), 0, 40 * time.Millisecond, 11 * time.Millisecond, 2 * time.Second})
		}
		return streams
	}

	It("serves the most urgent class within its objective in a burst of the least urgent class", func() {
		got := play(fair.NewClasses(fair.Config{Slots: 2, MaxQueued: 64, Classes: 3}), burst(), 20*time.Second)
		for _, writer := range got[6:] {
			Expect(writer.refused).To(BeZero())
			Expect(writer.p99()).To(BeNumerically("<", objective-11*time.Millisecond))
		}
	})

	It("removes a waiting request of the least urgent class for a more urgent one when there is no room", func() {
		q := fair.NewClasses(fair.Config{Slots: 1, MaxQueued: 4, Classes: 3})
		enqueue := func(id uint64, customer string, urgency int) fair.Verdict {
			it := item(id, customer)
			it.Urgency = urgency
			return q.Enqueue(it, start)
		}
		enqueue(1, "a", 2) // holds the slot
		enqueue(2, "a", 2)
		enqueue(3, "a", 2)
		enqueue(4, "b", 2)
		enqueue(5, "c", 1)
		Expect(q.Queued()).To(Equal(4))
		Expect(enqueue(6, "d", 2).Kind).To(Equal(errkind.QueueFull))
		Expect(enqueue(7, "d", 0).GaveWay).To(Equal([]uint64{3}), "the newest of the customer with the most waiting requests")
		Expect(q.Queued()).To(Equal(4))
		Expect(q.Done(1, start.Add(time.Millisecond))).To(Equal([]uint64{7}))
		Expect(q.Done(3, start.Add(time.Millisecond))).To(BeEmpty(), "it never held a slot")
	})

	It("leaves the less urgent classes their floor while the most urgent one exceeds all slots", func() {
		flood := []stream{
			{"flood", 0, 4 * time.Millisecond, 11 * time.Millisecond, 2 * time.Second},
			{"desk", 1, 250 * time.Millisecond, 33 * time.Millisecond, 2 * time.Second},
			{"viewer", 2, 500 * time.Millisecond, 55 * time.Millisecond, 8 * time.Second},
		}
		got := play(fair.NewClasses(fair.Config{Slots: 2, Classes: 3}), flood, 20*time.Second)
		Expect(len(got[1].waits)).To(BeNumerically(">=", 70), "of 80 sent")
		Expect(len(got[2].waits)).To(BeNumerically(">=", 32), "of 40 sent")
	})

	// A report takes so long that the floor grants it a start only after its deadline.
	It("leaves its floor to a class whose requests are all long", func() {
		streams := []stream{
			{"reports", 2, 500 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
			{"flood", 0, 4 * time.Millisecond, 11 * time.Millisecond, 2 * time.Second},
		}
		got := play(fair.NewClasses(fair.Config{Slots: 2, Classes: 3}), streams, 40*time.Second)
		Expect(len(got[0].waits)).To(BeNumerically(">=", 10), "a tenth of the slot time is 16 reports")
		Expect(len(got[0].waits)).To(BeNumerically("<=", 20))
	})

	It("divides a class among its customers, whatever one of them sends", func() {
		streams := []stream{
			{"flood", 0, 2 * time.Millisecond, 11 * time.Millisecond, 2 * time.Second},
			{"usual", 0, 50 * time.Millisecond, 11 * time.Millisecond, 2 * time.Second},
		}
		got := play(fair.NewClasses(fair.Config{Slots: 2, Classes: 3}), streams, 10*time.Second)
		Expect(got[1].refused).To(BeZero())
		Expect(got[1].p99()).To(BeNumerically("<", objective-11*time.Millisecond))
	})

	It("refuses at once what cannot end before its deadline behind the more urgent classes", func() {
		q := fair.NewClasses(fair.Config{Slots: 1, Classes: 3})
		run := func(id uint64) {
			it := item(id, "a")
			it.Urgency = 2
			Expect(q.Enqueue(it, start).State).To(Equal(fair.Run))
			q.Done(id, start.Add(50*time.Millisecond))
		}
		run(1) // the requests of the class take 50 ms
		now := start.Add(50 * time.Millisecond)
		enqueue := func(id uint64, urgency int, left time.Duration) fair.Verdict {
			return q.Enqueue(fair.Item{ID: id, Customer: "a", Urgency: urgency, Deadline: now.Add(left)}, now)
		}
		Expect(enqueue(2, 2, 0)).To(Equal(fair.Verdict{State: fair.Refused, Kind: errkind.DeadlineNotRun}))
		Expect(enqueue(3, 2, time.Second).State).To(Equal(fair.Run))
		refused := enqueue(4, 2, 90*time.Millisecond)
		Expect(refused.Kind).To(Equal(errkind.QueueFull))
		Expect(refused.Wait).To(BeNumerically(">=", 50*time.Millisecond))
		Expect(enqueue(5, 2, 120*time.Millisecond).State).To(Equal(fair.Queued))
		Expect(q.Expire(now.Add(60 * time.Millisecond))).To(BeEmpty())
		Expect(q.Expire(now.Add(75*time.Millisecond))).To(Equal([]uint64{5}), "45 ms are left and it takes 50 ms")
	})

	// A database answers nothing for a while, and then as before.
	It("serves requests again after some that took their whole time", func() {
		q := fair.NewClasses(fair.Config{Slots: 2, Classes: 3})
		now := start
		for id := range uint64(60) {
			it := fair.Item{ID: id, Customer: "a", Deadline: now.Add(time.Second)}
			Expect(q.Enqueue(it, now).State).To(Equal(fair.Run))
			took := 11 * time.Millisecond
			if id >= 20 && id < 40 {
				took = 2 * time.Second // past its deadline: only then is the slot known to be free
			}
			now = now.Add(took)
			q.Done(id, now)
		}
	})
})
