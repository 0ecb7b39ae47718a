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
	backoff    = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// errTruncated reports an answer that ended too early; the caller asks again with the same call id.
var errTruncated = errors.New("answer is truncated")

// client sends the calls of one customer.
type client struct {
	http      *http.Client
	key       string
	addresses *addresses
	stats     *Stats
	attempts  int
}

// request is one call.
type request struct {
	id      chestnutcleat.CallID
	program chestnutcleat.ProgramID
	after   chestnutcleat.CallID
	parent  chestnutcleat.CallID
	path    string
	body    []byte
	stream  bool
}

// reply is the whole answer of a call.
type reply struct {
	text string
	// next is the VM that the next call of the program should use.
	next chestnutcleat.Address
}

// call sends a call until it is answered, to another VM after each failure, with the same call id.
func (c *client) call(ctx context.Context, first chestnutcleat.Address, q request) (reply, error) {
	var last error
	for n := range c.attempts {
		vm := first
		if vm == "" || n > 0 {
			// The configured addresses help when the whole list is out of date.
			list := slices.Concat(c.addresses.all(ctx), c.addresses.seeds)
			vm = list[n%len(list)]
		}
		out, err := c.send(ctx, vm, q)
		if err == nil {
			return out, nil
		}
		last = err
		wait := min(backoff<<min(n, 10), maxBackoff)
		var p *chestnutcleat.Problem
		if errors.As(err, &p) {
			c.stats.refused(p)
			if p.Outcome != chestnutcleat.NotRun || p.Retry == 0 {
				return reply{}, p
			}
			wait = max(wait, time.Duration(p.Retry*float64(time.Second)))
		} else {
			c.stats.failover()
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return reply{}, ctx.Err()
		}
	}
	return reply{}, fmt.Errorf("call failed %d times: %w", c.attempts, last)
}

func (c *client) send(ctx context.Context, vm chestnutcleat.Address, q request) (reply, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(vm)+q.path, strings.NewReader(string(q.body)))
	if err != nil {
		return reply{}, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", string(q.id))
	r.Header.Set("Chestnutcleat-Program", string(q.program))
	if q.after != "" {
		r.Header.Set("Chestnutcleat-After", string(q.after))
	}
	if q.parent != "" {
		r.Header.Set("Chestnutcleat-Parent", string(q.parent))
	}
	began := time.Now()
	p, err := c.http.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer p.Body.Close()
	out := reply{next: chestnutcleat.Address(p.Header.Get("Chestnutcleat-VM"))}
	if p.StatusCode != http.StatusOK {
		return out, problem(p)
	}
	if q.stream {
		out.text, err = c.read(p.Body, began)
		return out, err
	}
	data, err := io.ReadAll(io.LimitReader(p.Body, maxDocument))
	out.text = string(data)
	return out, err
}

// problem reads the problem document of a refused call.
func problem(p *http.Response) error {
	var out chestnutcleat.Problem
	if err := json.NewDecoder(io.LimitReader(p.Body, maxDocument)).Decode(&out); err != nil {
		return fmt.Errorf("status %d without a problem document: %w", p.StatusCode, err)
	}
	if out.Retry == 0 {
		if n, err := strconv.Atoi(p.Header.Get("Retry-After")); err == nil {
			out.Retry = float64(n)
		}
	}
	return &out
}

// read reads a stream to its end mark.
func (c *client) read(body io.Reader, began time.Time) (string, error) {
	events := engine.NewReader(body)
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
			c.stats.used(ev.Usage.Domain())
		}
		if len(ev.Choices) != 1 || ev.Choices[0].Delta == nil || ev.Choices[0].Delta.Content == "" {
			continue
		}
		if text.Len() == 0 {
			c.stats.first(time.Since(began))
		}
		text.WriteString(ev.Choices[0].Delta.Content)
	}
}
