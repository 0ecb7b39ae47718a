package caller

import (
	"crypto/rand"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Request headers of callers.
const (
	headerCall     = "Idempotency-Key"
	headerProgram  = "Chestnutcleat-Program"
	headerAfter    = "Chestnutcleat-After"
	headerParent   = "Chestnutcleat-Parent"
	headerBudget   = "Chestnutcleat-Budget"
	headerDeadline = "Chestnutcleat-Deadline"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// header is what a caller's headers say about a call.
type header struct {
	call     chestnutcleat.CallID
	program  chestnutcleat.ProgramID
	after    chestnutcleat.CallID
	parent   chestnutcleat.CallID
	budget   chestnutcleat.Tokens
	deadline time.Time
	// explicit is set when the caller chose the call id.
	explicit bool
	// first is set when the call may start a new program.
	first bool
}

// parseHeader reads and checks the headers of a call; it generates the ids that are absent.
func parseHeader(h http.Header) (header, *chestnutcleat.Problem) {
	for _, name := range []string{headerCall, headerProgram, headerAfter, headerParent} {
		if v := h.Get(name); len(h.Values(name)) > 0 && !idPattern.MatchString(v) {
			return header{}, refusal(chestnutcleat.CodeBadRequest, "header %s is not an id of at most 128 letters, digits and ._:-", name)
		}
	}
	out := header{
		call:    chestnutcleat.CallID(h.Get(headerCall)),
		program: chestnutcleat.ProgramID(h.Get(headerProgram)),
		after:   chestnutcleat.CallID(h.Get(headerAfter)),
		parent:  chestnutcleat.CallID(h.Get(headerParent)),
	}
	if out.program == "" && (out.after != "" || out.parent != "") {
		return header{}, refusal(chestnutcleat.CodeBadRequest, "headers %s and %s need %s", headerAfter, headerParent, headerProgram)
	}
	out.first = out.after == "" && out.parent == ""
	out.explicit = out.call != ""
	if !out.explicit {
		out.call = chestnutcleat.CallID(rand.Text())
	}
	if out.program == "" {
		out.program = chestnutcleat.ProgramID(out.call)
	}
	if v := h.Get(headerBudget); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return header{}, refusal(chestnutcleat.CodeBadRequest, "header %s is not a positive number of tokens", headerBudget)
		}
		out.budget = chestnutcleat.Tokens(n)
	}
	if v := h.Get(headerDeadline); v != "" {
		t, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return header{}, refusal(chestnutcleat.CodeBadRequest, "header %s is not a time as in RFC 3339", headerDeadline)
		}
		out.deadline = t
	}
	return out, nil
}
