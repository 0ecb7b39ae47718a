package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// busyRetryAfter is the time after which an instance is likely to have a free slot. It is jittered, so that refused callers
	// do not retry in step.
	busyRetryAfter = 150 * time.Millisecond
	// refusedBodyTimeout is how long a refusal waits for the rest of the request's body.
	refusedBodyTimeout = time.Second
)

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
	if c.r.ContentLength != 0 && !c.bodyRead {
		// net/http reads what is left of a small body before it sends the response. Connections that support no deadline do so without.
		// After the body, net/http watches the connection by a read, and a deadline that ends this one ends all later requests, too.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
	c.Metrics.refused(p.Code)
	attributes := []any{"code", p.Code, "status", p.Status, "outcome", p.Outcome, "detail", p.Detail, "retry", p.Retry}
	if c.departing {
		attributes = append(attributes, "departing", true)
	}
	c.log(event.Refused, attributes...)
	c.headerSent = true
	c.Codec.WriteProblem(c.w, p)
}
