package caller_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A request that repeats a call must not be answered "not run" before the program's owner said what became of the
// call: an earlier request through another VM may have run it.
func TestUnreachableOwnerLeavesOutcomeOpen(t *testing.T) {
	cases := []struct {
		name, route, id, fail, outcome string
	}{
		{"customer's owner, non-repeatable with id", "book", "c1", "take", "unknown"},
		{"program's owner, non-repeatable with id", "book", "c1", "begin", "unknown"},
		{"program's owner, non-repeatable without id", "book", "", "begin", "not-run"},
		{"program's owner, repeatable with id", "read", "c1", "begin", "not-run"},
		{"upstream's owner, after the program's owner decided", "book", "c1", "acquire", "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			s.lost = c.fail
			headers := []string{"Authorization", bearer}
			if c.id != "" {
				headers = append(headers, "Idempotency-Key", c.id)
			}
			a := s.send(t, http.MethodPost, "/v1/services/"+c.route+"/x", "", headers...)
			is.True(strings.Contains(a.body, `"outcome":"`+c.outcome+`"`))
		})
	}
}
