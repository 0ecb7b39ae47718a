package caller_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
)

// A call that outlives its program's wall-clock time must end, or a hanging engine would overrun the budget.
func TestWallClockEndsCall(t *testing.T) {
	is := is.New(t)
	s := start(t)
	for _, e := range s.engines {
		e.SetFaults(standinengine.Faults{Hang: true})
	}
	s.until = time.Now().Add(500 * time.Millisecond)
	a := s.chat(t, ask("m", "hello", false))
	is.True(strings.Contains(a.body, `"budget-exhausted"`))
	is.True(strings.Contains(a.body, `"outcome":"unknown"`))
}
