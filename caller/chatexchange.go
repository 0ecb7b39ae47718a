package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// errIdle stops an attempt whose upstream sends nothing.
var errIdle = errors.New("the upstream sent nothing for too long")

// chatExchange is a chat completion.
type chatExchange struct {
	c      *call
	chat   engine.Chat
	header http.Header
	// id is the id of the answer as the caller sees it.
	id string
	// body is the whole answer of a chat that is not streamed.
	body []byte
	out  *events
	// text is what was received of a streamed answer, over all attempts.
	text     strings.Builder
	count    chestnutcleat.Tokens
	resumes  chestnutcleat.Tokens
	attempts int
	tools    bool
	finish   string
	usage    *engine.Usage
	created  int64
}

func (x *chatExchange) attempt(ctx context.Context, g grant) result {
	chat := x.chat
	chat.MaxTokens = x.c.output()
	x.attempts++
	client := engine.Client{Address: g.upstream.Address, Transport: x.c.h.reuse}
	if !x.c.call.Repeatable {
		client.Transport = x.c.h.fresh
	}
	r := engine.Request{
		ID: fmt.Sprintf("%s-%d-%d", x.c.name, x.c.begin.Attempt, x.attempts), Chat: chat, Priority: g.priority, Prefix: x.text.String(), Header: x.header,
	}
	if chat.Stream {
		return x.stream(ctx, client, r)
	}
	return x.whole(ctx, client, r)
}

func (x *chatExchange) whole(ctx context.Context, client engine.Client, r engine.Request) result {
	a, err := client.Whole(ctx, r)
	if err != nil {
		return result{err: asError(err)}
	}
	if x.body, err = a.WithID(x.id); err != nil {
		return result{err: &upstream.Error{Kind: upstream.Malformed, Sent: true, Answered: true, Err: err}}
	}
	m := *a.Choices[0].Message
	used := x.used(a.Usage, m.Tokens())
	answer := chestnutcleat.Answer{Status: http.StatusOK, Type: typeJSON, Body: x.body, Usage: used, Outcome: chestnutcleat.Done}
	return result{answer: kept(answer), history: append(x.c.call.History[:len(x.c.call.History):len(x.c.call.History)], m.Chain(x.c.call.History[len(x.c.call.History)-1]))}
}

// used returns the reported usage, or an estimate when the engine reported none.
func (x *chatExchange) used(u *engine.Usage, output chestnutcleat.Tokens) chestnutcleat.Usage {
	if u != nil {
		return u.Domain()
	}
	return chestnutcleat.Usage{Prompt: x.c.call.Prompt, Output: output}
}

func (x *chatExchange) stream(ctx context.Context, client engine.Client, r engine.Request) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(x.c.h.Idle, func() { cancel(errIdle) })
	defer idle.Stop()
	if r.Prefix != "" {
		x.resumes++
	}
	x.finish, x.usage = "", nil
	s, err := client.Stream(ctx, r)
	if err != nil {
		return result{err: asError(err), answer: x.partial()}
	}
	// The body is closed after a whole answer or a failure; an error of closing changes neither.
	defer func() { _ = s.Close() }()
	for {
		idle.Reset(x.c.h.Idle)
		ev, err := s.Next()
		if errors.Is(err, io.EOF) {
			return x.ended()
		}
		if err != nil {
			return result{err: asError(err), answer: x.partial()}
		}
		if over := x.take(ev); over {
			x.finish = engine.FinishLength
			return x.ended()
		}
	}
}

// take handles one event and reports whether the answer has reached its bound.
func (x *chatExchange) take(ev engine.Completion) bool {
	if ev.Usage != nil {
		x.usage = ev.Usage
	}
	if len(ev.Choices) == 0 {
		return false
	}
	choice := ev.Choices[0]
	if choice.Finish != nil {
		x.finish = *choice.Finish
	}
	d := choice.Delta
	if d == nil || d.Content == "" && d.ToolCalls == nil {
		return false
	}
	if x.created == 0 {
		x.created = ev.Created
	}
	// An event has at least one token; a resumed stream may split one.
	if x.count++; x.count > x.c.output()+x.resumes {
		return true
	}
	x.text.WriteString(d.Content)
	x.tools = x.tools || d.ToolCalls != nil
	// The finish reason follows only when the answer is whole.
	x.send(engine.Choice{Delta: d})
	return false
}

// send passes an event to the caller at once.
func (x *chatExchange) send(choices ...engine.Choice) {
	x.write(engine.Completion{Choices: choices})
}

func (x *chatExchange) write(c engine.Completion) {
	if x.out == nil {
		x.out = &events{w: x.c.w}
	}
	c.ID, c.Object, c.Created, c.Model = x.id, engine.ObjectChunk, x.created, x.chat.Model
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	if x.c.absent() {
		return
	}
	x.out.send("", data)
	if x.out.broken {
		x.c.leave()
	}
}

// partial returns the usage of an attempt that broke off.
func (x *chatExchange) partial() chestnutcleat.Answer {
	if x.count == 0 {
		return chestnutcleat.Answer{}
	}
	return chestnutcleat.Answer{Usage: x.used(x.usage, x.estimate())}
}

func (x *chatExchange) estimate() chestnutcleat.Tokens {
	return max(x.count, chestnutcleat.Tokens(x.text.Len())/4)
}

// ended returns the result of a whole streamed answer.
func (x *chatExchange) ended() result {
	m := engine.NewMessage("assistant", x.text.String())
	used := x.used(x.usage, x.estimate())
	answer := chestnutcleat.Answer{Status: http.StatusOK, Type: typeJSON, Usage: used, Outcome: chestnutcleat.Done}
	if x.tools {
		// The merged message of streamed tool calls is known to the caller only.
		answer.Dropped = true
		return result{answer: answer, history: x.c.call.History}
	}
	body, err := json.Marshal(engine.Completion{
		ID: x.id, Object: engine.ObjectCompletion, Created: x.created, Model: x.chat.Model,
		Choices: []engine.Choice{{Message: &m, Finish: &x.finish}}, Usage: wireUsage(used),
	})
	if err != nil {
		return result{err: &upstream.Error{Kind: upstream.Malformed, Sent: true, Answered: true, Err: err}}
	}
	answer.Body = body
	h := x.c.call.History
	return result{answer: kept(answer), history: append(h[:len(h):len(h)], m.Chain(h[len(h)-1]))}
}

func wireUsage(u chestnutcleat.Usage) *engine.Usage {
	return &engine.Usage{Prompt: u.Prompt, Completion: u.Output, Total: u.Total(), Details: &engine.Details{Cached: u.Cached}}
}
