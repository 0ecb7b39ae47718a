package role

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/settings"
)

// Requests in progress must have nearly the whole grace period, also a short one: a fixed reserve for the exit cut them before the last
// sixth of it, which operators count as lost.
func TestShutdownTimes(t *testing.T) {
	const ttl = 850 * time.Millisecond
	tests := []struct {
		grace, listen time.Duration
	}{
		{30 * time.Second, 2850 * time.Millisecond},
		{8 * time.Second, 2850 * time.Millisecond},
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

// Callers that keep a list of addresses three times as long as meant must find a listener at a VM that shuts down: they connected to one
// that was gone, for up to 5 s, and their programs failed.
func TestListensForStaleLists(t *testing.T) {
	is := is.New(t)
	e := Entry{base: base{Settings: settings.Role{MaxAddressTTL: 5}}}
	listen, total := shutdownTimes(8*time.Second, e.addressTTL())
	is.True(listen >= announceTime+3*e.addressTTL())
	is.True(listen <= 3*time.Second) // operators allow for requests that are sent until then and outlast the grace period
	is.True(total-listen > 4*time.Second)
}
