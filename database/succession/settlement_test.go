package succession_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
)

var _ = DescribeTable("the orders after one was accepted",
	func(s succession.Settlement, want succession.SettlementOutcome) {
		Expect(s.Outcome()).To(Equal(want))
	},
	Entry("are waited for", succession.Settlement{}, succession.Waiting),
	Entry("are settled by the effect of the only one", succession.Settlement{Effect: true}, succession.Settles),
	Entry("are waited for if an earlier one may have been accepted", succession.Settlement{Effect: true, Earlier: true, Since: succession.PromotionLimit - time.Millisecond}, succession.Waiting),
	Entry("are settled by the effect of the last one after PromotionLimit", succession.Settlement{Effect: true, Earlier: true, Unseen: true, Since: succession.PromotionLimit}, succession.Settles),
	Entry("are not settled while the last one has no effect, whoever leads", succession.Settlement{Since: succession.PromotionLimit}, succession.Unsettles),
	Entry("are settled by one for the present primary after PromotionLimit", succession.Settlement{Void: true, Earlier: true, Since: succession.PromotionLimit}, succession.Settles),
	Entry("are not settled by one for the present primary if one that was accepted is late", succession.Settlement{Void: true, Earlier: true, Unseen: true, Since: succession.PromotionLimit}, succession.Unsettles),
	Entry("are settled by the last of VoidRounds for the present primary", succession.Settlement{Void: true, Earlier: true, Unseen: true, Rounds: succession.VoidRounds - 1, Since: succession.PromotionLimit}, succession.Settles),
)
