package fair

import "time"

// customer is the scheduling state of one customer at this database.
type customer struct {
	id        string
	weight    int
	urgent    []Item
	plain     []Item
	running   int
	deficit   time.Duration // slot time that it may still use before its next turn; negative when overdrawn
	credit    credit
	service   mean
	idleSince time.Time // since when nothing waits or runs
}

// credit is a customer's balance of slot time. It accrues at the share of the
// slots that the customer's weight gives and is debited by use; while it is
// positive, the customer is within its share.
type credit struct {
	value time.Duration
	at    time.Time // time of the last accrual
}

// Bounds of a credit, as the time in which the customer's share accrues it.
const (
	maxCredit = time.Second
	maxDebt   = time.Second
)

// accrue adds the slot time that a share, in slots, has accrued since the last
// call.
func (c *credit) accrue(share float64, now time.Time) {
	c.value += scale(now.Sub(c.at), share)
	c.at = now
	c.value = max(min(c.value, scale(maxCredit, share)), scale(-maxDebt, share))
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

func (c *customer) waiting() int { return len(c.urgent) + len(c.plain) }

// pop removes and returns the next request whose deadline has not passed,
// urgent ones first; ok is false when there is none. Expired requests are left
// for Expire.
func (c *customer) pop(now time.Time) (Item, bool) {
	for _, list := range []*[]Item{&c.urgent, &c.plain} {
		for i, item := range *list {
			if now.Before(item.Deadline) {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return item, true
			}
		}
	}
	return Item{}, false
}

// hasUnexpired reports whether a waiting request is still before its deadline.
func (c *customer) hasUnexpired(now time.Time) bool {
	for _, list := range [][]Item{c.urgent, c.plain} {
		for _, item := range list {
			if now.Before(item.Deadline) {
				return true
			}
		}
	}
	return false
}

func (c *customer) remove(id uint64) bool {
	for _, list := range []*[]Item{&c.urgent, &c.plain} {
		for i, item := range *list {
			if item.ID == id {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return true
			}
		}
	}
	return false
}

func (c *customer) expire(now time.Time) []uint64 {
	var out []uint64
	for _, list := range []*[]Item{&c.urgent, &c.plain} {
		kept := (*list)[:0]
		for _, item := range *list {
			if now.Before(item.Deadline) {
				kept = append(kept, item)
				continue
			}
			out = append(out, item.ID)
		}
		*list = kept
	}
	return out
}

// mean is an exponentially weighted mean of durations.
type mean struct {
	value time.Duration
	known bool
}

// meanDivisor sets the weight of a new value in the mean: one over meanDivisor.
const meanDivisor = 16

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += (d - m.value) / meanDivisor
}
