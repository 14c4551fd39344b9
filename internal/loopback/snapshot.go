package loopback

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/keys"
)

// Key is an issued key: the form that is stored and the plaintext.
type Key struct {
	Stored    contract.Key
	Plaintext string
}

// MustKey issues a key. It panics if the system's random source fails.
func MustKey(id string) Key {
	stored, plaintext, err := keys.New(rand.Reader, id)
	if err != nil {
		panic(err)
	}
	return Key{Stored: stored, Plaintext: plaintext}
}

// OneService returns a snapshot with the service "orders" on three databases in
// three data centres, and the customer "shop" with the given key. It leaves the
// version, the addresses and the roster empty.
func OneService(key contract.Key) *contract.Snapshot {
	svc := contract.Service{
		Name: "orders", Group: "orders", Slots: 5, MaxConns: 70,
		Requests: []contract.Request{
			{Name: "order.read", Access: contract.Read, Deadline: 5 * time.Second},
			{Name: "order.browse", Access: contract.Read, MaxAge: 2 * time.Second, Deadline: 5 * time.Second},
			{Name: "order.place", Access: contract.Write, Deadline: 5 * time.Second},
			{Name: "order.touch", Access: contract.Write, Idempotent: true, Deadline: 5 * time.Second},
			{Name: "catalogue.read", Access: contract.Read, Open: true, Deadline: 5 * time.Second},
		},
	}
	for i := range 3 {
		svc.Databases = append(svc.Databases, contract.Database{
			ID: fmt.Sprintf("orders-%d", i+1), DataCentre: fmt.Sprintf("dc-%d", i+1),
		})
	}
	return &contract.Snapshot{
		Services: []contract.Service{svc},
		Customers: []contract.Customer{{
			ID: "shop", Rate: 10_000, Burst: 10_000, Weight: 1, Keys: []contract.Key{key},
			Objective: contract.Objective{Availability: 0.999, Latency: 200 * time.Millisecond},
		}},
	}
}
