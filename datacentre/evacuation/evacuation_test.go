package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/datacentre/evacuation"
)

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "datacentre/evacuation")
}

var _ = Describe("the requests to evacuate data centres", func() {
	const limit = 5 * time.Second
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	put := func(dc string) []evacuation.Change { return []evacuation.Change{{DataCentre: dc}} }

	var t *evacuation.Table
	BeforeEach(func() { t = evacuation.New(limit) })

	It("keep their time when the store returns from a copy that lacks them and they are written again", func() {
		t.Replace(5, nil)
		t.Confirm(at(0))
		t.Apply(5, 6, put("b"))
		t.StoreReturned()
		t.Replace(100, nil)
		t.Confirm(at(3))
		t.Apply(100, 101, put("b"))
		Expect(t.Closed("b", at(4))).To(BeTrue())
		t.Apply(101, 102, []evacuation.Change{{DataCentre: "b", Removed: true}})
		t.Confirm(at(6))
		t.Apply(102, 103, put("b"))
		Expect(t.Closed("b", at(7))).To(BeFalse(), "a later request is counted by itself")
	})

	It("count from the last moment at which the host knew that there was none", func() {
		t.Replace(5, nil)
		t.Confirm(at(0))
		t.Confirm(at(2)) // a watch that was sent at 2 s and ended without a change
		_, added, _ := t.Apply(5, 6, put("b"))
		Expect(added).To(ConsistOf("b"))
		t.Confirm(at(4))
		Expect(t.Evacuated("b")).To(BeTrue())
		Expect(t.Closed("b", at(5.9))).To(BeFalse())
		Expect(t.Closed("b", at(6))).To(BeTrue(), "a second before the limit after 2 s")
		Expect(t.Closed("a", at(60))).To(BeFalse())
	})

	It("count from a later answer of the store on other objects that is older than the request", func() {
		t.Replace(5, nil)
		t.Confirm(at(0))
		t.RecordAnswer(7, at(2))
		t.RecordAnswer(9, at(3))
		t.Apply(5, 9, []evacuation.Change{{DataCentre: "b", Version: 8}, {DataCentre: "b", Version: 9}})
		Expect(t.Closed("b", at(5.9))).To(BeFalse())
		Expect(t.Closed("b", at(6))).To(BeTrue(), "the store had version 7 at 2 s and 9 at 3 s")
		t.Replace(12, []string{"b", "c"})
		Expect(t.Closed("c", at(4))).To(BeTrue(), "the object of a list may have been written again")
	})

	It("are due at once on a host whose first list shows them", func() {
		Expect(t.Known()).To(BeFalse())
		t.Replace(5, []string{"b"})
		Expect(t.Known()).To(BeTrue())
		Expect(t.Closed("b", at(0))).To(BeTrue())
		Expect(t.Ages(at(0))).To(HaveKeyWithValue("b", BeNumerically(">=", limit)))
	})

	It("keep their time when their objects are written again, and when they were away unseen", func() {
		t.Replace(5, nil)
		t.Confirm(at(0))
		t.Apply(5, 6, put("b"))
		t.Confirm(at(3))
		t.Apply(6, 7, put("b"))
		t.Replace(9, []string{"b"})
		Expect(t.Closed("b", at(4))).To(BeTrue())
	})

	It("end when they are removed, and count anew after that", func() {
		t.Replace(5, nil)
		t.Confirm(at(0))
		t.Apply(5, 6, put("b"))
		t.Confirm(at(8))
		_, _, removed := t.Apply(6, 7, []evacuation.Change{{DataCentre: "b", Removed: true}})
		Expect(removed).To(ConsistOf("b"))
		Expect(t.Evacuated("b")).To(BeFalse())
		t.Confirm(at(9))
		t.Apply(7, 8, put("b"))
		Expect(t.Closed("b", at(12.9))).To(BeFalse())
	})

	It("are learned from another host with its time, unless this host knows better", func() {
		t.Merge(6, map[string]time.Time{"b": at(1)})
		Expect(t.Closed("b", at(4.9))).To(BeFalse())
		Expect(t.Closed("b", at(5))).To(BeTrue())
		t.Replace(7, []string{"b"})
		t.Confirm(at(10))
		t.Merge(8, map[string]time.Time{"b": at(12), "c": at(7)})
		Expect(t.Closed("b", at(12))).To(BeTrue())
		Expect(t.Closed("c", at(13.9))).To(BeFalse(), "there was none at 10 s")
		Expect(t.Closed("c", at(14))).To(BeTrue())
	})

	It("are not brought back or removed by an older list", func() {
		t.Merge(9, map[string]time.Time{"b": at(1)})
		t.Merge(8, nil)
		t.Replace(7, nil)
		v, _, _ := t.Apply(5, 6, []evacuation.Change{{DataCentre: "b", Removed: true}})
		Expect(v).To(BeEquivalentTo(9))
		Expect(t.Evacuated("b")).To(BeTrue())
	})

	It("are bounded in number, and those that stand are kept", func() {
		t.Replace(1, []string{"zone"})
		names := []string{"zone"}
		for i := range 2 * evacuation.MaxCentres {
			names = append(names, fmt.Sprint("odd-", i))
		}
		t.Replace(2, names)
		Expect(t.Evacuated("zone")).To(BeTrue())
		Expect(len(t.Ages(start))).To(BeNumerically("<=", evacuation.MaxCentres+1))
	})
})
