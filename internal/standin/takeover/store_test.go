package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a watch of the store", func() {
	It("returns the changes of its kind behind its revision", func() {
		st, err := newStore(&record{file: GinkgoWriter}, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(st.server.Close)
		put := func(kind, name string) uint64 {
			revision, err := st.put(kind, name, map[string]any{"name": name})
			Expect(err).NotTo(HaveOccurred())
			return revision
		}
		put(kindServers, "i-1")
		from := put(kindServers, "i-2")
		put(kindConfig, "main")
		put(kindServers, "i-3")
		st.remove(kindServers, "i-1")
		res, err := http.Get(fmt.Sprintf("http://%s/-/objects/%s?watch=%d&waitMs=1000", st.address, kindServers, from))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		var got struct{ Events []change }
		Expect(json.NewDecoder(res.Body).Decode(&got)).To(Succeed())
		Expect(got.Events).To(HaveLen(2))
		Expect(got.Events[0].Object.Meta.Name).To(Equal("i-3"))
		Expect(got.Events[1].Object.Meta.Name).To(Equal("i-1"))
		Expect(got.Events[1].Deleted).To(BeTrue())
	})
})
