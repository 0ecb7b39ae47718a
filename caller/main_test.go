package caller_test

import (
	"testing"

	"go.uber.org/goleak"
)

// A goroutine that outlives its call would accumulate over millions of calls.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
