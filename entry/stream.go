package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/sse"
)

const (
	// stall is how many times its objective, or its longest pause, a resumable stream waits for one instance.
	stall = 3
	// minStall keeps short objectives from leaving an instance that is only busy.
	minStall = 600 * time.Millisecond
	// streamBuffer holds a few events.
	streamBuffer = 4 << 10
)

// unsettled is no number of tokens.
const unsettled chestnutcleat.Tokens = -1

// turn is a stream on its way to the caller.
type turn struct {
	*call
	// input is what the instance gets: the chain of kept turns and the caller's own body.
	input []byte
	// last is the id of the last event that was delivered; -1 before any.
	last int
	// events is the number of events delivered.
	events int
	// output is the data of all events, each with a line feed, on routes that keep turns.
	output []byte
	// settled is what the reservation was replaced by; unsettled while it stands.
	settled chestnutcleat.Tokens
	// begun is set once the header was sent.
	begun   bool
	flusher *http.ResponseController
	first   time.Duration
}

// stream serves a request whose answer is a series of events.
func (c *call) stream() error {
	t := &turn{call: c, input: c.body, last: -1, settled: unsettled, flusher: http.NewResponseController(c.w)}
	if c.route.Kept && c.Previous != "" {
		if err := t.prepend(); err != nil {
			return c.end(err)
		}
	}
	if err := t.reserve(); err != nil {
		return c.end(err)
	}
	err := t.run()
	t.settle()
	if err == nil {
		return nil
	}
	if t.begun {
		// The header is out, so only a cut connection tells the caller that the stream is not whole.
		c.log(event.Broken, "events", t.events, "error", err)
		panic(http.ErrAbortHandler)
	}
	return c.end(err)
}

// run offers the turn to instances until the stream is whole.
func (t *turn) run() error {
	for {
		use, err := t.pick(t.key())
		if err != nil {
			return err
		}
		f := t.pass(use)
		if f == nil {
			return nil
		}
		if err := t.after(f); err != nil {
			return err
		}
		if t.begun {
			t.log(event.Resumed, "events", t.events)
		}
	}
}

// key keeps a program's turns, and those of its sub-agents, at one instance.
func (t *turn) key() string {
	if t.Program != "" {
		return string(t.customerID()) + "/" + string(t.Program)
	}
	if t.Affinity != "" {
		return t.Affinity
	}
	if n := len(t.Prefix); n > 0 {
		return t.Prefix[0].ID
	}
	return string(t.ID)
}

// pass offers the turn to one instance and passes its events on.
func (t *turn) pass(use *place.Use) *failure {
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	watch := time.AfterFunc(t.stallTime(), func() { cancel(errStalled) })
	defer watch.Stop()
	a, f := t.send(ctx, use, t.input, t.last)
	if f != nil {
		return f
	}
	defer a.response.Close()
	if a.response.Status != http.StatusOK {
		return t.passWhole(a)
	}
	events := sse.Reader{R: bufio.NewReaderSize(a.response, streamBuffer)}
	for {
		e, err := events.Next()
		if err == io.EOF {
			use.End(place.Sound)
			return t.finish(a)
		}
		if err == nil && t.last >= 0 && e.ID >= 0 && e.ID <= t.last {
			err = errOrder
		}
		if err != nil {
			return t.broke(use, errors.Join(context.Cause(ctx), err))
		}
		if e.Data != nil {
			// Comments say nothing about the run, so they don't put its end off.
			watch.Reset(t.stallTime())
		}
		if err := t.deliver(a, e); err != nil {
			use.End(place.Unclear)
			return &failure{ran: true, err: err}
		}
	}
}

var (
	errStalled = errors.New("instance sends no events")
	errOrder   = errors.New("event out of order")
)

// stallTime is how long to wait for the next event: only a stream that may go on elsewhere is left early.
func (t *turn) stallTime() time.Duration {
	left := time.Until(t.until)
	if !t.route.Resumable || t.runs+1 >= t.route.Attempts {
		return left
	}
	return min(left, max(stall*t.route.Objective, stall*t.route.Gap, minStall))
}

// deliver passes one event on.
func (t *turn) deliver(a *attempt, e sse.Event) error {
	if !t.begun {
		t.first = time.Since(t.Received)
		h := t.header(a)
		h.Del("Content-Length")
		t.w.WriteHeader(http.StatusOK)
		t.begun = true
	}
	if _, err := t.w.Write(e.Raw); err != nil {
		return err
	}
	if e.Data != nil {
		t.count(e)
	}
	return t.flusher.Flush()
}

// count notes an event that the caller has got.
func (t *turn) count(e sse.Event) {
	t.events++
	if e.ID >= 0 {
		t.last = e.ID
	}
	if t.route.Kept {
		t.output = append(append(t.output, e.Data...), '\n')
	}
}

// passWhole passes an answer on that is no stream.
func (t *turn) passWhole(a *attempt) *failure {
	body, err := a.whole()
	if err != nil {
		return t.broke(a.use, err)
	}
	a.use.End(a.verdict())
	if t.begun || t.again(a) {
		return t.passOver(a)
	}
	t.header(a).Del("Content-Length")
	t.w.WriteHeader(a.response.Status)
	_, _ = t.w.Write(body)
	t.log(event.Answered, "status", a.response.Status, "instance", a.use.ID, "bytes", len(body))
	return nil
}

// finish keeps the turn if the route asks for it; returning ends the answer.
func (t *turn) finish(a *attempt) *failure {
	a.response.Close()
	if t.route.Kept {
		if err := t.keep(); err != nil {
			return &failure{ran: true, err: err}
		}
	}
	if !t.begun {
		t.header(a).Del("Content-Length")
		t.w.WriteHeader(http.StatusOK)
	}
	t.Metrics.streamed(t.first, time.Since(t.Received))
	t.log(event.Answered, "status", http.StatusOK, "instance", a.use.ID, "events", t.events, "first", t.first.Milliseconds())
	return nil
}
