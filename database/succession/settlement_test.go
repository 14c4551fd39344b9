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
	Entry("are settled by the effect of the last one after PromotionLimit if earlier ones were for the same database", succession.Settlement{Effect: true, Earlier: true, Since: succession.PromotionLimit}, succession.Settles),
	Entry("are not settled by the effect of the last one if an earlier one for another database may be late", succession.Settlement{Effect: true, Earlier: true, Other: true, Since: succession.PromotionLimit}, succession.Unsettles),
	Entry("are not settled while the last one has no effect, whoever leads", succession.Settlement{Since: succession.PromotionLimit}, succession.Unsettles),
	Entry("are settled by one for the present primary after PromotionLimit if earlier ones were for it too", succession.Settlement{Void: true, Earlier: true, Since: succession.PromotionLimit}, succession.Settles),
	Entry("are not settled by one for the present primary if an earlier one for another database may be late", succession.Settlement{Void: true, Earlier: true, Other: true, Since: succession.PromotionLimit}, succession.Unsettles),
	Entry("are not settled by the last but one of VoidRounds", succession.Settlement{Void: true, Earlier: true, Other: true, Rounds: succession.VoidRounds - 2, Since: succession.PromotionLimit}, succession.Unsettles),
	Entry("are settled by the last of VoidRounds for the present primary", succession.Settlement{Void: true, Earlier: true, Other: true, Rounds: succession.VoidRounds - 1, Since: succession.PromotionLimit}, succession.Settles),
)
