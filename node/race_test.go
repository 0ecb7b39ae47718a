//go:build race

package node_test

import "time"

const (
	// raceDetector reports whether the race detector is on. Tests in synctest bubbles are then run sequentially, as
	// parallel bubbles crashed in the runtime of Go 1.26 (timer.maybeRunChan).
	raceDetector = true
	// The race detector makes an hour of virtual time take minutes, so its runs use a shorter isolation and one seed.
	isolationDuration = 5 * time.Minute
	isolationSeeds    = 1
	faultSeeds        = 1
	gracefulSeeds     = 1
)
