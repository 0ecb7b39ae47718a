package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/memory"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// configRetryAfter is the time after which a VM without a configuration is likely to have one.
	configRetryAfter = 500 * time.Millisecond
	// defaultMaxBody is the limit of request bodies, in bytes, when the configuration sets none.
	defaultMaxBody = 4 << 20
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = time.Minute
)

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
	c.deadline = q.Deadline(c.routeTimeout())
	c.service = c.route.PickService(rand.Float64())
	if err := c.readRequestBody(); err != nil {
		return err
	}
	if err := c.checkDrain(); err != nil {
		return err
	}
	c.fingerprint = FingerprintOf(c.customerID(), c.r.Method, c.r.RequestURI, c.Previous, c.body)
	if c.Crashes.Blocked(c.fingerprint) {
		return c.crashing()
	}
	return c.checkRate()
}

// crashing returns the error for a request that is blocked since it crashes instances.
func (c *call) crashing() error {
	if c.runs > 0 {
		return problem(chestnutcleat.CodeUpstreamError, chestnutcleat.Unknown, "the request is blocked after attempts that may have run: at least %d instances failed while they ran it", crashThreshold)
	}
	p := problem(chestnutcleat.CodeCrashing, chestnutcleat.NotRun, "the request is blocked: at least %d instances failed while they ran it", crashThreshold)
	return p.WithRetry(c.Crashes.RetryAfter(c.fingerprint))
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

// routeTimeout returns the longest time that the route allows for a request.
func (c *call) routeTimeout() time.Duration {
	if c.route.Timeout <= 0 {
		return defaultTimeout
	}
	return c.route.Timeout
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
		c.bodyRead = true
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
	c.body, c.bodyRead = body, true
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
	return c.route.Type == config.Streaming && c.Previous == "" && !c.TakesUp()
}
