// Package examples embeds one of the example sets of team files, which configure the
// fleet, the customers and the services, so that bronzeloft-trial runs from any
// working directory.
package examples

import "embed"

// Files holds the set of team files that bronzeloft-trial loads, in the directory TrialDir.
//
//go:embed trial
var Files embed.FS

// TrialDir is the trial's directory in Files.
const TrialDir = "trial"
