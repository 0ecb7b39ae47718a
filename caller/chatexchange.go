package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// errStreamIdle cancels an attempt whose upstream sent no event within StreamIdleTimeout.
var errStreamIdle = errors.New("the upstream's stream is idle")

// chatExchange is the exchange of a chat completion.
type chatExchange struct {
	c      *call
	chat   engine.Chat
	header http.Header
	// id is the completion id in the caller's response.
	id string
	// body is the response to a chat that is not streamed.
	body   []byte
	events *eventWriter
	// version is the software version of the upstream that the last attempt was sent to, and so of the streamed text.
	version chestnutcleat.SoftwareVersion
	// text is the streamed text received so far, over all attempts.
	text         strings.Builder
	tokens       chestnutcleat.Tokens
	resumes      chestnutcleat.Tokens
	attempts     int
	hasToolCalls bool
	finishReason string
	usage        *engine.Usage
	created      int64
}

func (x *chatExchange) attempt(ctx context.Context, g grant) result {
	chat := x.chat
	chat.MaxTokens = x.c.maxOutput()
	x.attempts++
	x.version = g.upstream.Version
	client := engine.Client{Address: g.upstream.Address, Transport: x.c.h.pooledTransport}
	if !x.c.call.Repeatable {
		client.Transport = x.c.h.unpooledTransport
	}
	r := engine.Request{
		ID: fmt.Sprintf("%s-%d-%d", x.c.hashedID, x.c.begin.Attempt, x.attempts), Chat: chat, Priority: g.priority, Prefix: x.text.String(), Header: x.header,
	}
	if chat.Stream {
		return x.stream(ctx, client, r)
	}
	return x.complete(ctx, client, r)
}

func (x *chatExchange) complete(ctx context.Context, client engine.Client, r engine.Request) result {
	a, err := client.Complete(ctx, r)
	if err != nil {
		return result{err: asUpstreamError(err)}
	}
	if x.body, err = a.WithID(x.id); err != nil {
		return result{err: &upstream.Error{Kind: upstream.Malformed, Sent: true, HeaderRead: true, Err: err}}
	}
	m := *a.Choices[0].Message
	used := x.usageOrEstimate(a.Usage, m.Tokens())
	answer := chestnutcleat.Answer{Status: http.StatusOK, Type: typeJSON, Body: x.body, Usage: used, Outcome: chestnutcleat.Done}
	return result{answer: dropLargeBody(answer), history: append(x.c.call.History[:len(x.c.call.History):len(x.c.call.History)], m.HistoryDigest(x.c.call.History[len(x.c.call.History)-1]))}
}

// usageOrEstimate returns the usage that the engine reported, or else an estimate.
func (x *chatExchange) usageOrEstimate(u *engine.Usage, output chestnutcleat.Tokens) chestnutcleat.Usage {
	if u != nil {
		return u.ToUsage()
	}
	return chestnutcleat.Usage{Prompt: x.c.call.Prompt, Output: output}
}

func (x *chatExchange) stream(ctx context.Context, client engine.Client, r engine.Request) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := x.idleTimeout()
	idle := time.AfterFunc(timeout, func() { cancel(errStreamIdle) })
	defer idle.Stop()
	if r.Prefix != "" {
		x.resumes++
	}
	x.finishReason, x.usage = "", nil
	s, err := client.Stream(ctx, r)
	if err != nil {
		return result{err: streamError(ctx, err), answer: x.partialAnswer()}
	}
	// The result is known before the stream is closed; an error of Close does not change it.
	defer func() { _ = s.Close() }()
	for {
		idle.Reset(timeout)
		ev, err := s.Next()
		if errors.Is(err, io.EOF) {
			return x.streamResult()
		}
		if err != nil {
			return result{err: streamError(ctx, err), answer: x.partialAnswer()}
		}
		if limitReached := x.handleEvent(ev); limitReached {
			x.finishReason = engine.FinishLength
			return x.streamResult()
		}
	}
}

// noIdleTimeout is longer than any call.
const noIdleTimeout time.Duration = math.MaxInt64

// idleTimeout returns how long to wait for the next event. Where no further attempt may follow, only the end of the call's time ends a
// stream: a late answer is better than none.
func (x *chatExchange) idleTimeout() time.Duration {
	if !x.c.call.Repeatable || len(x.c.avoid)+1 >= x.c.h.MaxAttempts {
		return noIdleTimeout
	}
	return x.c.h.StreamIdleTimeout
}

// streamError converts the error of a stream. The error of a stream that was given up for its silence gets a kind of its own, as its
// connection did not break as after a crash.
func streamError(ctx context.Context, err error) *upstream.Error {
	e := asUpstreamError(err)
	if context.Cause(ctx) != errStreamIdle {
		return e
	}
	idle := *e
	idle.Kind, idle.Err = upstream.Idle, errors.Join(errStreamIdle, e.Err)
	return &idle
}

// handleEvent passes one event to the caller and reports whether the output exceeded its limit.
func (x *chatExchange) handleEvent(ev engine.Completion) bool {
	if ev.Usage != nil {
		x.usage = ev.Usage
	}
	if len(ev.Choices) == 0 {
		return false
	}
	choice := ev.Choices[0]
	if choice.FinishReason != nil {
		x.finishReason = *choice.FinishReason
	}
	d := choice.Delta
	if d == nil || d.Content == "" && d.ToolCalls == nil {
		return false
	}
	if x.created == 0 {
		x.created = ev.Created
	}
	// Each event has at least one token, but resuming a stream may split a token into two events.
	if x.tokens++; x.tokens > x.c.maxOutput()+x.resumes {
		return true
	}
	x.text.WriteString(d.Content)
	x.hasToolCalls = x.hasToolCalls || d.ToolCalls != nil
	// The finish reason is sent only when the answer is complete.
	x.sendChoices(engine.Choice{Delta: d})
	return false
}

// sendChoices sends an event with these choices to the caller without buffering.
func (x *chatExchange) sendChoices(choices ...engine.Choice) {
	x.sendChunk(engine.Completion{Choices: choices})
}

func (x *chatExchange) sendChunk(c engine.Completion) {
	if x.events == nil {
		x.events = &eventWriter{w: x.c.w}
	}
	c.ID, c.Object, c.Created, c.Model = x.id, engine.ObjectChunk, x.created, x.chat.Model
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	if x.c.isUndeliverable() {
		return
	}
	x.events.send("", data)
	if x.events.failed {
		x.c.onDisconnect()
	}
}

// partialAnswer returns an answer with the usage of an interrupted attempt.
func (x *chatExchange) partialAnswer() chestnutcleat.Answer {
	if x.tokens == 0 {
		return chestnutcleat.Answer{}
	}
	return chestnutcleat.Answer{Usage: x.usageOrEstimate(x.usage, x.estimateTokens())}
}

func (x *chatExchange) estimateTokens() chestnutcleat.Tokens {
	return max(x.tokens, chestnutcleat.Tokens(x.text.Len())/4)
}

// streamResult returns the result of a complete stream.
func (x *chatExchange) streamResult() result {
	m := engine.NewMessage("assistant", x.text.String())
	used := x.usageOrEstimate(x.usage, x.estimateTokens())
	answer := chestnutcleat.Answer{Status: http.StatusOK, Type: typeJSON, Usage: used, Outcome: chestnutcleat.Done}
	if x.hasToolCalls {
		// Fragments of tool calls are not merged here, so the answer can't be recorded.
		answer.BodyDropped = true
		return result{answer: answer, history: x.c.call.History}
	}
	body, err := json.Marshal(engine.Completion{
		ID: x.id, Object: engine.ObjectCompletion, Created: x.created, Model: x.chat.Model,
		Choices: []engine.Choice{{Message: &m, FinishReason: &x.finishReason}}, Usage: wireUsage(used),
	})
	if err != nil {
		return result{err: &upstream.Error{Kind: upstream.Malformed, Sent: true, HeaderRead: true, Err: err}}
	}
	answer.Body = body
	h := x.c.call.History
	return result{answer: dropLargeBody(answer), history: append(h[:len(h):len(h)], m.HistoryDigest(h[len(h)-1]))}
}

func wireUsage(u chestnutcleat.Usage) *engine.Usage {
	return &engine.Usage{Prompt: u.Prompt, Completion: u.Output, Total: u.Total(), Details: &engine.PromptDetails{Cached: u.Cached}}
}
