package contract

import "fmt"

// nameSet finds duplicate names and adds a fault for each.
type nameSet struct {
	c    *checker
	seen map[string]string // item that has the name, by name
}

func (c *checker) newNameSet() *nameSet { return &nameSet{c: c, seen: map[string]string{}} }

// add records that the item called key has name in the given field, and reports
// whether another item already has that name.
func (n *nameSet) add(key, field, name string) (duplicate bool) {
	first, duplicate := n.seen[name]
	if duplicate {
		n.c.require(false, key+" "+field, fmt.Sprintf("%q, which %s has too", name, first), "a unique value")
		return true
	}
	n.seen[name] = key
	return false
}

// unique adds a fault for each name, id and address that must be unique in a
// snapshot and is not.
func (c *checker) unique() {
	c.uniqueServices()
	c.uniqueCustomers()
	hosts := c.newNameSet()
	for _, h := range c.snap.Roster.Hosts {
		hosts.add(hostKey(h.Address), "address", h.Address)
	}
}

func (c *checker) uniqueServices() {
	services, groups, ids, addresses := c.newNameSet(), c.newNameSet(), c.newNameSet(), c.newNameSet()
	for i := range c.snap.Services {
		s := &c.snap.Services[i]
		services.add(serviceKey(s.Name), "name", s.Name)
		requests := c.newNameSet()
		for _, r := range s.Requests {
			requests.add(requestKey(s.Name, r.Name), "name", r.Name)
		}
		if groups.add(serviceKey(s.Name), "group", s.Group) {
			continue // a group used twice repeats its databases; report only the group
		}
		for _, d := range s.Databases {
			ids.add(databaseKey(d.ID), "id", d.ID)
			addresses.add(databaseKey(d.ID), "address", d.Address)
		}
	}
}

func (c *checker) uniqueCustomers() {
	customers, keys := c.newNameSet(), c.newNameSet()
	for i := range c.snap.Customers {
		cu := &c.snap.Customers[i]
		customers.add(customerKey(cu.ID), "id", cu.ID)
		for _, k := range cu.Keys {
			keys.add(customerKey(cu.ID), "key", k.ID)
		}
	}
}
