package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

const maxAnswer = 32 << 20

// Client talks to one plain service.
type Client struct {
	Address chestnutcleat.Address
	// Transport reuses connections, for calls that may be repeated.
	Transport http.RoundTripper
	// Fresh makes a connection for each call, so that net/http never sends a call twice.
	Fresh http.RoundTripper
}

// Do sends a call and reads its whole answer.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var t upstream.Trace
	q, err := http.NewRequestWithContext(t.With(ctx), r.Method, "http://"+string(c.Address)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &upstream.Error{Kind: upstream.Connect, Err: err}
	}
	q.Header = upstream.RequestHeader(r.Header)
	q.Header.Set("User-Agent", "chestnutcleat")
	q.Header.Set(upstream.HeaderRequest, r.ID)
	transport := c.Transport
	if r.Once {
		transport = c.Fresh
		q.GetBody = nil
	}
	p, err := transport.RoundTrip(q)
	if err != nil {
		return Answer{}, t.Failed(ctx, err)
	}
	defer p.Body.Close()
	return read(p, r)
}

// read checks that the answer is whole and belongs to the call.
func read(p *http.Response, r Request) (Answer, error) {
	fail := func(k upstream.Kind, err error) (Answer, error) {
		return Answer{}, &upstream.Error{Kind: k, Sent: true, Answered: true, Err: err}
	}
	if got := p.Header.Values(upstream.HeaderRequest); len(got) != 1 || got[0] != r.ID {
		return fail(upstream.Crossed, fmt.Errorf("answer carries request id %q instead of %q", got, r.ID))
	}
	if p.StatusCode < http.StatusOK {
		return fail(upstream.Malformed, fmt.Errorf("answer has status %d", p.StatusCode))
	}
	empty := r.Method == http.MethodHead || p.StatusCode == http.StatusNoContent || p.StatusCode == http.StatusNotModified
	if p.ContentLength < 0 && len(p.TransferEncoding) == 0 && !empty {
		return fail(upstream.Broken, errors.New("answer has neither a content length nor a chunked end"))
	}
	body, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer+1))
	if err != nil {
		return fail(upstream.Broken, err)
	}
	if len(body) > maxAnswer {
		return fail(upstream.Malformed, fmt.Errorf("answer has more than %d bytes", maxAnswer))
	}
	return Answer{Status: p.StatusCode, Header: upstream.AnswerHeader(p.Header), Body: body}, nil
}
