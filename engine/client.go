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
	maxResponseBytes = 32 << 20
	maxControlBytes  = 4 << 20
	maxDrainBytes    = 64 << 10
)

// Client is the HTTP client of one model engine; it implements chestnutcleat.Engine.
type Client struct {
	Address chestnutcleat.Address
	// Transport is usually shared by all clients.
	Transport http.RoundTripper
}

var _ chestnutcleat.Engine = (*Client)(nil)

func (c *Client) postChat(ctx context.Context, t *upstream.Trace, r Request) (*http.Response, error) {
	body, err := json.Marshal(r.Chat)
	if err != nil {
		return nil, &upstream.Error{Kind: upstream.Connect, Err: fmt.Errorf("encode the chat: %w", err)}
	}
	req, err := http.NewRequestWithContext(t.WithContext(ctx), http.MethodPost, "http://"+string(c.Address)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, &upstream.Error{Kind: upstream.Connect, Err: err}
	}
	req.Header = upstream.RequestHeader(r.Header)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("User-Agent", "chestnutcleat")
	req.Header.Set(HeaderRequest, r.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.Prefix != "" {
		req.Header.Set(HeaderResumeOffset, strconv.Itoa(len(r.Prefix)))
	}
	resp, err := c.Transport.RoundTrip(req)
	if err != nil {
		return nil, t.Error(ctx, err)
	}
	if err := checkResponse(resp, r.ID); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkResponse rejects error responses and responses to other requests.
func checkResponse(resp *http.Response, id string) error {
	if resp.StatusCode/100 != 2 {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes)); err != nil {
			return &upstream.Error{Kind: upstream.Broken, Sent: true, HeaderRead: true, Err: err}
		}
		return &upstream.Error{Kind: upstream.Status, Sent: true, HeaderRead: true, Code: resp.StatusCode}
	}
	if got := resp.Header.Values(HeaderRequest); len(got) != 1 || got[0] != id {
		return &upstream.Error{Kind: upstream.Mismatched, Sent: true, HeaderRead: true, Err: fmt.Errorf("answer carries request id %q instead of %q", got, id)}
	}
	return nil
}

// Complete requests a completion that is not streamed.
func (c *Client) Complete(ctx context.Context, r Request) (Answer, error) {
	var t upstream.Trace
	resp, err := c.postChat(ctx, &t, r)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Answer{}, &upstream.Error{Kind: upstream.Broken, Sent: true, HeaderRead: true, Err: err}
	}
	if len(body) > maxResponseBytes {
		return Answer{}, &upstream.Error{Kind: upstream.Malformed, Sent: true, HeaderRead: true, Err: fmt.Errorf("answer has more than %d bytes", maxResponseBytes)}
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Answer{}, &upstream.Error{Kind: upstream.Malformed, Sent: true, HeaderRead: true, Err: err}
	}
	if a.ID != r.ID {
		return Answer{}, &upstream.Error{Kind: upstream.Mismatched, Sent: true, HeaderRead: true, Err: fmt.Errorf("answer has id %q instead of %q", a.ID, r.ID)}
	}
	if len(a.Choices) != 1 || a.Choices[0].Message == nil || a.Choices[0].FinishReason == nil {
		return Answer{}, &upstream.Error{Kind: upstream.Malformed, Sent: true, HeaderRead: true, Err: fmt.Errorf("answer has no finished choice")}
	}
	return a, nil
}

// Stream requests a streamed completion. If the engine does not resume after r.Prefix, the stream checks and skips the
// repeated text.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	var t upstream.Trace
	resp, err := c.postChat(ctx, &t, r)
	if err != nil {
		return nil, err
	}
	s := &Stream{id: r.ID, body: resp.Body, events: NewEventReader(resp.Body), repeated: r.Prefix}
	if r.Prefix != "" && resp.Header.Get(HeaderResumeOffset) == strconv.Itoa(len(r.Prefix)) {
		s.repeated = ""
	}
	return s, nil
}
