// Package datacentre decides, on one host, which other hosts it considers
// alive, which of them it keeps a connection to, which duties it has, and which
// configuration is in force. It reads no clock and does no I/O: callers pass in
// the time and received messages and carry out the returned actions.
//
// Hosts exchange digests: twice a second each host sends its peers the version
// of its configuration, how long ago the platform last confirmed it, and news
// of a few members. A host that receives a digest with a higher version fetches
// the snapshot from a peer that has it, puts it in force, and announces it at
// once. If a message is lost, the next digest repeats the information.
//
// Safety does not depend on membership: two hosts may hold the same duty for a
// while. For watchers, which watch the platform for new configurations, this costs
// extra platform calls. For promoters, which replace failed primaries, the fence of
// the database group decides which one succeeds.
package datacentre
