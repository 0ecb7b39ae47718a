//go:build !race

package lease

// raceDetector reports whether the race detector is on.
const raceDetector = false
