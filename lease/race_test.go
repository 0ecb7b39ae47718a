//go:build race

package lease

import "runtime"

// raceDetector reports whether the race detector is on; if so, the tests use fewer seeds.
const raceDetector = true

// With several processors the race detector of Go 1.26 sometimes crashes in synctest bubbles (SIGSEGV in tsan's SlotLock on
// the scheduler's stack); it still finds races with one processor.
func init() { runtime.GOMAXPROCS(1) }
