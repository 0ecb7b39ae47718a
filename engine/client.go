package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

const (
	maxAnswer  = 32 << 20
	maxControl = 4 << 20
	maxError   = 64 << 10
)

// Client talks to one model engine; it implements chestnutcleat.Engine.
type Client struct {
	Address chestnutcleat.Address
	// Transport is usually shared by all clients.
	Transport http.RoundTripper
}

var _ chestnutcleat.Engine = (*Client)(nil)

func (c *Client) post(ctx context.Context, t *upstream.Trace, r Request) (*http.Response, error) {
	body, err := json.Marshal(r.Chat)
	if err != nil {
		return nil, &upstream.Error{Kind: upstream.Connect, Err: fmt.Errorf("encode the chat: %w", err)}
	}
	q, err := http.NewRequestWithContext(t.With(ctx), http.MethodPost, "http://"+string(c.Address)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, &upstream.Error{Kind: upstream.Connect, Err: err}
	}
	q.Header = upstream.RequestHeader(r.Header)
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("User-Agent", "chestnutcleat")
	q.Header.Set(HeaderRequest, r.ID)
	q.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.Prefix != "" {
		q.Header.Set(HeaderOffset, strconv.Itoa(len(r.Prefix)))
	}
	p, err := c.Transport.RoundTrip(q)
	if err != nil {
		return nil, t.Failed(ctx, err)
	}
	if err := check(p, r.ID); err != nil {
		p.Body.Close()
		return nil, err
	}
	return p, nil
}

// check refuses error answers and answers of other requests.
func check(p *http.Response, id string) error {
	if p.StatusCode/100 != 2 {
		if _, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxError)); err != nil {
			return &upstream.Error{Kind: upstream.Broken, Sent: true, Answered: true, Err: err}
		}
		return &upstream.Error{Kind: upstream.Status, Sent: true, Answered: true, Code: p.StatusCode}
	}
	if got := p.Header.Values(HeaderRequest); len(got) != 1 || got[0] != id {
		return &upstream.Error{Kind: upstream.Crossed, Sent: true, Answered: true, Err: fmt.Errorf("answer carries request id %q instead of %q", got, id)}
	}
	return nil
}

// Whole runs a chat that is not streamed.
func (c *Client) Whole(ctx context.Context, r Request) (Answer, error) {
	var t upstream.Trace
	p, err := c.post(ctx, &t, r)
	if err != nil {
		return Answer{}, err
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, &upstream.Error{Kind: upstream.Broken, Sent: true, Answered: true, Err: err}
	}
	if len(body) > maxAnswer {
		return Answer{}, &upstream.Error{Kind: upstream.Malformed, Sent: true, Answered: true, Err: fmt.Errorf("answer has more than %d bytes", maxAnswer)}
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Answer{}, &upstream.Error{Kind: upstream.Malformed, Sent: true, Answered: true, Err: err}
	}
	if a.ID != r.ID {
		return Answer{}, &upstream.Error{Kind: upstream.Crossed, Sent: true, Answered: true, Err: fmt.Errorf("answer has id %q instead of %q", a.ID, r.ID)}
	}
	if len(a.Choices) != 1 || a.Choices[0].Message == nil || a.Choices[0].Finish == nil {
		return Answer{}, &upstream.Error{Kind: upstream.Malformed, Sent: true, Answered: true, Err: fmt.Errorf("answer has no finished choice")}
	}
	return a, nil
}

// Stream runs a streamed chat.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	var t upstream.Trace
	p, err := c.post(ctx, &t, r)
	if err != nil {
		return nil, err
	}
	s := &Stream{id: r.ID, body: p.Body, events: NewReader(p.Body), skip: r.Prefix}
	if r.Prefix != "" && p.Header.Get(HeaderOffset) == strconv.Itoa(len(r.Prefix)) {
		s.skip = ""
	}
	return s, nil
}
