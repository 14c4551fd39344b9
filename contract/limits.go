package contract

import "time"

// Limits of one snapshot. Check rejects a larger one, so every table that is filled
// from a snapshot is bounded too.
const (
	MaxServices      = 4096  // services, and therefore database groups
	MaxDatabases     = 9     // databases of one group
	MaxRequests      = 1024  // named requests of one service
	MaxCustomers     = 16384 // customers
	MaxKeys          = 16    // keys of one customer, withdrawn ones included
	MaxHosts         = 8192  // roster addresses
	MaxWeight        = 1000  // fair-share weight of a customer
	MaxSlots         = 10000 // concurrent statements on one database
	MaxConnections   = 10000 // connections to one database
	MaxRate          = 1e7   // requests per second, and requests in a burst, of one customer
	MaxDeadline      = time.Hour
	MinDeadline      = time.Millisecond
	MaxAge           = 24 * time.Hour
	MaxLatencyTarget = time.Hour
)
