package caller_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A request with a call id must not get outcome "not-run" for a non-repeatable call before the program's owner has reported
// the call's state: an earlier request through another VM may have run it.
func TestUnreachableOwnerOutcome(t *testing.T) {
	cases := []struct {
		name, route, id, failing, outcome string
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
			s := startSystem(t)
			s.failing = c.failing
			headers := []string{"Authorization", bearer}
			if c.id != "" {
				headers = append(headers, "Idempotency-Key", c.id)
			}
			a := s.send(t, http.MethodPost, "/v1/services/"+c.route+"/x", "", headers...)
			is.True(strings.Contains(a.body, `"outcome":"`+c.outcome+`"`))
		})
	}
}
