package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Content types.
const (
	typeProblem = "application/problem+json"
	typeJSON    = "application/json"
	typeEvents  = "text/event-stream"
)

// Response headers.
const (
	headerVM           = "Chestnutcleat-VM"
	headerResponseCall = "Chestnutcleat-Call"
)

// defaultRetryDelay is the Retry-After time of calls that may succeed soon.
const defaultRetryDelay = time.Second

// notRunProblem returns a problem with outcome not-run.
func notRunProblem(c chestnutcleat.Code, format string, args ...any) *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(c, chestnutcleat.NotRun, format, args...)
}

// ownerProblem returns the problem of a failed request to an owner: the one that the owner returned, or else owner-unavailable.
func ownerProblem(err error, what string) *chestnutcleat.Problem {
	var p *chestnutcleat.Problem
	if errors.As(err, &p) {
		return p
	}
	return notRunProblem(chestnutcleat.CodeOwnerUnavailable, "the owner of the %s could not be reached", what).WithRetry(defaultRetryDelay)
}

// writeProblem responds with a problem document.
func (h *Handler) writeProblem(w http.ResponseWriter, p *chestnutcleat.Problem) {
	h.countCall(string(p.Code), string(p.Outcome))
	w.Header().Set("Content-Type", typeProblem)
	w.Header().Set("Cache-Control", "no-store")
	if p.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.Retry))))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(max(p.Status, http.StatusBadRequest))
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(p)
}

func (h *Handler) countCall(code, outcome string) {
	h.Metrics.GetOrCreateCounter(fmt.Sprintf("chestnutcleat_calls_total{code=%q,outcome=%q}", code, outcome)).Inc()
}

// methodNotAllowed sets the Allow header and returns a problem with status 405.
func methodNotAllowed(w http.ResponseWriter, allowed string) *chestnutcleat.Problem {
	w.Header().Set("Allow", allowed)
	p := notRunProblem(chestnutcleat.CodeBadRequest, "the path allows %s only", allowed)
	p.Status = http.StatusMethodNotAllowed
	p.Title = http.StatusText(p.Status)
	return p
}
