package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// configRetry is when a VM that has no configuration yet is likely to have one.
	configRetry = 500 * time.Millisecond
	// busyRetry is when an instance is likely to have a free place; it is spread, so that callers do not return together.
	busyRetry = 150 * time.Millisecond
	// defaultBody bounds bodies when the configuration does not.
	defaultBody = 4 << 20
	// minBuffer is the first buffer for a body whose size is not known, in bytes.
	minBuffer = 512
	// defaultTimeout bounds requests of routes without a timeout.
	defaultTimeout = time.Minute
)

// Handler serves callers.
type Handler struct {
	Codec chestnutcleat.Codec
	// Config returns the configuration in effect; nil before the first one is known.
	Config   func() *config.Table
	Places   *place.Table
	Pool     *exchange.Pool
	Rates    *rate.Fleet
	Ledger   *ledger.Client
	Turns    *TurnCache
	Suspects *Suspects
	Observer chestnutcleat.Observer
	Metrics  *Metrics
	Domain   chestnutcleat.FailureDomain
	// Memory bounds the bodies that are held at one time, in bytes.
	Memory int64

	held    atomic.Int64
	running atomic.Int64
	leaving atomic.Bool
}

// Leave makes each further answer the last one on its connection.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// call is one request on its way.
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
	body     []byte
	// until is when the answer must be there.
	until time.Time
	// print names the request over its attempts.
	print Fingerprint
	// tried lists the instances that the request was offered to, runs counts those that may have run it.
	tried []chestnutcleat.InstanceID
	runs  int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	// net/http drops a length beside chunks, so what follows may be the rest of the body to another reader: RFC 9112,
	// section 6.3, asks to close the connection.
	if h.leaving.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	c := &call{Handler: h, w: w, r: r}
	err := c.accept()
	if err == nil {
		defer h.held.Add(-int64(len(c.body)))
		ctx, cancel := context.WithDeadline(r.Context(), c.until)
		defer cancel()
		c.ctx = ctx
		if c.route.Type == config.Streaming {
			err = c.stream()
		} else {
			err = c.plain()
		}
	}
	if err != nil {
		c.refuse(err)
	}
}

// accept decides whether the request may run at all.
func (c *call) accept() error {
	q, err := c.Codec.Request(c.r)
	if err != nil {
		return err
	}
	c.Request = q
	c.table = c.Config()
	if c.table == nil {
		return problem(chestnutcleat.CodeNotReady, chestnutcleat.NotRun, "configuration is not known yet").WithRetry(configRetry)
	}
	var ok bool
	if c.route, ok = c.table.Route(q.Host, q.Path); !ok {
		return problem(chestnutcleat.CodeRouteUnknown, chestnutcleat.NotRun, "no route for this host and path at configuration %d", c.table.Number)
	}
	if err := c.identify(); err != nil {
		return err
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.until = q.Until(timeout)
	c.service = c.route.Service(rand.Float64())
	if err := c.readBody(); err != nil {
		return err
	}
	c.print = FingerprintOf(c.customerID(), c.r.Method, c.r.RequestURI, c.body)
	if c.Suspects.Crashes(c.print) {
		return problem(chestnutcleat.CodeCrashing, chestnutcleat.NotRun, "instances broke off %d times while they ran this request", maxBreaks).WithRetry(suspectTime)
	}
	return c.admit()
}

// identify finds the customer that holds the caller's key.
func (c *call) identify() error {
	if c.route.Public || !c.table.Keyed() {
		return nil
	}
	if c.Key == "" {
		return problem(chestnutcleat.CodeKeyMissing, chestnutcleat.NotRun, "the route needs a key")
	}
	var ok bool
	if c.customer, ok = c.table.Key(c.Key); !ok {
		return problem(chestnutcleat.CodeKeyUnknown, chestnutcleat.NotRun, "no customer holds the key at configuration %d", c.table.Number)
	}
	return nil
}

func (c *call) customerID() chestnutcleat.CustomerID {
	if c.customer == nil {
		return ""
	}
	return c.customer.ID
}

// readBody reads the whole body within the limits.
func (c *call) readBody() error {
	limit := c.table.Limits.Body
	if limit <= 0 {
		limit = defaultBody
	}
	size := c.r.ContentLength
	if size > limit {
		return problem(chestnutcleat.CodeTooLarge, chestnutcleat.NotRun, "body of %d bytes is above the limit of %d", size, limit)
	}
	if c.held.Load()+max(size, 0) > c.Memory {
		return problem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "no memory for the body").WithRetry(retryTime())
	}
	if size == 0 {
		return nil
	}
	body := make([]byte, 0, max(size, minBuffer))
	body, err := appendAll(body, http.MaxBytesReader(c.w, c.r.Body, limit))
	c.held.Add(int64(len(body)))
	if err != nil {
		c.held.Add(-int64(len(body)))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return problem(chestnutcleat.CodeTooLarge, chestnutcleat.NotRun, "body is above the limit of %d bytes", limit)
		}
		return problem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "body could not be read: %v", err)
	}
	c.body = body
	return nil
}

// appendAll reads r to its end; unlike io.ReadAll it begins with a buffer of the right size.
func appendAll(b []byte, r io.Reader) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// admit counts the request against its customer's rate.
func (c *call) admit() error {
	if c.customer == nil {
		return nil
	}
	ok, retry := c.Rates.Admit(c.r.Context(), c.customer.ID)
	if !ok {
		return problem(chestnutcleat.CodeRate, chestnutcleat.NotRun, "customer %s is above its rate", c.customer.ID).WithRetry(max(retry, retryTime()))
	}
	return nil
}

// retryTime spreads the return of refused callers.
func retryTime() time.Duration {
	return busyRetry + time.Duration(rand.Int64N(int64(busyRetry)))
}

func problem(code chestnutcleat.Code, o chestnutcleat.Outcome, format string, args ...any) *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(code, o, format, args...)
}

// refuse answers with a problem.
func (c *call) refuse(err error) {
	var p *chestnutcleat.Problem
	if !errors.As(err, &p) {
		p = problem(chestnutcleat.CodeInternal, chestnutcleat.Unknown, "%v", err)
	}
	c.Metrics.refused(p.Code)
	c.log(event.Refused, "code", p.Code, "status", p.Status, "outcome", p.Outcome, "detail", p.Detail, "retry", p.Retry)
	c.Codec.Refuse(c.w, p)
}

// log writes a line about the request.
func (c *call) log(id chestnutcleat.EventID, attributes ...any) {
	if c.Request != nil {
		attributes = append(attributes, "request", c.ID, "program", c.Program, "age", time.Since(c.Received).Milliseconds(), "runs", c.runs)
	}
	if c.route != nil {
		attributes = append(attributes, "route", c.route.Name, "customer", c.customerID(), "config", c.table.Number)
	}
	c.Observer.Emit(id, attributes...)
}
