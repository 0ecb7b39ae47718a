package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/guard"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
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
	// ConfirmInstances returns an error unless Instances has been followed up to now; nil stands for no error.
	ConfirmInstances func(ctx context.Context) error
	// OnPanic is called with the panic of a request that ended in one; nil means that it is dropped.
	OnPanic func(err error)

	inFlight  atomic.Int64
	drain     atomic.Pointer[accept.Drain]
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
	cancel   context.CancelCauseFunc
	table    *config.Table
	route    *config.Route
	customer *config.Customer
	service  chestnutcleat.ServiceName
	// version is the software version that must serve the request; nil for any. It is atomic because timers read it as well.
	version atomic.Pointer[chestnutcleat.SoftwareVersion]
	// begun is the software version that was last recorded for a stream, before its first event; nil without a record.
	begun *chestnutcleat.SoftwareVersion
	body  []byte
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	// memory is what the bodies of the request and its answer take.
	memory memory.Reservation
	// admission is the rate limiter's admission of the request, nil without one.
	admission *rate.Admission
	// sent is set once the request was sent to an instance.
	sent bool
	// headerSent is set once the header of the response is written.
	headerSent bool
	// deadline is when the caller stops waiting or the route's timeout ends, whichever is first.
	deadline time.Time
	// fingerprint identifies the request across its attempts.
	fingerprint Fingerprint
	// tried lists the instances that the request was sent to; runs counts those that may have run it.
	tried []chestnutcleat.InstanceID
	runs  int
	// departing is set once the request found no instance, as all of its service leave.
	departing bool
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
	if err := guard.Call(c.serve); err != nil {
		c.answerPanic(err)
	}
}

// serve responds to the request.
func (c *call) serve() {
	err := c.prepare()
	if err == nil {
		ctx, end := context.WithDeadline(c.r.Context(), c.deadline)
		defer end()
		c.ctx, c.cancel = context.WithCancelCause(ctx)
		defer c.cancel(nil)
		c.forwarded.add(c)
		defer c.forwarded.remove(c)
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

// answerPanic ends a request that ended in a panic: with an error, unless part of the answer was sent or the panic closes the connection.
func (c *call) answerPanic(err error) {
	var p *guard.Panic
	if errors.As(err, &p) && p.Value == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	if c.headerSent {
		err = errors.Join(err, c.resetUnlessFramed())
	}
	if c.OnPanic != nil {
		c.OnPanic(err)
	}
	if c.headerSent {
		panic(http.ErrAbortHandler)
	}
	// An instance's headers may be set already, and its signature says that the answer is its own.
	clear(c.w.Header())
	c.w.Header().Set("Connection", "close")
	outcome := chestnutcleat.NotRun
	if c.sent {
		outcome = chestnutcleat.Unknown
	}
	c.refuse(problem(chestnutcleat.CodeInternal, outcome, "the VM failed to handle the request"))
}

// writeHeader begins the response.
func (c *call) writeHeader(status int) {
	c.headerSent = true
	c.w.WriteHeader(status)
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
