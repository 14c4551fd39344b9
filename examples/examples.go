// Package examples holds the example sets of team files, so that the trial runs
// from any directory.
package examples

import "embed"

// Files holds the set of the trial, in the directory TrialDir.
//
//go:embed trial
var Files embed.FS

// TrialDir is the trial's directory in Files.
const TrialDir = "trial"
