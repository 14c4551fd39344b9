package fair

import "time"

// customer is one customer's requests at this database.
type customer struct {
	id      string
	weight  int
	urgent  []Item
	plain   []Item
	running int
	deficit time.Duration // slot time that it may use before its next turn
	credit  credit
	service mean
	idle    time.Time // since when it has nothing waiting or running
}

// credit is the slot time that a customer may use within its share. It accrues
// at the share of the slots that the weight gives.
type credit struct {
	value time.Duration
	at    time.Time
}

// Bounds of a credit, as time at the customer's share.
const (
	maxCredit = time.Second
	maxDebt   = time.Second
)

// accrue adds what a share, in slots, has brought since the last call.
func (c *credit) accrue(share float64, now time.Time) {
	c.value += scale(now.Sub(c.at), share)
	c.at = now
	c.value = max(min(c.value, scale(maxCredit, share)), scale(-maxDebt, share))
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

func (c *customer) waiting() int { return len(c.urgent) + len(c.plain) }

// pop removes and returns the next request that still has time; ok is false
// when there is none. Requests past their deadline stay for Expire.
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

// live reports whether a request waits that still has time.
func (c *customer) live(now time.Time) bool {
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

// meanParts is the share, one over meanParts, of a new value in the mean.
const meanParts = 16

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += (d - m.value) / meanParts
}
