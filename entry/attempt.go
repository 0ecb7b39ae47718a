package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/exchange"
	"chestnutcleat.example/chestnutcleat/place"
)

// maxOffers bounds the instances that one request is offered to, those that turned it down included.
const maxOffers = 4

// attempt is one exchange with an instance.
type attempt struct {
	use      *place.Use
	response *exchange.Response
	answered chestnutcleat.Answered
}

// maxPlain bounds the first buffer for an answer that is held until it is whole, in bytes.
const maxPlain = 16 << 20

// whole reads the body of an answer that is passed on at once.
func (a *attempt) whole() ([]byte, error) {
	return appendAll(make([]byte, 0, max(minBuffer, min(a.response.Length+1, maxPlain))), a.response)
}

// verdict is what the status of a whole answer says about its instance.
func (a *attempt) verdict() place.Verdict {
	if a.response.Status >= http.StatusInternalServerError {
		return place.Erred
	}
	return place.Sound
}

// again reports whether an instance's own error is better answered by another instance than passed on.
func (c *call) again(a *attempt) bool {
	return a.verdict() == place.Erred && c.route.Repeatable() && c.runs+1 < c.route.Attempts && len(c.tried) < maxOffers
}

// passOver leaves an instance's own error to another one to do better.
func (c *call) passOver(a *attempt) *failure {
	c.failed(a.use, true, errInstance)
	return &failure{ran: true, err: errInstance}
}

// failure is an exchange without a usable answer.
type failure struct {
	// ran is set when the instance may have run the request.
	ran bool
	err error
}

func (f *failure) Error() string { return f.err.Error() }

// Errors of exchanges that ended with an answer which can't be passed on.
var (
	errNotRun   = errors.New("instance did not run the request")
	errCrossed  = errors.New("answer belongs to another request")
	errUnsigned = errors.New("answer is not signed")
	errInstance = errors.New("instance answered with an error of its own")
)

// pick chooses an instance that the request was not offered to yet.
func (c *call) pick(key string) (*place.Use, error) {
	if len(c.tried) >= maxOffers {
		return nil, c.noInstance("instances turned the request down")
	}
	use := c.Places.Pick(place.Want{Service: c.service, Key: key, Avoid: c.tried, Domain: c.Domain})
	if use == nil {
		return nil, c.noInstance("no instance is left")
	}
	c.tried = append(c.tried, use.ID)
	return use, nil
}

func (c *call) noInstance(why string) error {
	if c.runs > 0 {
		return problem(chestnutcleat.CodeUpstreamError, chestnutcleat.Unknown, "%s of service %s after it may have run", why, c.service)
	}
	return problem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "%s of service %s", why, c.service).WithRetry(retryTime())
}

// send offers the request to an instance and reads the header of its answer.
func (c *call) send(ctx context.Context, use *place.Use, body []byte, resume int) (*attempt, *failure) {
	f := chestnutcleat.Forward{
		Instance: use.ID, Customer: c.customerID(), Wait: time.Until(c.until), Priority: c.priority(), Resume: resume,
	}
	q := &exchange.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.Codec.Forward(c.r.Header, f), Body: body,
	}
	response, err := c.Pool.Do(ctx, use.Address, q)
	if err != nil {
		return nil, c.broke(use, err)
	}
	a := &attempt{use: use, response: response, answered: c.Codec.Answer(response.Status, response.Header)}
	if f := c.judge(a); f != nil {
		response.Close()
		return nil, f
	}
	return a, nil
}

// broke ends the use of an instance after an exchange without an answer.
func (c *call) broke(use *place.Use, err error) *failure {
	var e *exchange.Error
	sent := !errors.As(err, &e) || e.Sent
	verdict := place.Failed
	if c.ctx.Err() != nil {
		verdict = place.Unclear
	}
	use.End(verdict)
	if verdict == place.Failed {
		c.Pool.Forget(use.Address)
		if sent {
			c.Suspects.Broke(c.print)
		}
	}
	c.failed(use, sent, err)
	return &failure{ran: sent, err: err}
}

// judge decides whether an answer may be passed on.
func (c *call) judge(a *attempt) *failure {
	switch {
	case a.answered.ID != "" && a.answered.ID != c.ID:
		return c.reject(a, true, errCrossed)
	case a.answered.NotRun:
		return c.reject(a, false, errNotRun)
	case a.answered.ID == "" || !a.answered.Signed:
		return c.reject(a, true, errUnsigned)
	}
	return nil
}

func (c *call) reject(a *attempt, ran bool, err error) *failure {
	verdict := place.Erred
	switch {
	case a.answered.Moved:
		verdict = place.Failed
	case a.answered.NotRun:
		verdict = place.Unclear
	}
	a.use.End(verdict)
	c.failed(a.use, ran, err)
	return &failure{ran: ran, err: err}
}

func (c *call) failed(use *place.Use, ran bool, err error) {
	if ran {
		c.runs++
	}
	if c.r.Context().Err() != nil {
		return
	}
	c.log(event.Broken, "instance", use.ID, "address", use.Address, "ran", ran, "error", err)
}

// after decides what follows a failed exchange: nil to try another instance, or the answer to the caller.
func (c *call) after(f *failure) error {
	switch {
	case c.r.Context().Err() != nil:
		return errAbandoned
	case !time.Now().Before(c.until):
		return c.late()
	case !f.ran:
		return nil
	case c.route.Repeatable() && c.runs < c.route.Attempts:
		c.log(event.Retried, "tried", len(c.tried))
		return nil
	}
	return problem(chestnutcleat.CodeUpstreamError, chestnutcleat.Unknown, "the instance may have run the request: %v", f.err)
}

// errAbandoned reports that the caller left.
var errAbandoned = errors.New("caller left")

func (c *call) late() error {
	outcome := chestnutcleat.Unknown
	if c.runs == 0 {
		outcome = chestnutcleat.NotRun
	}
	return problem(chestnutcleat.CodeDeadline, outcome, "no answer within the time that the caller or the route allows")
}

// priority is the request's place in an engine's queue.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority != nil {
		return *c.customer.Priority
	}
	return c.route.Priority
}

// header passes an instance's header on.
func (c *call) header(a *attempt) http.Header {
	h := c.w.Header()
	for name, values := range c.Codec.AnswerHeader(a.response.Header) {
		h[name] = values
	}
	return h
}
