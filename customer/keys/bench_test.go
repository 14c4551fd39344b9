package keys_test

import (
	"crypto/rand"
	"fmt"
	"testing"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/keys"
)

func BenchmarkTable(b *testing.B) {
	snap := &contract.Snapshot{Version: 1}
	plain := ""
	for i := range 4000 {
		key, p, err := keys.New(rand.Reader, fmt.Sprintf("k%d", i))
		if err != nil {
			b.Fatal(err)
		}
		plain = p
		snap.Customers = append(snap.Customers, contract.Customer{ID: fmt.Sprintf("c%d", i), Keys: []contract.Key{key}})
	}
	table := keys.NewTable()
	table.Apply(snap)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			table.Check(plain)
		}
	})
	b.Run("check an unknown id", func(b *testing.B) {
		for b.Loop() {
			table.Check("unknown" + plain)
		}
	})
	b.Run("valid", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Valid("k3999")
		}
	})
	b.Run("apply 4000 keys", func(b *testing.B) {
		for b.Loop() {
			snap.Version++
			table.Apply(snap)
		}
	})
}
