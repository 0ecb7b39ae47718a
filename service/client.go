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

const maxResponseBytes = 32 << 20

// Client is the HTTP client of one plain service.
type Client struct {
	Address chestnutcleat.Address
	// Transport reuses connections; it is used for calls that may be repeated.
	Transport http.RoundTripper
	// NoReuse opens a new connection for each call, so that net/http never sends a call twice.
	NoReuse http.RoundTripper
}

// Do sends a call and reads the complete response.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var t upstream.Trace
	req, err := http.NewRequestWithContext(t.WithContext(ctx), r.Method, "http://"+string(c.Address)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &upstream.Error{Kind: upstream.Connect, Err: err}
	}
	req.Header = upstream.RequestHeader(r.Header)
	req.Header.Set("User-Agent", "chestnutcleat")
	req.Header.Set(upstream.HeaderRequest, r.ID)
	transport := c.Transport
	if r.NoRetry {
		transport = c.NoReuse
		req.GetBody = nil
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{}, t.Error(ctx, err)
	}
	defer resp.Body.Close()
	return readResponse(resp, r)
}

// readResponse checks that the response belongs to the call and is complete, and reads it.
func readResponse(resp *http.Response, r Request) (Answer, error) {
	fail := func(k upstream.ErrorKind, err error) (Answer, error) {
		return Answer{}, &upstream.Error{Kind: k, Sent: true, HeaderRead: true, Err: err}
	}
	if got := resp.Header.Values(upstream.HeaderRequest); len(got) != 1 || got[0] != r.ID {
		return fail(upstream.Mismatched, fmt.Errorf("answer carries request id %q instead of %q", got, r.ID))
	}
	if resp.StatusCode < http.StatusOK {
		return fail(upstream.Malformed, fmt.Errorf("answer has status %d", resp.StatusCode))
	}
	empty := r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !empty {
		return fail(upstream.Broken, errors.New("answer has neither a content length nor a chunked end"))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return fail(upstream.Broken, err)
	}
	if len(body) > maxResponseBytes {
		return fail(upstream.Malformed, fmt.Errorf("answer has more than %d bytes", maxResponseBytes))
	}
	return Answer{Status: resp.StatusCode, Header: upstream.ResponseHeader(resp.Header), Body: body}, nil
}
