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
	headerCallID   = "Idempotency-Key"
	headerProgram  = "Chestnutcleat-Program"
	headerAfter    = "Chestnutcleat-After"
	headerParent   = "Chestnutcleat-Parent"
	headerBudget   = "Chestnutcleat-Budget"
	headerDeadline = "Chestnutcleat-Deadline"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// callHeader holds the values of a call's request headers.
type callHeader struct {
	call     chestnutcleat.CallID
	program  chestnutcleat.ProgramID
	after    chestnutcleat.CallID
	parent   chestnutcleat.CallID
	budget   chestnutcleat.Tokens
	deadline time.Time
	// explicitID is set when the caller chose the call id.
	explicitID bool
	// mayStartProgram is set when the call may be the first of its program.
	mayStartProgram bool
}

// parseHeader parses and validates the headers of a call and generates missing ids.
func parseHeader(h http.Header) (callHeader, *chestnutcleat.Problem) {
	for _, name := range []string{headerCallID, headerProgram, headerAfter, headerParent} {
		if v := h.Get(name); len(h.Values(name)) > 0 && !idPattern.MatchString(v) {
			return callHeader{}, notRunProblem(chestnutcleat.CodeBadRequest, "header %s is not an id of at most 128 letters, digits and ._:-", name)
		}
	}
	out := callHeader{
		call:    chestnutcleat.CallID(h.Get(headerCallID)),
		program: chestnutcleat.ProgramID(h.Get(headerProgram)),
		after:   chestnutcleat.CallID(h.Get(headerAfter)),
		parent:  chestnutcleat.CallID(h.Get(headerParent)),
	}
	if out.program == "" && (out.after != "" || out.parent != "") {
		return callHeader{}, notRunProblem(chestnutcleat.CodeBadRequest, "headers %s and %s need %s", headerAfter, headerParent, headerProgram)
	}
	out.mayStartProgram = out.after == "" && out.parent == ""
	out.explicitID = out.call != ""
	if !out.explicitID {
		out.call = chestnutcleat.CallID(rand.Text())
	}
	if out.program == "" {
		out.program = chestnutcleat.ProgramID(out.call)
	}
	if v := h.Get(headerBudget); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return callHeader{}, notRunProblem(chestnutcleat.CodeBadRequest, "header %s is not a positive number of tokens", headerBudget)
		}
		out.budget = chestnutcleat.Tokens(n)
	}
	if v := h.Get(headerDeadline); v != "" {
		t, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return callHeader{}, notRunProblem(chestnutcleat.CodeBadRequest, "header %s is not an RFC 3339 time", headerDeadline)
		}
		out.deadline = t
	}
	return out, nil
}
