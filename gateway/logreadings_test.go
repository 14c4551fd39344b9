package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/position"
	"github.com/bronzeloft/bronzeloft/statement"
)

var _ = Describe("log readings", func() {
	at := func(index uint64) statement.Report {
		return statement.Report{Term: 3, Received: position.Position{Term: 3, Index: index}}
	}

	It("describes the logs at the choice, at the call and at the effect, the given one first and then the longest", func() {
		var r logReadings
		r.record(atChoice, "i-3", statement.Report{}, false)
		r.record(atChoice, "i-1", at(1301), true)
		r.record(atCall, "i-1", at(1301), true)
		r.record(atEffect, "i-1", at(1303), true)
		paused := at(1226)
		paused.Paused = 4
		r.record(atChoice, "i-2", paused, true)
		r.record(atEffect, "i-2", at(1226), true)
		r.record(atChoice, "i-4", at(1400), true)
		Expect(r.text("i-1")).To(Equal("i-1 3/1301>=>3/1303, i-4 3/1400>->-, i-2 3/1226p>->=, i-3 ->->-"))
	})

	It("replaces a reading by a later one that was not answered", func() {
		var r logReadings
		r.record(atCall, "i-1", at(7), true)
		r.record(atCall, "i-1", statement.Report{}, false)
		Expect(r.text("")).To(Equal("i-1 ->->-"))
	})
})
