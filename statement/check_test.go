package statement_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/errkind"
	"github.com/bronzeloft/bronzeloft/statement"
)

func TestStatement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "statement")
}

var _ = DescribeTable("an answer matches a statement only if it has its shape",
	func(a statement.Answer, kind statement.Kind, before statement.State, matches bool) {
		Expect(a.Check(kind, before) == nil).To(Equal(matches))
	},
	Entry("a read", statement.Answer{Rows: []string{"a"}, Signature: "s"}, statement.Read, statement.Idle, true),
	Entry("a read without a signature", statement.Answer{Rows: []string{"a"}}, statement.Read, statement.Idle, false),
	Entry("a read that closes its transaction", statement.Answer{Signature: "s"}, statement.Read, statement.Open, false),
	Entry("a write with rows", statement.Answer{Rows: []string{"a"}, Signature: "s"}, statement.Write, statement.Idle, false),
	Entry("a commit", statement.Answer{Signature: "s"}, statement.Commit, statement.Open, true),
	Entry("a commit that leaves its transaction open", statement.Answer{Signature: "s", State: statement.Open}, statement.Commit, statement.Open, false),
	Entry("a begin", statement.Answer{State: statement.Open}, statement.Begin, statement.Idle, true),
	Entry("a begin that opens nothing", statement.Answer{}, statement.Begin, statement.Idle, false),
	Entry("a signed begin", statement.Answer{State: statement.Open, Signature: "s"}, statement.BeginRead, statement.Idle, false),
	Entry("a status without its row", statement.Answer{}, statement.Status, statement.Idle, false),
	Entry("a refused begin", statement.Answer{Err: errkind.New(errkind.DatabaseBehind, "b")}, statement.BeginRead, statement.Idle, true),
	Entry("a refusal that opens a transaction", statement.Answer{Err: errkind.New(errkind.DatabaseBusy, "b"), State: statement.Open}, statement.Read, statement.Idle, false),
	Entry("a refusal in a transaction", statement.Answer{Err: errkind.New(errkind.DatabaseBusy, "b"), State: statement.Failed}, statement.Read, statement.Open, true),
	Entry("a success in a failed transaction", statement.Answer{Signature: "s", State: statement.Failed}, statement.Read, statement.Failed, false),
	Entry("a statement that is not defined", statement.Answer{Signature: "s"}, statement.Kind(99), statement.Idle, false),
)
