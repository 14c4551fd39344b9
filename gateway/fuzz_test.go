package gateway

import (
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/link/accesspb"
	"github.com/bronzeloft/bronzeloft/link/gossippb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// newFuzzGateway returns a gateway with one service that sends nothing by itself.
func newFuzzGateway(f *testing.F) *Gateway {
	g := New(Options{Name: "host-1", DataCentre: "dc-a", Peers: "127.0.0.1:0", Grace: time.Second, MaxCallers: 10,
		Platform: &fakePlatform{eras: &objectapi.Eras{}}, Logger: slog.New(slog.DiscardHandler), Now: time.Now})
	var err error
	if g.peers, err = listenPeers(g); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(g.Close)
	config := &routes.Configuration{
		Version:   1,
		Routes:    map[string]routes.Route{"current": {Name: "current", Service: testService, Timeout: time.Second}},
		Services:  map[string]routes.Service{testService: {Name: testService, MaxConns: 10}},
		Customers: map[string]routes.Customer{"c": {Name: "c", Keys: []string{testKey}}},
	}
	config.IndexKeys()
	g.config.Store(&loadedConfiguration{Configuration: config})
	g.services[testService] = newService(g, testService)
	return g
}

// FuzzGossip applies messages of other hosts with any content. Their addresses are replaced,
// so that nothing leaves this machine.
func FuzzGossip(f *testing.F) {
	g := newFuzzGateway(f)
	seed, err := proto.Marshal(&gossippb.Gossip{Host: "host-2", DataCentre: "dc-b", Boot: 1, Sequence: 1, LiveHosts: 3, Serving: true,
		Demands: []*gossippb.Demand{{Customer: "c", PerSecond: 3}},
		Groups:  []*gossippb.Group{{Service: testService, Primary: "a", Watching: true, Leaving: []*gossippb.Leaving{{Database: "a"}}}},
		Ranked:  []*gossippb.Host{{Name: "host-3", Capacity: 1}},
		Centres: []*gossippb.Centre{{Name: "dc-c", Hosts: 2, Groups: []*gossippb.Group{{Service: testService, Host: "host-4", Watching: true}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg gossippb.Gossip
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		msg.Address, msg.Configuration, msg.Databases, msg.Evacuations = "127.0.0.1:9", 0, 0, 0
		for _, h := range msg.Ranked {
			h.Address = "127.0.0.1:9"
		}
		g.peers.handleMessage(&msg)
		g.peers.outgoingMessages(g.now())
	})
}

// FuzzJob decodes forwarded statements with any content.
func FuzzJob(f *testing.F) {
	g := newFuzzGateway(f)
	seed, err := proto.Marshal(&accesspb.Job{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var j accesspb.Job
		if proto.Unmarshal(data, &j) != nil {
			return
		}
		op, err := g.newJobOperation(&j)
		if op != nil && err == nil {
			op.queueItem()
		}
	})
}
