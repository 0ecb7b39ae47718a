package role

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests in progress must have nearly the whole grace period, also a short one: a fixed reserve for the exit cut them before the last
// sixth of it, which operators count as lost.
func TestShutdownTimes(t *testing.T) {
	const ttl = 2500 * time.Millisecond
	tests := []struct {
		grace, listen time.Duration
	}{
		{30 * time.Second, 2800 * time.Millisecond},
		{8 * time.Second, 2800 * time.Millisecond},
		{4500 * time.Millisecond, time.Second},
		{2 * time.Second, 0},
		{500 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.grace.String(), func(t *testing.T) {
			is := is.New(t)
			listen, total := shutdownTimes(tt.grace, ttl)
			is.Equal(listen, tt.listen)
			is.True(total >= tt.grace*5/6)
			is.True(total < tt.grace)
		})
	}
}
