package contract_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/bronzeloft/bronzeloft/contract"
)

// FuzzLoad puts one text in the place of each file in turn: Load must not
// panic, must place each fault, and what it accepts must pass Check and survive
// encoding.
func FuzzLoad(f *testing.F) {
	for _, dir := range []string{"pluta", "trust"} {
		paths, _ := filepath.Glob("../examples/" + dir + "/*.toml")
		for _, path := range paths {
			data, err := os.ReadFile(path)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(string(data))
		}
	}
	f.Add(smallTeam)
	f.Add(smallFleet)
	f.Add(smallCustomers)
	f.Add("service = [1]\nwords = 3\nrequest = {}\n")
	f.Add("[[words]]\n[words.x]\nmax_age = -1\n")
	f.Add("[words.''.a]\nopen = 1\n[[request]]\nis = [[]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		for _, name := range []string{"orders.toml", "fleet.toml", "customers.toml"} {
			files := map[string]string{"fleet.toml": smallFleet, "customers.toml": smallCustomers, "orders.toml": smallTeam}
			files[name] = text
			loadOnce(t, files)
		}
	})
}

func loadOnce(t *testing.T, files map[string]string) {
	snap, faults := contract.LoadTexts(files)
	for _, fault := range faults {
		if fault.File == "" || fault.Found == "" || fault.Allowed == "" {
			t.Fatalf("fault without place or cause: %+v", fault)
		}
	}
	if len(faults) > 0 {
		return
	}
	if left := contract.Check(snap); len(left) > 0 {
		t.Fatalf("accepted, yet Check finds %v", left)
	}
	data, err := contract.Encode(snap)
	if err != nil {
		t.Fatal(err)
	}
	back, err := contract.Decode(data)
	if err != nil || len(contract.Diff(snap, back)) > 0 {
		t.Fatalf("encoding changed it: %v, %v", err, contract.Diff(snap, back))
	}
}
