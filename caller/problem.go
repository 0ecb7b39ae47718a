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
	headerVM      = "Chestnutcleat-VM"
	headerCallOut = "Chestnutcleat-Call"
)

// retryDefault is when a call that could not be admitted makes sense again.
const retryDefault = time.Second

// refusal returns a problem of a call that did not run.
func refusal(c chestnutcleat.Code, format string, args ...any) *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(c, chestnutcleat.NotRun, format, args...)
}

// ownerProblem returns the problem of a failed request to an owner; a problem that the owner answered is kept.
func ownerProblem(err error, what string) *chestnutcleat.Problem {
	var p *chestnutcleat.Problem
	if errors.As(err, &p) {
		return p
	}
	return refusal(chestnutcleat.CodeOwnerLost, "the owner of the %s could not be reached", what).WithRetry(retryDefault)
}

// refuse writes a problem document.
func (h *Handler) refuse(w http.ResponseWriter, p *chestnutcleat.Problem) {
	h.count(string(p.Code), string(p.Outcome))
	w.Header().Set("Content-Type", typeProblem)
	w.Header().Set("Cache-Control", "no-store")
	if p.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.Retry))))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(max(p.Status, http.StatusBadRequest))
	// A failed write means that the caller left.
	_ = json.NewEncoder(w).Encode(p)
}

func (h *Handler) count(code, outcome string) {
	h.Metrics.GetOrCreateCounter(fmt.Sprintf("chestnutcleat_calls_total{code=%q,outcome=%q}", code, outcome)).Inc()
}

// notAllowed refuses a method.
func notAllowed(w http.ResponseWriter, allowed string) *chestnutcleat.Problem {
	w.Header().Set("Allow", allowed)
	p := refusal(chestnutcleat.CodeBadRequest, "the path allows %s only", allowed)
	p.Status = http.StatusMethodNotAllowed
	p.Title = http.StatusText(p.Status)
	return p
}
