package caller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
)

// A call must end with its program's wall-clock time, or a hanging engine would exceed the budget.
func TestWallClockEndsCall(t *testing.T) {
	runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
		for _, e := range s.engines {
			e.SetFaults(standinengine.Faults{Hang: true})
		}
		s.wallClockEnd = time.Now().Add(500 * time.Millisecond)
		a := s.chat(t, chatBody("m", "hello", false))
		is.True(strings.Contains(a.body, `"budget-exhausted"`))
		is.True(strings.Contains(a.body, `"outcome":"unknown"`))
	})
}
