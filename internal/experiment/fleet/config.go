package fleet

import (
	"fmt"

	"github.com/bronzeloft/bronzeloft/contract"
)

// sampleSnapshot returns a configuration of the given size. Each service has
// three databases and eight named requests, each customer two keys.
func sampleSnapshot(version uint64, services, customers int) *contract.Snapshot {
	snap := &contract.Snapshot{Version: version, Roster: contract.Roster{Version: 1}}
	for i := range services {
		snap.Services = append(snap.Services, sampleService(i))
	}
	for i := range customers {
		snap.Customers = append(snap.Customers, sampleCustomer(i))
	}
	if services > 0 {
		snap.Services[int(version)%services].Slots += int(version) // makes this version differ from the others
	}
	return snap
}

func sampleService(i int) contract.Service {
	name := groupName(i)
	service := contract.Service{Name: name, Group: name, Slots: 5, MaxConns: 70}
	for d := range 3 {
		service.Databases = append(service.Databases, contract.Database{
			ID:         fmt.Sprintf("%s-%d", name, d),
			Address:    fmt.Sprintf("10.%d.%d.%d:5432", d, i/250, i%250),
			DataCentre: fmt.Sprintf("dc%d", d),
		})
	}
	for r := range 8 {
		service.Requests = append(service.Requests, contract.Request{
			Name:     fmt.Sprintf("%s.request%d", name, r),
			Access:   contract.Read,
			Deadline: contract.DefaultDeadline,
		})
	}
	return service
}

func groupName(i int) string { return fmt.Sprintf("service-%05d", i) }

func sampleCustomer(i int) contract.Customer {
	customer := contract.Customer{ID: fmt.Sprintf("customer-%05d", i), Rate: 100, Burst: 200, Weight: 1}
	for k := range 2 {
		customer.Keys = append(customer.Keys, contract.Key{
			ID:   fmt.Sprintf("key-%05d-%d", i, k),
			Salt: incompressibleBytes(i*4+k, 16),
			Hash: incompressibleBytes(i*4+k+2, 32),
		})
	}
	return customer
}

// incompressibleBytes returns pseudo-random bytes, which do not compress, like the
// salts and hashes of real keys. The same seed gives the same bytes.
func incompressibleBytes(seed, size int) []byte {
	data := make([]byte, size)
	state := uint64(seed)*2654435761 + 1
	for i := range data {
		state = state*6364136223846793005 + 1442695040888963407
		data[i] = byte(state >> 56)
	}
	return data
}
