package main

import (
	"fmt"
	"slices"
	"sync"
)

// Kinds of objects in the store.
const (
	kindServers = "servers"
	kindConfig  = "config"
)

// Kinds of routes.
const (
	kindPrimary = "primary"
	kindOwn     = "read_your_writes"
	kindBounded = "bounded_staleness"
)

// routeOf returns the database name of the route of a kind to a service.
func routeOf(kind, service string) string {
	return map[string]string{kindPrimary: "book-", kindOwn: "plan-", kindBounded: "look-"}[kind] + service
}

// spareRoutes are routes that no client needs.
var spareRoutes = []string{"partner-1", "partner-2", "partner-3"}

// config is the configuration of the site, as the operator writes it.
type config struct {
	store *store

	mu       sync.Mutex
	version  int
	routes   []map[string]any
	services []map[string]any
	tenants  []map[string]any
	gone     map[string]int // reasons to leave a route or service out, by name
}

func newConfig(s *store, l layout) *config {
	c := &config{store: s, version: 7, gone: map[string]int{}}
	for _, name := range l.services {
		c.addRoute(name, routeOf(kindPrimary, name), kindPrimary, l.timeoutMs, 200, 1, 0)
		c.addRoute(name, routeOf(kindOwn, name), kindOwn, l.timeoutMs, 400, 2, 2500)
		c.addRoute(name, routeOf(kindBounded, name), kindBounded, 3000, 800, 2, 1500)
		c.services = append(c.services, map[string]any{"name": name, "healthPath": "/health", "maxConns": l.database.Connections, "protocol": "h1", "tls": false, "syncReplicas": 1})
	}
	for i, name := range spareRoutes {
		c.addRoute(l.services[i%len(l.services)], name, kindPrimary, l.timeoutMs, 200, 1, 0)
	}
	for i := range l.tenants {
		c.tenants = append(c.tenants, map[string]any{"name": tenant(i), "apiKeys": []string{keyOf(tenant(i))}, "priority": 1, "ratePerS": 500, "burst": 500})
	}
	return c
}

func tenant(i int) string { return fmt.Sprintf("shop%d", i+1) }

func keyOf(tenant string) string { return "key-of-" + tenant }

func (c *config) addRoute(service, database, kind string, timeoutMs, sloMs, priority, staleMs int) {
	r := map[string]any{"name": "r-" + database, "database": database, "pathPrefix": "/", "type": kind, "timeoutMs": timeoutMs,
		"sloMs": sloMs, "priority": priority, "service": service, "maxAttempts": 2, "public": false}
	if staleMs > 0 {
		r["maxStalenessMs"] = staleMs
	}
	c.routes = append(c.routes, r)
}

// publish writes the configuration to the store.
func (c *config) publish() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	_, err := c.store.put(kindConfig, "main", map[string]any{
		"version":  c.version,
		"routes":   c.without(c.routes, "database"),
		"services": c.without(c.services, "name"),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants":  c.tenants,
	})
	return err
}

// without returns the entries of a list whose key is not left out. mu is held.
func (c *config) without(list []map[string]any, key string) []map[string]any {
	return slices.DeleteFunc(slices.Clone(list), func(m map[string]any) bool { return c.gone[m[key].(string)] > 0 })
}

// remove publishes a configuration without routes or services, by the names of their
// databases or their own.
func (c *config) remove(names []string) error { return c.change(names, 1) }

// restore publishes a configuration with them.
func (c *config) restore(names []string) error { return c.change(names, -1) }

func (c *config) change(names []string, by int) error {
	c.mu.Lock()
	for _, name := range names {
		c.gone[name] += by
	}
	c.mu.Unlock()
	return c.publish()
}
