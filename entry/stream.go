package entry

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/sse"
)

const (
	// stallFactor times the route's latency target, or its longest gap between events, is how long a resumable stream waits for an
	// event before it moves to another instance.
	stallFactor = 3
	// minStallTimeout keeps a short latency target from abandoning an instance that is only busy.
	minStallTimeout = 600 * time.Millisecond
	// streamBufferSize is the read buffer of a stream in bytes, enough for a few events.
	streamBufferSize = 4 << 10
	// maxCommentBytes limits what may come between two events with data, in bytes. Comments that keep a connection open take far less.
	maxCommentBytes = 64 << 10
)

// notSettled is the settledTokens of a turn whose reservation has not been settled.
const notSettled chestnutcleat.Tokens = -1

// turn is the state of one streaming request.
type turn struct {
	*call
	// input is the body for the instance: the chain of stored turns followed by the caller's own body.
	input []byte
	// lastEventID is the id of the last event that the caller has, or -1 before the first one.
	lastEventID int
	// events is the number of events delivered.
	events int
	// stalledAt is the number of events at the latest move away from a stalled instance, or -1 before the first one.
	stalledAt int
	// commentBytes is the size of what came since the last event with data, in bytes.
	commentBytes int
	// output is the data of all delivered events, each followed by a line feed, on routes that retain turns.
	output []byte
	// settledTokens is the number of tokens that storeTurn settled the reservation with, or notSettled.
	settledTokens chestnutcleat.Tokens
	// reserved is set once the reservation is written.
	reserved bool
	// beginTries is the number of Begin records of this turn.
	beginTries int
	// nonce tells this turn's Begin records from those of another one with the same request id.
	nonce ledger.Nonce
	// beginWrite is the write of the last Begin record until a quorum holds it, and nil after that.
	beginWrite *ledger.Write
	// stays is set if the stream must not go on at another instance, as the software version of its own one is not certain.
	stays            bool
	flusher          *http.ResponseController
	timeToFirstEvent time.Duration
}

// serveStream serves a request whose response is an event stream.
func (c *call) serveStream() error {
	t := &turn{
		call: c, input: c.body, lastEventID: -1, stalledAt: -1, settledTokens: notSettled, nonce: ledger.Nonce(rand.Uint64()),
		flusher: http.NewResponseController(c.w),
	}
	if c.TakesUp() {
		t.lastEventID = c.Resume
	}
	if err := t.locate(); err != nil {
		return c.abortIfCallerGone(err)
	}
	if c.route.Retained && c.Previous != "" {
		if err := t.prependChain(); err != nil {
			return c.abortIfCallerGone(err)
		}
	}
	err := t.relay()
	t.settle()
	if err == nil {
		return nil
	}
	if t.headerSent {
		// The header was sent, so only an aborted connection can tell the caller that the stream is incomplete.
		c.log(event.AttemptFailed, "events", t.events, "error", errors.Join(err, c.resetUnlessFramed()))
		panic(http.ErrAbortHandler)
	}
	return c.abortIfCallerGone(err)
}

// relay sends the turn to one instance after another until the stream is complete or may not be retried.
func (t *turn) relay() error {
	for {
		assignment, err := t.pick(t.affinityKey())
		if err != nil {
			if t.TakesUp() && !t.sent {
				return t.refuseTakeUp(refusedInstances, err)
			}
			return err
		}
		if err := t.recordAttempt(assignment); err != nil {
			assignment.End(place.Neutral)
			return err
		}
		if assignment.Departs() {
			assignment.End(place.Neutral)
			t.recordFailure(assignment, false, errDeparts)
			continue
		}
		f := t.tryStream(assignment)
		if f == nil {
			return nil
		}
		if t.stays {
			return f
		}
		if err := t.retryOrFail(f); err != nil {
			return err
		}
		if t.headerSent {
			t.log(event.Resumed, "events", t.events)
		}
	}
}

// affinityKey returns the key that keeps the turns of a program, including those of its sub-agents, at one instance.
func (t *turn) affinityKey() string {
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

// tryStream sends the turn to one instance and relays its events.
func (t *turn) tryStream(assignment *place.Assignment) *failure {
	// Without effect unless a panic passes.
	defer assignment.End(place.Neutral)
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	stallTimer := t.giveUpAfter(ctx, cancel, t.stallTimeout())
	defer stallTimer.Stop()
	defer t.recordStall(ctx)
	a, f := t.send(ctx, assignment, t.input, t.lastEventID)
	if f != nil {
		return f
	}
	defer a.response.Close()
	if a.response.Status != http.StatusOK {
		return t.relayBuffered(a)
	}
	started := false
	events := sse.Reader{R: bufio.NewReaderSize(a.response, streamBufferSize), MaxBytes: t.Bounds.Event, Reserve: t.memory.Add}
	for {
		e, err := events.Next()
		if err == io.EOF {
			assignment.End(place.Success)
			return t.finish(a)
		}
		if err == nil {
			err = t.checkEvent(e)
		}
		if err != nil {
			return t.endFailed(assignment, errors.Join(context.Cause(ctx), err))
		}
		if e.Data != nil {
			// Only events with data are progress. Comments do not reset the timer.
			stallTimer.Reset(t.stallTimeout())
		}
		if e.Data != nil && !started {
			if f := stallTimer.hold(func() *failure { return t.startStream(a) }, t.stallTimeout); f != nil {
				return f
			}
			started = true
		}
		if err := t.deliver(a, e); err != nil {
			assignment.End(place.Neutral)
			return &failure{mayHaveRun: true, err: err}
		}
	}
}

var (
	errOrder         = errors.New("event out of order")
	errOnlyComments  = errors.New("instance sends only comments")
	errOutputTooLong = errors.New("output exceeds its size limit")
)

// checkEvent returns an error if the stream must not go on with this event.
func (t *turn) checkEvent(e sse.Event) error {
	if t.lastEventID >= 0 && e.ID >= 0 && e.ID <= t.lastEventID {
		return errOrder
	}
	if e.Data == nil {
		if t.commentBytes += len(e.Raw); t.commentBytes > maxCommentBytes {
			return errOnlyComments
		}
		return nil
	}
	t.commentBytes = 0
	if !t.route.Retained {
		return nil
	}
	size := int64(len(e.Data) + 1)
	if int64(len(t.output))+size > cmp.Or(t.Bounds.Output, defaultMaxOutput) {
		return errOutputTooLong
	}
	return t.memory.Add(size)
}

// recordStall records whether an attempt was given up because its instance stalled.
func (t *turn) recordStall(ctx context.Context) {
	if context.Cause(ctx) == errStalled {
		t.stalledAt = t.events
	}
}

// stallTimeout returns how long to wait for the next event. Only a stream that can resume at another instance is abandoned
// before the deadline, and only once for each event: where all instances are slow, further moves would delay the event more.
func (t *turn) stallTimeout() time.Duration {
	left := time.Until(t.deadline)
	if !t.route.Resumable || t.stays || t.runs+1 >= t.route.MaxAttempts || t.stalledAt == t.events {
		return left
	}
	return min(left, max(stallFactor*t.route.LatencyTarget, stallFactor*t.route.MaxEventGap, minStallTimeout))
}

// deliver writes one event to the caller, with the response header before the first one.
func (t *turn) deliver(a *attempt, e sse.Event) error {
	if !t.headerSent {
		t.timeToFirstEvent = time.Since(t.Received)
		h := t.copyHeader(a)
		h.Del("Content-Length")
		t.writeHeader(http.StatusOK)
	}
	if _, err := t.w.Write(e.Raw); err != nil {
		return err
	}
	if e.Data != nil {
		t.recordEvent(e)
	}
	return t.flusher.Flush()
}

// recordEvent updates the turn after an event was delivered.
func (t *turn) recordEvent(e sse.Event) {
	t.events++
	if e.ID >= 0 {
		t.lastEventID = e.ID
	}
	if t.route.Retained {
		t.output = append(append(t.output, e.Data...), '\n')
	}
}

// relayBuffered passes on a response that is not an event stream.
func (t *turn) relayBuffered(a *attempt) *failure {
	body, err := t.readBody(a)
	if err != nil {
		return t.endFailed(a.assignment, err)
	}
	a.assignment.End(a.outcome())
	if t.headerSent || t.shouldRetryError(a) {
		return t.discardError(a)
	}
	t.copyHeader(a).Set("Content-Length", strconv.Itoa(len(body)))
	t.writeHeader(a.response.Status)
	_, _ = t.w.Write(body)
	t.logAnswered(a, "bytes", len(body))
	return nil
}

// finish stores the turn if the route retains turns. The response to the caller ends when the handler returns.
func (t *turn) finish(a *attempt) *failure {
	t.Crashes.RecordAnswer(t.fingerprint)
	a.response.Close()
	if t.route.Retained {
		if err := t.storeTurn(); err != nil {
			return &failure{mayHaveRun: true, err: err}
		}
	}
	if !t.headerSent {
		t.copyHeader(a).Del("Content-Length")
		t.writeHeader(http.StatusOK)
	}
	t.Metrics.streamed(t.timeToFirstEvent, time.Since(t.Received))
	t.logAnswered(a, "events", t.events, "first", t.timeToFirstEvent.Milliseconds())
	return nil
}

// logAnswered emits the event of an answer that was passed on in full.
func (t *turn) logAnswered(a *attempt, attributes ...any) {
	instance := []any{"status", a.response.Status, "instance", a.assignment.ID, "version", a.assignment.Version}
	t.log(event.Answered, append(instance, attributes...)...)
}
