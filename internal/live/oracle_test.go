package live

import (
	"errors"
	"math/rand/v2"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the oracle", func() {
	refused := &pgconn.PgError{Message: "bronzeloft: no confirmed primary", Detail: "not run; group orders"}
	lost := errors.New("connection lost")

	DescribeTable("judges what a caller was told of a write",
		func(told []error, parts, rows int, found string) {
			o := newOracle()
			for _, err := range told {
				o.wrote(order{id: "a", parts: parts, once: true}, err)
			}
			broken := o.judge(map[string]int{"a": rows})
			if found == "" {
				Expect(broken).To(BeEmpty())
				return
			}
			Expect(broken).To(ConsistOf(HavePrefix(found)))
		},
		Entry("done once", []error{nil}, 1, 1, ""),
		Entry("lost", []error{nil}, 1, 0, "lost"),
		Entry("doubled", []error{nil}, 1, 2, "doubled"),
		Entry("refused", []error{refused}, 1, 0, ""),
		Entry("refused and ran", []error{refused}, 1, 1, "ran"),
		Entry("unknown and ran", []error{lost}, 1, 1, ""),
		Entry("unknown and did not", []error{lost}, 1, 0, ""),
		Entry("unknown and ran twice", []error{lost}, 1, 2, "doubled"),
		Entry("unknown, then refused, and ran", []error{lost, refused}, 1, 1, ""),
		Entry("unknown, then done, and lost", []error{lost, nil}, 1, 0, "lost"),
		Entry("torn", []error{lost}, 2, 1, "torn"),
		Entry("the database's own error is no refusal", []error{&pgconn.PgError{Code: "57P01", Message: "not run"}}, 1, 1, ""),
	)

	It("finds rows that nobody asked for", func() {
		Expect(newOracle().judge(map[string]int{"b": 1})).To(ConsistOf("unasked: b"))
	})

	It("judges reads", func() {
		o := newOracle()
		o.wrote(order{id: "a", parts: 1}, nil)
		w := o.acknowledged(rand.New(rand.NewPCG(1, 1)))
		o.read(w, 1, "x", "x", nil)
		Expect(o.broken).To(BeEmpty())
		o.read(w, 0, "x", "x", nil)
		o.read(w, 1, "x", "y", nil)
		Expect(o.broken).To(ConsistOf(HavePrefix("stale"), HavePrefix("mixed")))
	})

	It("has every step under every fault once", func() {
		names := map[string]bool{}
		for _, c := range Cells(DefaultLoad, 1) {
			names[c.Name()] = true
		}
		Expect(names).To(HaveLen(len(Steps()) * len(Faults())))
	})
})
