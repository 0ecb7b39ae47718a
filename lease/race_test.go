//go:build race

package lease

// raceDetector reports whether the race detector is on. Bubbles then run one after another, as parallel ones
// crashed inside the detector of Go 1.26 (signal in tsan's SlotLock on the scheduler's stack), and with fewer seeds.
const raceDetector = true
