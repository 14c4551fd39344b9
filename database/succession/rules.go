package succession

import "github.com/bronzeloft/bronzeloft/position"

// Rules is the version of the rules on takeovers and acknowledgements that this build
// follows. Hosts state it, so that a fleet of several versions can tell what each of
// its hosts relies on.
//
//   - 0 stands for builds that state none. The first of them acknowledge a commit once one
//     replica that is not paused holds it, and rely on whoever replaces the primary pausing each
//     replica before its log is read, until no order can take effect.
//   - 1 replaces a primary without the logs of databases that seem to have ended, takes them off
//     the roster, and drops the fields of the roster that it does not know.
//   - 2 reads the logs of all databases of the roster, and resumes leaving databases.
//   - 3 resumes no leaving database, so that one that was paused stays fenced.
const Rules = 3

// orderRules is the first version that records in the lease each order that can still take effect.
const orderRules = 1

// ByOlderRules reports whether the lease was last written by a host of rules before orderRules. Such a
// host may drop an order that can still take effect: it doesn't keep fields that it does not
// know, and takes an order for ended PromotionLimit after it was accepted, or at once.
func (l Lease) ByOlderRules() bool { return l.Rules < orderRules }

// KeptFloor is the term and the floor of a service's lease, kept beside it.
type KeptFloor struct {
	Term  uint64            `json:"term"`
	Floor position.Position `json:"floor"`
}
