package caller

import (
	"net/http"
	"testing"
)

// For any header values, an accepted id must be safe to store and to return in a header.
func FuzzHeader(f *testing.F) {
	f.Add("c1", "p1", "c0", "100", "2030-01-01T00:00:00Z")
	f.Add("", "", "", "", "")
	f.Add("a\r\nb", "../x", "é", "-1", "now")
	f.Fuzz(func(t *testing.T, call, program, after, budget, deadline string) {
		h := http.Header{}
		for name, v := range map[string]string{headerCallID: call, headerProgram: program, headerAfter: after, headerBudget: budget, headerDeadline: deadline} {
			if v != "" {
				h.Set(name, v)
			}
		}
		out, p := parseHeader(h)
		if p != nil {
			return
		}
		if !idPattern.MatchString(string(out.call)) || !idPattern.MatchString(string(out.program)) || out.budget < 0 {
			t.Errorf("accepted %q as %+v", h, out)
		}
	})
}
