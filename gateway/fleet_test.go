package gateway

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bronzeloft/bronzeloft/database/succession"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
)

var _ = Describe("the rules that hosts state", func() {
	var (
		p *fakePlatform
		g *Gateway
	)

	BeforeEach(func() {
		p = newFakePlatform(newGroup("a"))
		g = newTestGateway(p)
	})

	// older is a message of a host of a version that states no rules.
	older := &gossippb.Gossip{Host: "host-2", Address: "127.0.0.1:9", DataCentre: "dc-a", Boot: 1, Sequence: 1}
	names := func() []string {
		g.peers.mu.Lock()
		defer g.peers.mu.Unlock()
		return g.peers.rules.holders(time.Now())
	}

	It("corrects the entry of a host that states older rules in its messages", func() {
		_, err := p.api.Create(context.Background(), kindHosts, "host-2", []byte(`{"address":"127.0.0.1:9","dataCentre":"dc-a","rules":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.peers.listHosts()).To(BeTrue())
		g.peers.mu.Lock()
		g.peers.rules.entriesAt = time.Now().Add(-time.Second)
		g.peers.mu.Unlock()
		g.peers.handleMessage(older)
		g.peers.reviewRules(time.Now())
		Eventually(func() uint32 {
			o, err := p.api.Get(context.Background(), kindHosts, "host-2")
			Expect(err).NotTo(HaveOccurred())
			var entry hostEntry
			Expect(json.Unmarshal(o.Value, &entry)).To(Succeed())
			return entry.Rules
		}).Should(BeZero())
	})

	It("states the rules in this host's entry, its messages and its data centre's summary", func() {
		Expect(g.peers.storeEntry()).To(BeTrue())
		Expect(g.peers.listHosts()).To(BeTrue())
		Expect(names()).To(BeEmpty())
		now := time.Now()
		msg := g.peers.message([]string{"host-1"}, now)
		Expect(msg.Rules).To(BeEquivalentTo(succession.Rules))
		Expect(g.peers.summarise(msg, now).Rules).To(BeEquivalentTo(succession.Rules))
		g.peers.handleMessage(older)
		Expect(g.peers.summarise(msg, now).Rules).To(BeZero())
		Expect(names()).To(Equal([]string{"host-2"}))
		present, others := g.peers.hostsByRules()
		Expect([]int{present, others}).To(Equal([]int{1, 1}))
	})
})
