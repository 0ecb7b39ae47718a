package entry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/place"
)

// maxInstancesTried limits the instances that one request is sent to, including those that declined it.
const maxInstancesTried = 4

// attempt is an exchange with one instance whose response header has been accepted.
type attempt struct {
	assignment *place.Assignment
	response   *exchange.Response
	meta       chestnutcleat.ResponseInfo
}

// Bounds limits what an instance may send in answer to one request, in bytes. Zero means the default.
type Bounds struct {
	// Body limits a response that is passed on once it is complete.
	Body int64
	// Event limits one event of a stream.
	Event int64
	// Output limits the data of all events of a turn that is kept.
	Output int64
}

// Default bounds, in bytes.
const (
	defaultMaxResponse = 4 << 20
	defaultMaxOutput   = 1 << 20
)

// readBody reads the whole response body.
func (c *call) readBody(a *attempt) ([]byte, error) {
	return c.memory.ReadAll(a.response, a.response.Length, cmp.Or(c.Bounds.Body, defaultMaxResponse))
}

// outcome returns the outcome that the status of a complete response means for the instance.
func (a *attempt) outcome() place.Outcome {
	if a.response.Status >= http.StatusInternalServerError {
		return place.InstanceError
	}
	return place.Success
}

// shouldRetryError reports whether the response is an instance's own error that another instance may still avoid.
func (c *call) shouldRetryError(a *attempt) bool {
	return a.outcome() == place.InstanceError && c.route.Repeatable() && c.runs+1 < c.route.MaxAttempts && len(c.tried) < maxInstancesTried
}

// discardError records an instance's own error as a failure, in place of passing the response on.
func (c *call) discardError(a *attempt) *failure {
	c.recordFailure(a.assignment, true, errInstanceError)
	return &failure{mayHaveRun: true, err: errInstanceError}
}

// failure is the error of an exchange without a usable response.
type failure struct {
	// mayHaveRun is set when the instance may have run the request.
	mayHaveRun bool
	err        error
}

func (f *failure) Error() string { return f.err.Error() }

// Errors of exchanges whose response cannot be passed to the caller.
var (
	errNotRun            = errors.New("instance did not run the request")
	errDeparts           = errors.New("instance said that it leaves before the request was sent")
	errRequestIDMismatch = errors.New("answer belongs to another request")
	errUnsigned          = errors.New("answer is not signed")
	errInstanceError     = errors.New("instance answered with an error of its own")
	errUncertainVersion  = errors.New("instance may have been started again at another software version")
)

// pick selects an instance that the request was not sent to yet.
func (c *call) pick(key string) (*place.Assignment, error) {
	if len(c.tried) >= maxInstancesTried {
		return nil, c.noInstance("too many instances were tried")
	}
	assignment := c.pickBegun(key)
	if assignment == nil {
		assignment = c.Instances.Pick(c.instanceRequest(key))
	}
	if assignment == nil {
		return nil, c.noInstance("no instance is left")
	}
	if !c.Crashes.Begin(c.fingerprint) {
		assignment.End(place.Neutral)
		return nil, c.crashing()
	}
	c.tried = append(c.tried, assignment.ID)
	return assignment, nil
}

// pickBegun selects an instance of the software version that is on record for the stream, or returns nil if there is none. Another version
// can deliver nothing before it is on record, too.
func (c *call) pickBegun(key string) *place.Assignment {
	if c.begun == nil || c.version.Load() != nil {
		return nil
	}
	r := c.instanceRequest(key)
	r.Version = c.begun
	return c.Instances.Pick(r)
}

// instanceRequest describes the instances to which the request may be sent.
func (c *call) instanceRequest(key string) place.Request {
	return place.Request{
		Service: c.service, Version: c.version.Load(), Certain: c.begun != nil, Key: key, Exclude: c.tried, Domain: c.Domain,
	}
}

func (c *call) noInstance(reason string) error {
	if c.departing = c.Instances.AllDepart(c.instanceRequest("")); c.departing {
		reason = "all instances leave"
	}
	if c.runs > 0 {
		return problem(chestnutcleat.CodeUpstreamError, chestnutcleat.Unknown, "%s for service %s, and an earlier attempt may have run", reason, c.service)
	}
	return problem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "%s for service %s", reason, c.service).WithRetry(jitteredRetryAfter())
}

// send forwards the request to an instance and reads the header of its response. resume is the id of the last delivered event,
// or negative to keep the one that the caller sent.
func (c *call) send(ctx context.Context, assignment *place.Assignment, body []byte, resume int) (*attempt, *failure) {
	f := chestnutcleat.ForwardInfo{
		Instance: assignment.ID, Customer: c.customerID(), Wait: time.Until(c.deadline), Priority: c.priority(), Resume: resume,
	}
	q := &exchange.Request{
		ID: c.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.Codec.ForwardHeader(c.r.Header, f), Body: body,
		Reserve: c.memory.Add,
	}
	if ctx.Err() != nil {
		return nil, c.endFailed(assignment, &exchange.Error{Err: context.Cause(ctx)})
	}
	c.sent = true
	sentAt := time.Now()
	response, err := c.Pool.Do(ctx, assignment.Address, q)
	if err != nil {
		return nil, c.endFailed(assignment, err)
	}
	usable := false
	defer func() {
		if !usable {
			// The body is not read, so this closes the connection: no second copy of a refusal can be the next response on it.
			response.Close()
		}
	}()
	a := &attempt{assignment: assignment, response: response, meta: c.Codec.DecodeResponse(response.Status, response.Header)}
	c.noteAnswer(a, sentAt)
	if f := c.checkResponse(a); f != nil {
		return nil, f
	}
	usable = true
	return a, nil
}

// endFailed ends an assignment after an exchange without a complete response. If the request's context is still
// valid, it closes the idle connections to the instance and counts a crash if the connection broke after the request was sent.
func (c *call) endFailed(assignment *place.Assignment, err error) *failure {
	var e *exchange.Error
	sent := !errors.As(err, &e) || e.Sent
	outcome := place.ConnectionError
	if c.ctx.Err() != nil || errors.Is(err, memory.ErrExhausted) {
		outcome = place.Neutral
	}
	assignment.End(outcome)
	if outcome == place.ConnectionError {
		if e != nil && e.DialFailed {
			assignment.Unreached()
		}
		c.Pool.CloseIdle(assignment.Address)
		if sent && mayBeCrash(err) {
			c.Crashes.RecordCrash(c.fingerprint)
		}
	}
	c.recordFailure(assignment, sent, err)
	return &failure{mayHaveRun: sent, err: err}
}

// noteAnswer records that the instance answered, and that it leaves if the answer says so. The answers of others that use its address, and
// late copies of answers to other requests, say nothing about it.
func (c *call) noteAnswer(a *attempt, sentAt time.Time) {
	if a.meta.ID != c.ID || a.meta.AddressReused {
		return
	}
	a.assignment.Answered()
	if a.meta.Leaving && a.assignment.MarkLeaving(sentAt) {
		c.Metrics.Departed(DepartureByAnswer)
		c.log(event.InstanceDeparted, "instance", a.assignment.ID, "by", DepartureByAnswer, "status", a.response.Status)
	}
}

// checkResponse returns a failure unless the response is signed and belongs to this request. A refusal without the request's id may
// be a second copy of an earlier one, so the request may run in spite of it.
func (c *call) checkResponse(a *attempt) *failure {
	switch {
	case a.meta.ID != c.ID:
		return c.rejectResponse(a, true, errRequestIDMismatch)
	case a.meta.NotRun:
		return c.rejectResponse(a, false, errNotRun)
	case !a.meta.Signed:
		return c.rejectResponse(a, true, errUnsigned)
	}
	return nil
}

func (c *call) rejectResponse(a *attempt, mayHaveRun bool, err error) *failure {
	outcome := place.InstanceError
	switch {
	case mayHaveRun:
	case a.meta.AddressReused:
		outcome = place.ConnectionError
	default:
		outcome = place.Neutral
	}
	a.assignment.End(outcome)
	c.recordFailure(a.assignment, mayHaveRun, err)
	return &failure{mayHaveRun: mayHaveRun, err: err}
}

func (c *call) recordFailure(assignment *place.Assignment, mayHaveRun bool, err error) {
	if mayHaveRun {
		c.runs++
	}
	if c.r.Context().Err() != nil {
		return
	}
	c.log(event.AttemptFailed, "instance", assignment.ID, "version", assignment.Version, "address", assignment.Address,
		"ran", mayHaveRun, "error", err)
}

// retryOrFail returns nil if the request may be sent to another instance, or else the error for the caller.
func (c *call) retryOrFail(f *failure) error {
	switch {
	case c.r.Context().Err() != nil:
		return errCallerGone
	case c.isInterrupted():
		return c.interrupted()
	case !time.Now().Before(c.deadline):
		return c.deadlineExceeded()
	case !f.mayHaveRun:
		return nil
	case c.route.Repeatable() && c.runs < c.route.MaxAttempts:
		c.log(event.Retried, "tried", len(c.tried))
		return nil
	}
	return problem(chestnutcleat.CodeUpstreamError, chestnutcleat.Unknown, "the instance may have run the request: %v", f.err)
}

// errCallerGone reports that the caller disconnected.
var errCallerGone = errors.New("caller left")

func (c *call) deadlineExceeded() error {
	outcome := chestnutcleat.Unknown
	if c.runs == 0 {
		outcome = chestnutcleat.NotRun
	}
	return problem(chestnutcleat.CodeDeadline, outcome, "no answer within the time that the caller or the route allows")
}

// priority returns the request's priority in an engine's queue, 0 first.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

// copyHeader copies the instance's response header to the caller's response.
func (c *call) copyHeader(a *attempt) http.Header {
	h := c.w.Header()
	for name, values := range c.Codec.ResponseHeader(a.response.Header) {
		h[name] = values
	}
	return h
}
