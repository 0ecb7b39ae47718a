package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

// Violation is a promise that was broken.
type Violation struct {
	At      time.Duration
	Request string
	What    string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	if v.Request == "" {
		return fmt.Sprintf("%.3f s: %s", v.At.Seconds(), v.What)
	}
	return fmt.Sprintf("%.3f s: request %s: %s", v.At.Seconds(), v.Request, v.What)
}

// attempt is one request of a caller and how it ended.
type attempt struct {
	program.Request
	program.Result
	customer string
	// input is what an instance must get: the turns before and the caller's own body.
	input      string
	begun, end time.Duration
}

// served reports whether the attempt ended as its caller wants; a budget that is spent is an answer too.
func (a *attempt) served() bool {
	return a.Whole || a.Status == http.StatusPaymentRequired
}

// promisesNoRun reports whether the answer says that the request has not run.
func (a *attempt) promisesNoRun() bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusPaymentRequired:
		return true
	}
	return false
}

// record keeps all attempts of a run.
type record struct {
	begun time.Time

	mu       sync.Mutex
	attempts []*attempt
	broken   []Violation
}

func (r *record) add(a *attempt) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
	if a.Fault != "" {
		r.violate(a, "%s", a.Fault)
	}
}

// violate notes a promise that an attempt shows to be broken, and fail one that shows in no single attempt.
func (r *record) violate(a *attempt, format string, args ...any) {
	r.note(Violation{At: a.end, Request: a.ID, What: fmt.Sprintf(format, args...)})
}

func (r *record) fail(at time.Duration, format string, args ...any) {
	r.note(Violation{At: at, What: fmt.Sprintf(format, args...)})
}

func (r *record) note(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, v)
}

// check looks at what instances ran, once all attempts have ended.
func (r *record) check(log *instance.Log, p *Plan) []Violation {
	for _, a := range r.attempts {
		runs := log.Of(a.ID)
		if a.promisesNoRun() && len(runs) > 0 {
			r.violate(a, "status %d says that it has not run, but %s ran it", a.Status, runs[0].Instance)
		}
		if !repeatable(a.Path) && len(runs) > 1 {
			r.violate(a, "ran %d times, at %s and %s", len(runs), runs[0].Instance, runs[1].Instance)
		}
		for _, v := range runs {
			if v.Customer != a.customer {
				r.violate(a, "ran for customer %q, sent by %q", v.Customer, a.customer)
			}
			if v.Body != a.input {
				r.violate(a, "%s got %d bytes, expected %d", v.Instance, len(v.Body), len(a.input))
			}
		}
		if a.Status == 0 && p.isQuiet(a.begun, a.end) {
			r.violate(a, "cut without an answer while nothing but planned work went on: %v", a.Err)
		}
	}
	r.checkReturn(p)
	r.checkWithdrawn(log, p)
	r.checkLeft(log, p)
	r.checkRate(log)
	return r.broken
}

// servedAgain is the part of the requests that must be served once the faults are over.
const servedAgain = 0.95

// checkReturn looks whether the fleet is back in the second half of the calm at the end.
func (r *record) checkReturn(p *Plan) {
	served, all := 0, 0
	from := time.Duration(p.Length) - calm/2
	for _, a := range r.attempts {
		if a.begun < from || a.customer == instance.SampleLimited {
			continue
		}
		all++
		if a.served() {
			served++
		}
	}
	if float64(served) < servedAgain*float64(all) || all == 0 {
		r.fail(time.Duration(p.Length), "%d of %d requests are served after the faults", served, all)
	}
}

func repeatable(path string) bool {
	return strings.HasPrefix(path, instance.PathCheck) || strings.HasPrefix(path, instance.PathMoves)
}

// planned are the kinds of faults that must cut no request.
var planned = map[Kind]bool{Stop: true, Reload: true, PlatformDown: true, PlatformLost: true, PlatformDeaf: true, Compact: true, Change: true, Withdraw: true, Leave: true}

// settleTime is how long a fault may show after its end.
const settleTime = 4 * time.Second

// isQuiet reports whether no fault that may cut requests went on or had just ended in a span.
func (p *Plan) isQuiet(from, to time.Duration) bool {
	// Until the fleet has started callers find nobody.
	if from < calm/2 {
		return false
	}
	for _, f := range p.Faults {
		begun, end := f.span()
		if !planned[f.Kind] && begun <= to && from <= end+settleTime {
			return false
		}
	}
	return true
}
