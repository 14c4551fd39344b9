package fleet

import (
	"fmt"
	"time"

	"github.com/bronzeloft/bronzeloft/datacentre"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// TableResult is the cost of one member table of a given size.
type TableResult struct {
	Members        int     `json:"members"`
	BytesPerMember float64 `json:"bytesPerMember"`
	TickSeconds    float64 `json:"tickSeconds"` // mean time of all ticks of one digest interval
	RankSeconds    float64 `json:"rankSeconds"` // mean time of one call of Rank
	Peers          int     `json:"peers"`       // that the table chose
}

// MeasureTable measures a member table of the given number of hosts, all alive, in
// the given number of data centres.
func MeasureTable(members, centres int) TableResult {
	list := make([]objectapi.HostState, members)
	for i := range list {
		list[i] = objectapi.HostState{
			Address:    fmt.Sprintf("10.%d.%d.%d:7000", i%centres, i/250, i%250),
			DataCentre: fmt.Sprintf("dc%d", i%centres),
		}
	}
	before := memoryInUse()
	table := datacentre.New(datacentre.Config{Self: list[0].Address, DataCentre: "dc0", BootID: "boot"})
	now := time.Now()
	table.ObserveList(list, now)
	for i, host := range list[1:] {
		table.ObserveHello(host.Address, host.DataCentre, fmt.Sprint("boot-", i), now)
	}
	after := memoryInUse()
	used := after - min(before, after)
	const iterations = 20
	began := time.Now()
	for range iterations {
		now = now.Add(datacentre.DefaultDigestEvery / 5)
		table.Tick(now)
	}
	result := TableResult{
		Members:        members,
		BytesPerMember: float64(used) / float64(members),
		TickSeconds:    time.Since(began).Seconds() / (iterations / 5),
		Peers:          len(table.Peers(now)),
	}
	began = time.Now()
	for i := range iterations {
		table.Rank(fmt.Sprint("group-", i), nil, now)
	}
	result.RankSeconds = time.Since(began).Seconds() / iterations
	return result
}
