package retry_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/customer/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "customer/retry")
}

var _ = Describe("a budget of repeats", func() {
	It("allows a share of the first tries and a burst, for each customer", func() {
		b := retry.NewBudget(0.1, 2)
		taken := 0
		for range 100 {
			b.Earn("shop")
			if b.Take("shop") {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", 12, 1))
		Expect(b.Take("other")).To(BeFalse())
		b.Earn("other")
		Expect(b.Take("other")).To(BeTrue())
	})

	It("forgets customers that are gone", func() {
		b := retry.NewBudget(0.1, 1)
		b.Earn("shop")
		b.Keep(func(string) bool { return false })
		Expect(b.Take("shop")).To(BeFalse())
	})
})

var _ = Describe("a pause", func() {
	It("ends with its context", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		Expect(retry.Wait(ctx, time.Minute)).To(BeFalse())
		var b retry.Backoff
		Expect(b.Pause(context.Background())).To(BeTrue())
	})
})
