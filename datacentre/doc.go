// Package datacentre decides, on one host, which other hosts it takes for
// alive, which of them it keeps a connection to, which duties it has, and which
// configuration is in force. It reads no clock and does no IO: callers bring in
// time and messages and carry out what is returned.
//
// Hosts exchange digests: twice a second each host tells its peers the version
// of its configuration, how long ago the platform last confirmed it, and news
// of a few members. A host that hears of a higher version fetches the snapshot
// from the peer that has it, takes it, and announces it at once; a lost message
// is made good by the next digest.
//
// Nothing that must be safe rests on membership: two hosts may hold one duty
// for a while. For a watcher this costs some platform calls, for a promoter
// the fence of the database group decides.
package datacentre
