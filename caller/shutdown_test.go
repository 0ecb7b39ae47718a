package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
)

// A VM that shuts down must not take a call that it may have to interrupt: it took calls of up to two minutes until the end of its grace
// period of 30 s and cut them.
func TestShutdownRefusesLongCalls(t *testing.T) {
	const untilEnd = 4 * time.Hour
	tests := []struct {
		name, route     string
		timeout, strict time.Duration
		deadline        time.Duration
		status          int
		knownToItsOwner bool
	}{
		{name: "ends in time by the route's timeout", route: "read", timeout: 3 * time.Hour, status: http.StatusOK},
		{name: "may take longer", route: "read", timeout: 5 * time.Hour, status: http.StatusServiceUnavailable},
		{name: "ends in time by the caller's deadline", route: "read", timeout: 5 * time.Hour, deadline: 3 * time.Hour, status: http.StatusOK},
		{name: "attempt may begin late", route: "book", timeout: 3 * time.Hour, status: http.StatusServiceUnavailable},
		{name: "not repeatable, ends in time", route: "book", timeout: time.Hour, status: http.StatusOK},
		{name: "callers may still have the old list", route: "read", timeout: 5 * time.Hour, strict: time.Hour, status: http.StatusOK},
		{name: "recorded answer", route: "read", timeout: 5 * time.Hour, knownToItsOwner: true, status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			for i := range s.routes {
				s.routes[i].Timeout = chestnutcleat.Duration(tt.timeout)
			}
			headers := []string{"Authorization", bearer, "Idempotency-Key", "call-1"}
			if tt.deadline > 0 {
				headers = append(headers, "Chestnutcleat-Deadline", time.Now().Add(tt.deadline).Format(time.RFC3339))
			}
			if tt.knownToItsOwner {
				is.Equal(s.send(t, http.MethodPost, caller.PathServices+tt.route+"/x", "", headers...).status, http.StatusOK)
			}
			s.handler.StartShutdown(time.Now().Add(tt.strict), time.Now().Add(untilEnd))
			a := s.send(t, http.MethodPost, caller.PathServices+tt.route+"/x", "", headers...)
			is.Equal(a.status, tt.status)
			if tt.status == http.StatusServiceUnavailable {
				is.True(strings.Contains(a.body, `"code":"leaving"`))
				is.True(strings.Contains(a.body, `"outcome":"not-run"`))
			}
		})
	}
}
