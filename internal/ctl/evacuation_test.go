package ctl_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/internal/ctl"
	"github.com/bronzeloft/bronzeloft/internal/standin/site"
	"github.com/bronzeloft/bronzeloft/platform"
)

var _ = Describe("bronzeloftctl evacuation", func() {
	var store *site.Store

	BeforeEach(func() {
		var err error
		store, err = site.StartStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		put := func(id, service, zone, role string) {
			store.Put(platform.KindDatabases, id, `{"service":"`+service+`","address":"10.2.0.3:5432","zone":"`+zone+`","version":"1","slots":4,"state":"ready","coldLeftMs":0,"dbRole":"`+role+`","seq":1,"born":1}`)
		}
		put("i-1", "stock-db", "cluj", "primary")
		put("i-2", "stock-db", "iasi", "replica")
		put("i-3", "orders-db", "cluj", "replica")
		put("i-4", "orders-db", "iasi", "primary")
		put("i-5", "forum-db", "cluj", "primary")
	})
	evacuation := func(args ...string) result {
		return run(append([]string{"--platform", store.URL(), "evacuation"}, args...)...)
	}
	lines := func(res result) []string {
		GinkgoHelper()
		Expect(res.code).To(Equal(ctl.ExitOK), res.err)
		return strings.Split(strings.TrimSpace(res.out), "\n")
	}

	It("starts, shows and ends evacuations", func() {
		Expect(lines(evacuation("list"))).To(HaveLen(1))
		started := lines(evacuation("start", "--data-centre", "cluj"))
		Expect(started).To(HaveLen(4))
		Expect(started[1]).To(MatchRegexp(`^cluj .* forum-db +i-5 +refused: no database elsewhere$`))
		Expect(started[2]).To(MatchRegexp(`^cluj .* orders-db +i-3 +served elsewhere$`))
		Expect(started[3]).To(MatchRegexp(`^cluj .* stock-db +i-1 +primary i-1 is to be replaced by one of i-2$`))
		Expect(lines(evacuation("start", "--data-centre", "cluj"))).To(HaveLen(4), "a second request changes nothing")
		Expect(lines(evacuation("start", "--data-centre", "iasi"))[3]).To(MatchRegexp(`stock-db +i-1 +refused: no database elsewhere$`))
		Expect(lines(evacuation("end", "--data-centre", "iasi"))).To(HaveLen(4))
		Expect(lines(evacuation("end", "--data-centre", "cluj"))).To(HaveLen(1))
	})

	It("refuses what names no evacuation or no data centre", func() {
		Expect(evacuation("end", "--data-centre", "cluj").code).To(Equal(ctl.ExitRefused))
		Expect(evacuation("start", "--data-centre", "cluij").code).To(Equal(ctl.ExitRefused))
		Expect(evacuation("start", "--data-centre", "two words", "--force").code).To(Equal(ctl.ExitUsage))
		Expect(lines(evacuation("start", "--data-centre", "later", "--force"))[1]).To(ContainSubstring("no listed database is there"))
		store.SetDown(true)
		Expect(evacuation("start", "--data-centre", "cluj").code).To(Equal(ctl.ExitUnavailable))
	})
})
