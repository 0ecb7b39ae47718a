package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// errTruncated reports a response that ended too early; the caller retries with the same call id.
var errTruncated = errors.New("answer is truncated")

// client sends the calls of one customer and retries them.
type client struct {
	http        *http.Client
	key         string
	addresses   *addresses
	stats       *Stats
	maxAttempts int
}

// request holds one call and the ids of the calls that it depends on.
type request struct {
	id       chestnutcleat.CallID
	program  chestnutcleat.ProgramID
	previous chestnutcleat.CallID
	parent   chestnutcleat.CallID
	path     string
	body     []byte
	stream   bool
}

// response is the complete response to a call.
type response struct {
	text string
	// nextVM is the VM that the next call of the program should use.
	nextVM chestnutcleat.Address
}

// call sends a request until it is answered. Retries go around the list of VMs and keep the call id.
func (c *client) call(ctx context.Context, preferred chestnutcleat.Address, req request) (response, error) {
	var lastErr error
	for n := range c.maxAttempts {
		vm := preferred
		if vm == "" || n > 0 {
			// The configured addresses are tried too, as all addresses of the list may be out of date.
			list := slices.Concat(c.addresses.current(ctx), c.addresses.seeds)
			vm = list[n%len(list)]
		}
		out, err := c.send(ctx, vm, req)
		if err == nil {
			return out, nil
		}
		lastErr = err
		wait := min(initialBackoff<<min(n, 10), maxBackoff)
		var p *chestnutcleat.Problem
		if errors.As(err, &p) {
			c.stats.addRefusal(p)
			if p.Outcome != chestnutcleat.NotRun || p.Retry == 0 {
				return response{}, p
			}
			wait = max(wait, time.Duration(p.Retry*float64(time.Second)))
		} else {
			c.stats.addFailover()
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return response{}, ctx.Err()
		}
	}
	return response{}, fmt.Errorf("call failed %d times: %w", c.maxAttempts, lastErr)
}

func (c *client) send(ctx context.Context, vm chestnutcleat.Address, req request) (response, error) {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(vm)+req.path, strings.NewReader(string(req.body)))
	if err != nil {
		return response{}, err
	}
	httpReq.Header.Set("Authorization", "Bearer "+c.key)
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set("Idempotency-Key", string(req.id))
	httpReq.Header.Set("Chestnutcleat-Program", string(req.program))
	if req.previous != "" {
		httpReq.Header.Set("Chestnutcleat-After", string(req.previous))
	}
	if req.parent != "" {
		httpReq.Header.Set("Chestnutcleat-Parent", string(req.parent))
	}
	start := time.Now()
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	out := response{nextVM: chestnutcleat.Address(resp.Header.Get("Chestnutcleat-VM"))}
	if resp.StatusCode != http.StatusOK {
		return out, readProblem(resp)
	}
	body := io.LimitReader(resp.Body, maxDocumentBytes+1)
	if req.stream {
		out.text, err = c.readStream(body, start)
		return out, err
	}
	data, err := io.ReadAll(body)
	if len(data) > maxDocumentBytes {
		return out, errTruncated
	}
	out.text = string(data)
	return out, err
}

// readProblem decodes the problem document of a rejected call.
func readProblem(resp *http.Response) error {
	var out chestnutcleat.Problem
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(&out); err != nil {
		return fmt.Errorf("status %d without a problem document: %w", resp.StatusCode, err)
	}
	if out.Retry == 0 {
		if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			out.Retry = float64(n)
		}
	}
	return &out
}

// readStream returns the text of a stream, which must end with [DONE].
func (c *client) readStream(body io.Reader, start time.Time) (string, error) {
	events := engine.NewEventReader(body)
	var text strings.Builder
	for {
		data, err := events.Next()
		if err != nil {
			return "", errTruncated
		}
		if string(data) == "[DONE]" {
			return text.String(), nil
		}
		var ev struct {
			engine.Completion
			Code chestnutcleat.Code `json:"code"`
		}
		if err := json.Unmarshal(data, &ev); err != nil {
			return "", fmt.Errorf("event: %w", err)
		}
		if ev.Code != "" {
			var p chestnutcleat.Problem
			if err := json.Unmarshal(data, &p); err != nil {
				return "", fmt.Errorf("event: %w", err)
			}
			return "", &p
		}
		if ev.Usage != nil {
			c.stats.addUsage(ev.Usage.ToUsage())
		}
		if len(ev.Choices) != 1 || ev.Choices[0].Delta == nil || ev.Choices[0].Delta.Content == "" {
			continue
		}
		if text.Len() == 0 {
			c.stats.addFirstToken(time.Since(start))
		}
		text.WriteString(ev.Choices[0].Delta.Content)
	}
}
