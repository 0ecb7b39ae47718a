package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

// Violation is a guarantee of the system that did not hold.
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

// attempt is one request of a caller and its result.
type attempt struct {
	program.Request
	program.Result
	customer string
	// input is what the instance must receive: the earlier turns, then the caller's own body.
	input      string
	start, end time.Duration
}

// served reports whether the attempt ended as its caller expects, which status 402 (budget exhausted) does too.
func (a *attempt) served() bool {
	return a.Complete || a.Status == http.StatusPaymentRequired
}

// reportsNotRun reports whether the status says that the request has not run.
func (a *attempt) reportsNotRun() bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusPaymentRequired:
		return true
	}
	return false
}

// recorder collects the attempts and violations of a run.
type recorder struct {
	start time.Time

	mu         sync.Mutex
	attempts   []*attempt
	violations []Violation
}

func (r *recorder) addAttempt(a *attempt) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
	if a.Mismatch != "" {
		r.addAttemptViolation(a, "%s", a.Mismatch)
	}
}

// addAttemptViolation records a violation that one attempt shows, and addRunViolation one that no single attempt shows.
func (r *recorder) addAttemptViolation(a *attempt, format string, args ...any) {
	r.addViolation(Violation{At: a.end, Request: a.ID, What: fmt.Sprintf(format, args...)})
}

func (r *recorder) addRunViolation(at time.Duration, format string, args ...any) {
	r.addViolation(Violation{At: at, What: fmt.Sprintf(format, args...)})
}

func (r *recorder) addViolation(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

// check compares the attempts with what the instances ran; it is called when all attempts have ended.
func (r *recorder) check(log *instance.Log, p *Plan) {
	for _, a := range r.attempts {
		runs := log.Runs(a.ID)
		if a.reportsNotRun() && len(runs) > 0 {
			r.addAttemptViolation(a, "status %d says that it has not run, but %s ran it", a.Status, runs[0].Instance)
		}
		if !repeatable(a.Path) && len(runs) > 1 {
			r.addAttemptViolation(a, "ran %d times, at %s and %s", len(runs), runs[0].Instance, runs[1].Instance)
		}
		for _, v := range runs {
			if v.Customer != a.customer {
				r.addAttemptViolation(a, "ran for customer %q, sent by %q", v.Customer, a.customer)
			}
			if v.Body != a.input {
				r.addAttemptViolation(a, "%s got %d bytes, expected %d", v.Instance, len(v.Body), len(a.input))
			}
		}
		r.checkInterrupted(a, p)
		r.checkEnded(a, runs, p)
	}
	r.checkRecovery(p)
	r.checkWithdrawnKey(log, p)
	r.checkDrained(log, p)
	r.checkRateLimit(log)
}

// checkInterrupted finds answers that are missing, cut or replaced by an error while no disruptive fault was active. The end of an
// attempt whose deadline has come is no interruption.
func (r *recorder) checkInterrupted(a *attempt, p *Plan) {
	switch {
	case !a.interrupted() || !p.isUndisturbed(a.start, a.end):
	case a.Status == 0:
		r.addAttemptViolation(a, "connection ended without an answer although no disruptive fault was active: %v", a.Err)
	case a.end-a.start < a.Timeout && !p.isActive(UnframedAnswers, a.start, a.end):
		r.addAttemptViolation(a, "answer with status %d and %d events was cut or failed although no disruptive fault was active: %v", a.Status, a.Events, a.Err)
	}
}

// interrupted reports whether the attempt has no answer, a part of one, or an error of the VM or of the instance in place of one.
func (a *attempt) interrupted() bool {
	switch a.Status {
	case 0, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	case http.StatusOK:
		return !a.Complete && a.Mismatch == ""
	}
	return false
}

const (
	// maxExtraWait is how much more time than the caller's an instance may be given.
	maxExtraWait = 500 * time.Millisecond
	// maxLateEnd is how long after the time that the VM gave an instance an answer may end.
	maxLateEnd = time.Second
)

// checkEnded finds attempts of which instances were given more time than the caller allows, and those that had not ended in the time
// that the first instance was given. A request that a VM has not read yet has no deadline there, so the time counts from its first run.
// A pause of any VM excuses a late end.
func (r *recorder) checkEnded(a *attempt, runs []instance.Run, p *Plan) {
	for _, run := range runs {
		if run.Wait > a.Timeout+maxExtraWait || run.Wait == 0 {
			r.addAttemptViolation(a, "%s was given %v for it, the caller waits %v", run.Instance, run.Wait, a.Timeout)
		}
	}
	if len(runs) == 0 || p.isActive(Pause, a.start, a.end) {
		return
	}
	due := runs[0].At.Add(min(runs[0].Wait, a.Timeout)).Sub(r.start)
	if a.end > due+maxLateEnd {
		r.addAttemptViolation(a, "ended %v after its deadline: %v", a.end-due, a.Err)
	}
}

// isActive reports whether a fault of a kind was active in a span of time.
func (p *Plan) isActive(k FaultKind, from, to time.Duration) bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool {
		start, end := f.span()
		return f.Kind == k && start <= to && from <= end+settleTime
	})
}

// minServedShare is the fraction of requests that must be served once the faults are over.
const minServedShare = 0.95

// checkRecovery checks that the fleet serves requests again in the second half of the quiet period at the end.
func (r *recorder) checkRecovery(p *Plan) {
	served, all := 0, 0
	from := time.Duration(p.Length) - quietPeriod/2
	for _, a := range r.attempts {
		if a.start < from || a.customer == instance.SampleLimited {
			continue
		}
		all++
		if a.served() {
			served++
		}
	}
	if float64(served) < minServedShare*float64(all) || all == 0 {
		r.addRunViolation(time.Duration(p.Length), "%d of %d requests are served after the faults", served, all)
	}
}

func repeatable(path string) bool {
	return strings.HasPrefix(path, instance.PathIdempotent) || strings.HasPrefix(path, instance.PathResumable)
}

// nonDisruptive are the kinds of faults that must not interrupt any request; instances that answer slowly do so within the deadline.
var nonDisruptive = map[FaultKind]bool{
	Stop: true, Release: true, AddRoutes: true, ReloadSettings: true, PlatformDown: true, PlatformLoseAnswers: true, PlatformStallWatches: true, PlatformCompact: true,
	MalformedMessages: true, DelayAnswers: true, ChangeConfiguration: true, WithdrawKey: true, DrainInstance: true, LeavingAnswers: true, UnframedAnswers: true, OddEntries: true,
}

// settleTime is how long a fault may have effects after its end.
const settleTime = 4 * time.Second

// isUndisturbed reports whether no disruptive fault was active, or had just ended, in a span of time.
func (p *Plan) isUndisturbed(from, to time.Duration) bool {
	// While the fleet starts, callers find no VM.
	if from < quietPeriod/2 {
		return false
	}
	for _, f := range p.Faults {
		start, end := f.span()
		if !nonDisruptive[f.Kind] && start <= to && from <= end+settleTime {
			return false
		}
	}
	return true
}
