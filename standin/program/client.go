package program

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat/sse"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

const (
	// addressTTL is how long a list of addresses is used.
	addressTTL = time.Second
	// resolveTimeout limits one request for addresses.
	resolveTimeout = time.Second
	maxAnswerBytes = 1 << 20
)

// Request is one attempt of a caller to send a request.
type Request struct {
	ID, Path, Body string
	// Program, Previous, TokenBudget and MaxTokens are set for turns: the id of the program, the id of the previous turn, the token
	// budget, and the maximum number of output tokens.
	Program, Previous      string
	TokenBudget, MaxTokens int
	// Timeout is the deadline that the VM is told, and Slack how long the client waits beyond it.
	Timeout, Slack time.Duration
	// LastEvent, Resumes and Version are set to take a stream up again: the number of events received, the attempt that brought the
	// first one, and the software version that wrote them.
	LastEvent        int
	Resumes, Version string
}

// Result is the outcome of an attempt.
type Result struct {
	// Status is zero if there was no response.
	Status int
	// Complete is set for a success whose body was received completely.
	Complete bool
	// Events is the number of events received.
	Events int
	// Version is the software version that wrote them.
	Version string
	// RetryAfter is the value of the header Retry-After, if there is one.
	RetryAfter time.Duration
	// Mismatch says why a success is not the correct response to the request; it is empty otherwise.
	Mismatch string
	// Address is that of the VM that the request was sent to; empty if none was known.
	Address string
	Err     error
}

// Client sends the requests of one customer.
type Client struct {
	// Host is the host name of the routes, Key the key of the customer, and Domain and Region the location of the caller.
	Host, Key, Domain, Region string
	// Registries are the addresses of the VMs that resolve host names.
	Registries []string
	HTTP       *http.Client

	mu      sync.Mutex
	list    []string
	fetched time.Time
}

// addresses returns the addresses of the host. When no VM answers, it returns the last known list.
func (c *Client) addresses(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) > 0 && time.Since(c.fetched) < addressTTL {
		return c.list
	}
	for _, i := range rand.Perm(len(c.Registries)) {
		if list := Resolve(ctx, c.HTTP, c.Registries[i], c.Host, c.Region, c.Domain); len(list) > 0 {
			c.list, c.fetched = list, time.Now()
			break
		}
	}
	return c.list
}

// Resolve asks a VM for the addresses of a host for callers in a region and failure domain. It returns nil if there is no valid
// response.
func Resolve(ctx context.Context, client *http.Client, registry, host, region, domain string) []string {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"name": {host}, "region": {region}, "zone": {domain}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+registry+"/api/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var list struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil {
		return nil
	}
	return list.Addresses
}

// Do sends the request once and reads the whole response.
func (c *Client) Do(ctx context.Context, req Request) Result {
	list := c.addresses(ctx)
	if len(list) == 0 {
		return Result{Err: fmt.Errorf("no addresses of %s", c.Host)}
	}
	address := list[rand.IntN(len(list))]
	out := c.Send(ctx, address, &req)
	out.Address = address
	return out
}

// Send sends the request to the VM at an address.
func (c *Client) Send(ctx context.Context, address string, req *Request) Result {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout+req.Slack)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+req.Path, strings.NewReader(req.Body))
	if err != nil {
		return Result{Err: err}
	}
	httpReq.Host = c.Host
	c.setHeaders(httpReq.Header, req)
	resp, err := c.HTTP.Do(httpReq)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	out := Result{Status: resp.StatusCode}
	if n, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.RetryAfter = time.Duration(n * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		_, out.Err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return out
	}
	if id := resp.Header.Get(instance.HeaderID); id != req.ID {
		out.Mismatch = fmt.Sprintf("answer is for request %q", id)
	}
	if resp.Header.Get(instance.HeaderSignature) == "" {
		out.Mismatch = "success is not signed"
	}
	if strings.HasPrefix(req.Path, instance.StreamPrefix) {
		out.readStream(req, resp.Body)
	} else {
		out.readPlain(req, resp.Body)
	}
	return out
}

func (c *Client) setHeaders(h http.Header, req *Request) {
	h.Set("Authorization", "Bearer "+c.Key)
	h.Set(instance.HeaderID, req.ID)
	h.Set("Chestnutcleat-Deadline-Ms", strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	if req.LastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(req.LastEvent))
		h.Set("Resumes", req.Resumes)
	}
	if req.Program == "" {
		return
	}
	h.Set("Chestnutcleat-Program-Id", req.Program)
	h.Set("Chestnutcleat-Session-Id", req.Program)
	if req.MaxTokens > 0 {
		h.Set("Chestnutcleat-Token-Budget", strconv.Itoa(req.TokenBudget))
		h.Set("Chestnutcleat-Token-Count", fmt.Sprintf("%d,%d", len(req.Body), req.MaxTokens))
	}
	if req.Previous != "" {
		h.Set("Chestnutcleat-Previous-Turn", req.Previous)
	}
}

func (r *Result) readPlain(req *Request, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	r.Err = err
	if err != nil {
		return
	}
	r.Complete = true
	if string(data) != instance.Answer(req.ID, req.Body) {
		r.Mismatch = fmt.Sprintf("body of %d bytes is not the answer to this request", len(data))
	}
}

func (r *Result) readStream(req *Request, body io.Reader) {
	events := sse.Reader{R: bufio.NewReader(body)}
	name := instance.StreamName(req.Path, req.ID)
	r.Version = req.Version
	for {
		e, err := events.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			r.Err = err
			return
		}
		r.Events++
		n := req.LastEvent + r.Events
		if n == 1 {
			r.Version = instance.EventVersion(string(e.Data))
		}
		if e.ID != n || string(e.Data) != instance.EventData(name, r.Version, n) {
			r.Mismatch = fmt.Sprintf("event %d has the wrong id %d or data %q; version %q began the stream", n, e.ID, e.Data, r.Version)
			return
		}
	}
	r.Complete = true
	if n := req.LastEvent + r.Events; n != instance.EventCount(name) {
		r.Mismatch = fmt.Sprintf("stream ended without an error after %d of %d events", n, instance.EventCount(name))
	}
}
