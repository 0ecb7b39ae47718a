package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// configRetryAfter is the time after which a VM without a configuration is likely to have one.
	configRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the time after which an instance is likely to have a free slot. It is jittered, so that refused callers
	// do not retry in step.
	busyRetryAfter = 150 * time.Millisecond
	// defaultMaxBody is the limit of request bodies, in bytes, when the configuration sets none.
	defaultMaxBody = 4 << 20
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = time.Minute
	// refusedBodyTimeout is how long a refusal waits for the rest of the request's body.
	refusedBodyTimeout = time.Second
)

// Handler is the http.Handler for callers' requests.
type Handler struct {
	Codec chestnutcleat.Codec
	// Config returns the configuration in effect, or nil before the first one is loaded.
	Config    func() *config.Table
	Instances *place.Table
	Pool      *exchange.Pool
	Rates     *rate.Limiter
	Ledger    *ledger.Client
	Crashes   *CrashTracker
	Observer  chestnutcleat.Observer
	Metrics   *Metrics
	Domain    chestnutcleat.FailureDomain
	// Memory is shared by the bodies of all requests and answers in progress.
	Memory *memory.Budget
	// Bounds limits the answers of instances.
	Bounds Bounds

	inFlight  atomic.Int64
	drain     atomic.Pointer[drain]
	forwarded forwardedCalls
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// call is the state of one caller request.
type call struct {
	*Handler
	*chestnutcleat.Request
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	table    *config.Table
	route    *config.Route
	customer *config.Customer
	service  chestnutcleat.ServiceName
	// version is the software version that must serve the request; nil for any. It is atomic because timers read it as well.
	version atomic.Pointer[chestnutcleat.SoftwareVersion]
	body    []byte
	// memory is what the bodies of the request and its answer take.
	memory memory.Reservation
	// admission is the rate limiter's admission of the request, nil without one.
	admission *rate.Admission
	// sent is set once the request was sent to an instance.
	sent bool
	// deadline is when the caller stops waiting or the route's timeout ends, whichever is first.
	deadline time.Time
	// fingerprint identifies the request across its attempts.
	fingerprint Fingerprint
	// tried lists the instances that the request was sent to; runs counts those that may have run it.
	tried []chestnutcleat.InstanceID
	runs  int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	// net/http ignores Content-Length if Transfer-Encoding is set too. Another server may frame such a message differently and
	// take what follows for the rest of the body (request smuggling), so RFC 9112, section 6.3, requires closing the connection.
	if h.drain.Load() != nil || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	c := &call{Handler: h, w: w, r: r, memory: memory.Reservation{Budget: h.Memory}}
	defer c.release()
	err := c.prepare()
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		c.ctx = ctx
		h.forwarded.add(c)
		defer h.forwarded.remove(c)
		if c.route.Type == config.Streaming {
			err = c.serveStream()
		} else {
			err = c.serveBuffered()
		}
	}
	if err != nil {
		c.refuse(err)
	}
}

// release returns what the request holds of limits.
func (c *call) release() {
	c.memory.Release()
	if c.admission == nil {
		return
	}
	if !c.sent {
		c.Rates.Refund(*c.admission)
	}
	c.Rates.End(*c.admission)
}

// prepare decodes and routes the request, reads its body and returns an error if it must not be forwarded.
func (c *call) prepare() error {
	q, err := c.Codec.DecodeRequest(c.r)
	if err != nil {
		return err
	}
	c.Request = q
	c.table = c.Config()
	if c.table == nil {
		return problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "no configuration has been loaded yet").WithRetry(configRetryAfter)
	}
	var ok bool
	if c.route, ok = c.table.MatchRoute(q.Host, q.Path); !ok {
		return c.routeUnknown()
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = q.Deadline(timeout)
	c.service = c.route.PickService(rand.Float64())
	if err := c.readRequestBody(); err != nil {
		return err
	}
	if err := c.checkDrain(); err != nil {
		return err
	}
	c.fingerprint = FingerprintOf(c.customerID(), c.r.Method, c.r.RequestURI, c.Previous, c.body)
	if c.Crashes.Blocked(c.fingerprint) {
		return problem(chestnutcleat.CodeCrashing, chestnutcleat.NotRun, "the request is blocked: at least %d instances failed while they ran it", crashThreshold).WithRetry(crashWindow)
	}
	return c.checkRate()
}

// routeUnknown returns the error for a request that no route matches.
func (c *call) routeUnknown() error {
	if c.Previous != "" {
		// A turn was stored for it, so another VM knows a route: this VM's configuration may be behind.
		p := problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "turn %s has no route at configuration %d, which may be behind", c.Previous, c.table.Number)
		return p.WithRetry(configRetryAfter)
	}
	return problem(chestnutcleat.CodeRouteUnknown, chestnutcleat.NotRun, "no route for this host and path at configuration %d", c.table.Number)
}

// authenticate finds the customer that holds the caller's key.
func (c *call) authenticate() error {
	if c.route.Public || !c.table.RequiresKey() {
		return nil
	}
	if c.Key == "" {
		return problem(chestnutcleat.CodeKeyMissing, chestnutcleat.NotRun, "the route requires a key")
	}
	var ok bool
	if c.customer, ok = c.table.CustomerByKey(c.Key); !ok {
		return problem(chestnutcleat.CodeKeyUnknown, chestnutcleat.NotRun, "key is unknown in configuration %d", c.table.Number)
	}
	return nil
}

func (c *call) customerID() chestnutcleat.CustomerID {
	if c.customer == nil {
		return ""
	}
	return c.customer.ID
}

// readRequestBody reads the whole body of the request, within the limits on size, time and memory.
func (c *call) readRequestBody() error {
	limit := c.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	size := c.r.ContentLength
	if size > limit {
		return problem(chestnutcleat.CodeTooLarge, chestnutcleat.NotRun, "body of %d bytes exceeds the limit of %d bytes", size, limit)
	}
	if size == 0 {
		return nil
	}
	// The error is ignored: connections that support no deadline are read without one.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	body, err := c.memory.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), size, limit)
	if err != nil {
		return bodyError(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// bodyError returns the error for a caller whose request body could not be read.
func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem(chestnutcleat.CodeTooLarge, chestnutcleat.NotRun, "body exceeds the limit of %d bytes", limit)
	case errors.Is(err, memory.ErrExhausted):
		return outOfMemory(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem(chestnutcleat.CodeDeadline, chestnutcleat.NotRun, "the request body did not arrive within the time that the caller or the route allows")
	}
	return problem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "cannot read the request body: %v", err)
}

// outOfMemory returns the error for a request that was not sent to an instance for lack of memory.
func outOfMemory(err error) error {
	return problem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "%v", err).WithRetry(jitteredRetryAfter())
}

// checkRate counts the request against its customer's rate limit.
func (c *call) checkRate() error {
	if c.customer == nil {
		return nil
	}
	q := rate.Request{Customer: c.customer.ID, Program: c.Program, Start: c.mayStartProgram()}
	m := c.Rates.Admit(c.r.Context(), q)
	switch m.Verdict {
	case rate.OverRate:
		return problem(chestnutcleat.CodeRate, chestnutcleat.NotRun, "customer %s exceeds its rate limit", c.customer.ID).WithRetry(max(m.Retry, jitteredRetryAfter()))
	case rate.TooManyPrograms:
		return problem(chestnutcleat.CodePrograms, chestnutcleat.NotRun, "the rate limit of customer %s carries no further program", c.customer.ID).WithRetry(m.Retry)
	}
	c.admission = &m
	return nil
}

// mayStartProgram reports whether the request may be the first one of its program: a turn that continues no stored one.
func (c *call) mayStartProgram() bool {
	return c.route.Type == config.Streaming && c.Previous == "" && c.Resume == 0
}

// jitteredRetryAfter returns busyRetryAfter plus up to as much jitter.
func jitteredRetryAfter() time.Duration {
	return busyRetryAfter + time.Duration(rand.Int64N(int64(busyRetryAfter)))
}

func problem(code chestnutcleat.Code, o chestnutcleat.Outcome, format string, args ...any) *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(code, o, format, args...)
}

// refuse responds with a problem document.
func (c *call) refuse(err error) {
	var p *chestnutcleat.Problem
	if !errors.As(err, &p) {
		p = problem(chestnutcleat.CodeInternal, chestnutcleat.Unknown, "%v", err)
	}
	if c.r.ContentLength != 0 {
		// net/http reads what is left of a small body before it sends the response. Connections that support no deadline do so without.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
	c.Metrics.refused(p.Code)
	c.log(event.Refused, "code", p.Code, "status", p.Status, "outcome", p.Outcome, "detail", p.Detail, "retry", p.Retry)
	c.Codec.WriteProblem(c.w, p)
}

// log emits an event with the attributes of the request.
func (c *call) log(id chestnutcleat.EventID, attributes ...any) {
	if c.Request != nil {
		attributes = append(append(attributes, c.identity()...), "runs", c.runs)
		if c.TakesUp() {
			attributes = append(attributes, "resumes", c.Resumes, "last", c.Resume)
		}
	}
	if c.route != nil {
		attributes = append(attributes, "route", c.route.Name, "customer", c.customerID(), "config", c.table.Number)
	}
	c.Observer.Emit(id, attributes...)
}

// identity returns the attributes that identify the request and the turn that it continues.
func (c *call) identity() []any {
	list := []any{"request", c.ID, "program", c.Program, "age", time.Since(c.Received).Milliseconds()}
	if c.Previous != "" {
		list = append(list, "previous", c.Previous)
	}
	return list
}
