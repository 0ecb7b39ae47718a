package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

var (
	errClosed = errors.New("the listener is closed")
	errCut    = errors.New("the request was cut")
)

// caller sends calls to a fleet and counts what it meets.
type caller struct {
	http  *http.Client
	vms   []chestnutcleat.Address
	calls atomic.Int64
	// closed counts closed listeners, cut broken requests, refused problems.
	closed, cut, refused atomic.Int64
	// log receives each cut and refusal; nil for none.
	log func(format string, args ...any)
}

// newCaller returns a caller. Without kept connections the transport never repeats a request by itself, so that every cut is counted.
func newCaller(f *fleet, keep bool) *caller {
	t := &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 32}
	f.t.Cleanup(t.CloseIdleConnections)
	c := &caller{http: &http.Client{Transport: t}}
	for _, m := range f.vms {
		c.vms = append(c.vms, m.settings.Addresses.Callers)
	}
	return c
}

// call is a call of a program.
type call struct {
	id, program, after string
	path               string
	body               string
	// patience bounds one attempt, as a paused VM keeps connections open; zero means no bound.
	patience time.Duration
}

// answer is the whole answer of a call.
type answer struct {
	text  string
	owner chestnutcleat.Address
}

// send makes one attempt. Its error is errClosed, errCut or a *chestnutcleat.Problem.
func (c *caller) send(ctx context.Context, vm chestnutcleat.Address, q call) (answer, error) {
	if q.patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.patience)
		defer cancel()
	}
	p, err := c.open(ctx, vm, q)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return answer{}, fmt.Errorf("%w: %w", errClosed, err)
		}
		return answer{}, fmt.Errorf("%w: %w", errCut, err)
	}
	defer p.Body.Close()
	out := answer{owner: chestnutcleat.Address(p.Header.Get("Chestnutcleat-VM"))}
	if strings.HasPrefix(p.Header.Get("Content-Type"), "text/event-stream") {
		out.text, err = readEvents(p.Body, -1)
		return out, err
	}
	data, err := io.ReadAll(p.Body)
	if err != nil {
		return out, fmt.Errorf("%w: %w", errCut, err)
	}
	if p.StatusCode != http.StatusOK {
		var problem chestnutcleat.Problem
		if err := json.Unmarshal(data, &problem); err != nil {
			return out, fmt.Errorf("%w: status %d: %q", errCut, p.StatusCode, data)
		}
		return out, &problem
	}
	out.text = string(data)
	var k engine.Completion
	if q.path == chatPath && json.Unmarshal(data, &k) == nil && len(k.Choices) == 1 {
		out.text = k.Choices[0].Message.Text()
	}
	return out, nil
}

func (c *caller) open(ctx context.Context, vm chestnutcleat.Address, q call) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(vm)+q.path, strings.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+customerKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", q.id)
	r.Header.Set("Chestnutcleat-Program", q.program)
	if q.after != "" {
		r.Header.Set("Chestnutcleat-After", q.after)
	}
	return c.http.Do(r)
}

// readEvents reads the text of a stream to its end, or to about the given number of bytes.
func readEvents(body io.Reader, limit int) (string, error) {
	var text strings.Builder
	s := bufio.NewScanner(body)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var ev struct {
			engine.Completion
			Code chestnutcleat.Code `json:"code"`
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return "", fmt.Errorf("%w: event %q", errCut, data)
		}
		if ev.Code != "" {
			var p chestnutcleat.Problem
			if err := json.Unmarshal([]byte(data), &p); err != nil {
				return "", fmt.Errorf("%w: event %q", errCut, data)
			}
			return "", &p
		}
		if len(ev.Choices) == 1 && ev.Choices[0].Delta != nil {
			text.WriteString(ev.Choices[0].Delta.Content)
		}
		if limit >= 0 && text.Len() >= limit {
			return text.String(), nil
		}
	}
	return "", fmt.Errorf("%w: the stream has no end", errCut)
}

// do repeats a call at the next VM until it is answered or refused for good.
func (c *caller) do(ctx context.Context, first int, q call) (answer, error) {
	c.calls.Add(1)
	for n := 0; ; n++ {
		a, err := c.send(ctx, c.vms[(first+n)%len(c.vms)], q)
		if err == nil {
			return a, nil
		}
		var p *chestnutcleat.Problem
		switch {
		case errors.Is(err, errClosed):
			c.closed.Add(1)
		case errors.As(err, &p):
			c.refused.Add(1)
			c.report(q, err)
			if p.Outcome != chestnutcleat.NotRun || p.Retry == 0 {
				return a, p
			}
		default:
			c.cut.Add(1)
			c.report(q, err)
		}
		wait := 50 * time.Millisecond
		if p != nil {
			wait = max(wait, time.Duration(p.Retry*float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return a, fmt.Errorf("call %s of %s: %w; last: %w", q.id, q.program, ctx.Err(), err)
		case <-time.After(wait):
		}
	}
}

func (c *caller) report(q call, err error) {
	if c.log != nil {
		c.log("call %s of %s: %v", q.id, q.program, err)
	}
}

// listed returns how many VMs a VM tells callers about.
func (c *caller) listed(vm chestnutcleat.Address) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+string(vm)+"/v1/vms", nil)
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+customerKey)
	p, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	var doc struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if json.NewDecoder(p.Body).Decode(&doc) != nil {
		return 0
	}
	return len(doc.VMs)
}

const (
	chatPath = "/v1/chat/completions"
	bookPath = "/v1/services/book/order"
)

// chat returns the body of a chat whose answer has the given number of tokens.
func chat(messages []engine.Message, stream bool) string {
	data, err := json.Marshal(map[string]any{"model": "small", "messages": messages, "max_tokens": 512, "stream": stream})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// question returns a user's message that asks for an answer of n tokens.
func question(text string, n int) engine.Message {
	return engine.NewMessage("user", fmt.Sprintf("%s #tokens=%d", text, n))
}
