package operator

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
	"chestnutcleat.example/chestnutcleat/manifest"
)

// retryDelay is the recommended delay before a change is retried after the platform was unavailable.
const retryDelay = 5 * time.Second

// problemOf returns the problem document for an error; an unexpected error has an unknown outcome.
func problemOf(err error) Problem {
	var problem *chestnutcleat.Problem
	var invalidFields document.Errors
	var conflict *manifest.ConflictError
	var unavailable *manifest.UnavailableError
	var unresolved *manifest.UnresolvedError
	var invalid *manifest.InvalidError
	switch {
	case errors.As(err, &problem):
		return Problem{Problem: problem}
	case errors.As(err, &invalidFields):
		return Problem{Problem: newProblem(chestnutcleat.CodeInvalid, chestnutcleat.NotRun, "%d errors", len(invalidFields)), Errors: invalidFields}
	case errors.As(err, &conflict):
		p := newProblem(chestnutcleat.CodeConflict, chestnutcleat.NotRun, "the current revision is %d by %q", conflict.Revision, conflict.Who)
		return Problem{Problem: p, Revision: conflict.Revision, Who: conflict.Who, Diff: conflict.Diff}
	case errors.As(err, &unresolved):
		p := newProblem(chestnutcleat.CodeOutcomeUnknown, chestnutcleat.Unknown, "%v", err).WithRetry(retryDelay)
		return Problem{Problem: p, Change: unresolved.Change}
	case errors.As(err, &unavailable):
		return Problem{Problem: newProblem(chestnutcleat.CodePlatformUnavailable, chestnutcleat.NotRun, "%v", err).WithRetry(retryDelay)}
	case errors.As(err, &invalid):
		return Problem{Problem: newProblem(chestnutcleat.CodeInvalid, chestnutcleat.NotRun, "%v", err)}
	}
	return Problem{Problem: newProblem(chestnutcleat.CodeInternal, chestnutcleat.Unknown, "%v", err)}
}

var newProblem = chestnutcleat.NewProblem

func writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.Retry))))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}
