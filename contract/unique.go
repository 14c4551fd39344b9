package contract

import "fmt"

// names finds a name that stands twice.
type names struct {
	c    *checker
	seen map[string]string // name to the item that has it
}

func (c *checker) names() *names { return &names{c: c, seen: map[string]string{}} }

// add notes that the item called key has name, and reports whether another one
// has it already.
func (n *names) add(key, field, name string) (twice bool) {
	first, twice := n.seen[name]
	if twice {
		n.c.want(false, key+" "+field, fmt.Sprintf("%q, which %s has too", name, first), "a value of its own")
		return true
	}
	n.seen[name] = key
	return false
}

// unique reports what must not stand twice in one snapshot.
func (c *checker) unique() {
	c.uniqueServices()
	c.uniqueCustomers()
	hosts := c.names()
	for _, h := range c.snap.Roster.Hosts {
		hosts.add(hostKey(h.Address), "address", h.Address)
	}
}

func (c *checker) uniqueServices() {
	services, groups, ids, addresses := c.names(), c.names(), c.names(), c.names()
	for i := range c.snap.Services {
		s := &c.snap.Services[i]
		services.add(serviceKey(s.Name), "name", s.Name)
		requests := c.names()
		for _, r := range s.Requests {
			requests.add(requestKey(s.Name, r.Name), "name", r.Name)
		}
		if groups.add(serviceKey(s.Name), "group", s.Group) {
			continue // its databases stand twice for that reason
		}
		for _, d := range s.Databases {
			ids.add(databaseKey(d.ID), "id", d.ID)
			addresses.add(databaseKey(d.ID), "address", d.Address)
		}
	}
}

func (c *checker) uniqueCustomers() {
	customers, keys := c.names(), c.names()
	for i := range c.snap.Customers {
		cu := &c.snap.Customers[i]
		customers.add(customerKey(cu.ID), "id", cu.ID)
		for _, k := range cu.Keys {
			keys.add(customerKey(cu.ID), "key", k.ID)
		}
	}
}
