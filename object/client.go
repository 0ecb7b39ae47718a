package object

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// clientHeader identifies the client to the platform, which counts calls per client.
	clientHeader = "Chestnutcleat-Client"
	// callTimeout bounds a call other than a watch; the platform may answer with a latency of 5 s.
	callTimeout = 15 * time.Second
	// watchWait is how long the platform holds a watch open if nothing changes.
	watchWait = 30 * time.Second
	// defaultRetryDelay is the delay after a status 429 without Retry-After.
	defaultRetryDelay = time.Second
	// maxResponseBytes bounds the response body that is read.
	maxResponseBytes = 64 << 20
)

// Client calls the platform's object API over HTTP.
type Client struct {
	// URL is the base URL of the object API.
	URL string
	// Name is the client name under which the platform counts calls.
	Name string
	// HTTP is the underlying client; nil means http.DefaultClient.
	HTTP *http.Client

	calls atomic.Int64
}

// Calls returns the number of HTTP requests sent so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// request is one API request. A status 429 means that it had no effect, so it is repeated after Retry-After.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

func (c *Client) do(ctx context.Context, r request) (http.Header, []byte, error) {
	for {
		retry, h, data, err := c.send(ctx, r)
		if err != nil || retry == 0 {
			return h, data, err
		}
		t := time.NewTimer(retry)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, nil, fmt.Errorf("%s %s: rate limited: %w", r.method, r.path, ctx.Err())
		}
	}
}

func (c *Client) send(ctx context.Context, r request) (time.Duration, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(c.URL, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return 0, nil, nil, err
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	req.Header.Set(clientHeader, c.Name)
	c.calls.Add(1)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("platform: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("platform: read answer of %s %s: %w", r.method, r.path, err)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return retryAfter(resp.Header), nil, nil, nil
	}
	return 0, resp.Header, data, statusError(r, resp.StatusCode, data)
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n <= 0 {
		return defaultRetryDelay
	}
	return time.Duration(n) * time.Second
}

func statusError(r request, status int, data []byte) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusPreconditionFailed:
		return chestnutcleat.ErrConflict
	case status == http.StatusNotFound:
		return chestnutcleat.ErrNotFound
	case status == http.StatusRequestEntityTooLarge:
		return chestnutcleat.ErrTooLarge
	}
	return fmt.Errorf("platform: %s %s: status %d: %s", r.method, r.path, status, bytes.TrimSpace(data))
}

func objectPath(n chestnutcleat.ObjectName) string {
	return (&url.URL{Path: "/objects/" + string(n)}).EscapedPath()
}

func parseETag(h http.Header) (chestnutcleat.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("platform: ETag %q is not a version", h.Get("ETag"))
	}
	return chestnutcleat.Version(n), nil
}

func precondition(v chestnutcleat.Version) http.Header {
	if v == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(v), 10))}}
}

// Get implements chestnutcleat.Platform.
func (c *Client) Get(ctx context.Context, name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, data, err := c.do(ctx, request{method: http.MethodGet, path: objectPath(name)})
	if err != nil {
		return chestnutcleat.Object{}, err
	}
	v, err := parseETag(h)
	return chestnutcleat.Object{Name: name, Version: v, Data: data}, err
}

// Put implements chestnutcleat.Platform.
func (c *Client) Put(ctx context.Context, o chestnutcleat.Object) (chestnutcleat.Version, error) {
	if len(o.Data) > chestnutcleat.MaxObjectBytes {
		return 0, chestnutcleat.ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, _, err := c.do(ctx, request{method: http.MethodPut, path: objectPath(o.Name), header: precondition(o.Version), body: o.Data})
	if err != nil {
		return 0, err
	}
	return parseETag(h)
}

// Delete implements chestnutcleat.Platform.
func (c *Client) Delete(ctx context.Context, name chestnutcleat.ObjectName, v chestnutcleat.Version) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.do(ctx, request{method: http.MethodDelete, path: objectPath(name), header: precondition(v)})
	return err
}

// List implements chestnutcleat.Platform.
func (c *Client) List(ctx context.Context, prefix chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	q := url.Values{"prefix": {string(prefix)}}
	return getJSON[[]chestnutcleat.Object](ctx, c, callTimeout, "/objects?"+q.Encode())
}

// Watch implements chestnutcleat.Platform.
func (c *Client) Watch(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	q := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {watchWait.String()}}
	for _, p := range prefixes {
		q.Add("prefix", string(p))
	}
	return getJSON[[]chestnutcleat.Object](ctx, c, watchWait+callTimeout, "/objects?"+q.Encode())
}

// VMs implements chestnutcleat.Platform.
func (c *Client) VMs(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
	return getJSON[[]chestnutcleat.ListedVM](ctx, c, callTimeout, "/vms")
}

// SetVM registers this VM, or marks it as leaving, in the platform's list.
func (c *Client) SetVM(ctx context.Context, v chestnutcleat.ListedVM) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err = c.do(ctx, request{method: http.MethodPut, path: "/vms/" + url.PathEscape(string(v.ID)), body: data})
	return err
}

func getJSON[T any](ctx context.Context, c *Client, timeout time.Duration, path string) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, data, err := c.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("platform: decode answer of GET %s: %w", path, err)
	}
	return v, nil
}
