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
	errDial        = errors.New("no connection")
	errInterrupted = errors.New("request interrupted")
)

// caller sends requests to a fleet and counts how attempts end.
type caller struct {
	httpClient  *http.Client
	vmAddresses []chestnutcleat.Address
	calls       atomic.Int64
	// dialErrors, interrupted and refused count attempts without a connection, without a complete answer, and answered with a
	// problem.
	dialErrors, interrupted, refused atomic.Int64
	// logf logs each interrupted or refused attempt; nil for none.
	logf func(format string, args ...any)
}

// newCaller returns a caller. Without keep-alive the transport never repeats a request by itself, so every interruption is counted.
func newCaller(f *fleet, keepAlive bool) *caller {
	t := &http.Transport{DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 32}
	f.t.Cleanup(t.CloseIdleConnections)
	c := &caller{httpClient: &http.Client{Transport: t}}
	for _, vm := range f.vms {
		c.vmAddresses = append(c.vmAddresses, vm.settings.Addresses.Callers)
	}
	return c
}

// request is a call of a program.
type request struct {
	id, program, previous string
	path                  string
	body                  string
	// timeout bounds one attempt, as a paused VM keeps connections open; zero means no bound.
	timeout time.Duration
}

// answer is a complete answer and the VM that owns the program.
type answer struct {
	text  string
	owner chestnutcleat.Address
}

// sendOnce makes one attempt. Its error is errDial, errInterrupted or a *chestnutcleat.Problem.
func (c *caller) sendOnce(ctx context.Context, vm chestnutcleat.Address, req request) (answer, error) {
	if req.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.timeout)
		defer cancel()
	}
	resp, err := c.post(ctx, vm, req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return answer{}, fmt.Errorf("%w: %w", errDial, err)
		}
		return answer{}, fmt.Errorf("%w: %w", errInterrupted, err)
	}
	defer resp.Body.Close()
	out := answer{owner: chestnutcleat.Address(resp.Header.Get("Chestnutcleat-VM"))}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.text, err = readEvents(resp.Body, -1)
		return out, err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, fmt.Errorf("%w: %w", errInterrupted, err)
	}
	if resp.StatusCode != http.StatusOK {
		var problem chestnutcleat.Problem
		if err := json.Unmarshal(data, &problem); err != nil {
			return out, fmt.Errorf("%w: status %d: %q", errInterrupted, resp.StatusCode, data)
		}
		return out, &problem
	}
	out.text = string(data)
	var completion engine.Completion
	if req.path == chatPath && json.Unmarshal(data, &completion) == nil && len(completion.Choices) == 1 {
		out.text = completion.Choices[0].Message.Text()
	}
	return out, nil
}

func (c *caller) post(ctx context.Context, vm chestnutcleat.Address, req request) (*http.Response, error) {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(vm)+req.path, strings.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	httpReq.Header.Set("Authorization", "Bearer "+customerKey)
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set("Idempotency-Key", req.id)
	httpReq.Header.Set("Chestnutcleat-Program", req.program)
	if req.previous != "" {
		httpReq.Header.Set("Chestnutcleat-After", req.previous)
	}
	return c.httpClient.Do(httpReq)
}

// readEvents returns the text of a stream, read to its end or until it has at least limit bytes; a negative limit means the end.
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
			return "", fmt.Errorf("%w: event %q", errInterrupted, data)
		}
		if ev.Code != "" {
			var p chestnutcleat.Problem
			if err := json.Unmarshal([]byte(data), &p); err != nil {
				return "", fmt.Errorf("%w: event %q", errInterrupted, data)
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
	return "", fmt.Errorf("%w: the stream ended without [DONE]", errInterrupted)
}

// sendWithRetries repeats a request at the next VM until it is answered or refused with a problem that rules out a retry.
func (c *caller) sendWithRetries(ctx context.Context, firstVM int, req request) (answer, error) {
	c.calls.Add(1)
	for n := 0; ; n++ {
		a, err := c.sendOnce(ctx, c.vmAddresses[(firstVM+n)%len(c.vmAddresses)], req)
		if err == nil {
			return a, nil
		}
		var p *chestnutcleat.Problem
		switch {
		case errors.Is(err, errDial):
			c.dialErrors.Add(1)
		case errors.As(err, &p):
			c.refused.Add(1)
			c.logFailure(req, err)
			if p.Outcome != chestnutcleat.NotRun || p.Retry == 0 {
				return a, p
			}
		default:
			c.interrupted.Add(1)
			c.logFailure(req, err)
		}
		wait := 50 * time.Millisecond
		if p != nil {
			wait = max(wait, time.Duration(p.Retry*float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return a, fmt.Errorf("call %s of %s: %w; last error: %w", req.id, req.program, ctx.Err(), err)
		case <-time.After(wait):
		}
	}
}

func (c *caller) logFailure(req request, err error) {
	if c.logf != nil {
		c.logf("call %s of %s: %v", req.id, req.program, err)
	}
}

// vmListLength returns the number of VMs in the list that a VM gives to callers.
func (c *caller) vmListLength(vm chestnutcleat.Address) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+string(vm)+"/v1/vms", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+customerKey)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var doc struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if json.NewDecoder(resp.Body).Decode(&doc) != nil {
		return 0
	}
	return len(doc.VMs)
}

const (
	chatPath = "/v1/chat/completions"
	bookPath = "/v1/services/book/order"
)

// chatBody returns the body of a chat completion request.
func chatBody(messages []engine.Message, stream bool) string {
	data, err := json.Marshal(map[string]any{"model": "small", "messages": messages, "max_tokens": 512, "stream": stream})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// question returns a user's message for which the stand-in engine generates n tokens.
func question(text string, n int) engine.Message {
	return engine.NewMessage("user", fmt.Sprintf("%s #tokens=%d", text, n))
}
