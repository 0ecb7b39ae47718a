//go:build race

package lease

import "runtime"

// raceDetector reports whether the race detector is on; the tests then use fewer seeds.
const raceDetector = true

// With several processors the detector of Go 1.26 crashes at times in synctest bubbles (SIGSEGV in tsan's SlotLock on
// the scheduler's stack); it reports races with one processor, too.
func init() { runtime.GOMAXPROCS(1) }
