//go:build !race

package node_test

import "time"

const (
	// raceDetector reports whether the race detector is on.
	raceDetector      = false
	isolationDuration = time.Hour
	isolationSeeds    = 2
	// faultSeeds is the number of seeds of each fault.
	faultSeeds    = 3
	gracefulSeeds = 3
)
