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
	// listTime is how long a list of addresses is kept.
	listTime = time.Second
	// resolveTime bounds one question for addresses.
	resolveTime = time.Second
	answerBytes = 1 << 20
)

// Request is one attempt of a caller.
type Request struct {
	ID, Path, Body string
	// Program, Previous, Budget and Most are those of a turn.
	Program, Previous string
	Budget, Most      int
	Deadline          time.Duration
}

// Result is how an attempt ended.
type Result struct {
	// Status is zero when the connection ended without an answer.
	Status int
	// Whole is set for a success that is complete.
	Whole bool
	// Events is the number of events that were delivered.
	Events int
	// Retry is when to come back, if the answer says so.
	Retry time.Duration
	// Fault says what of the answer can't be true; empty for nothing.
	Fault string
	Err   error
}

// Client sends requests of one customer.
type Client struct {
	// Host names the routes, Key the customer, and Domain and Region where the caller is.
	Host, Key, Domain, Region string
	// Registries are where to ask for addresses.
	Registries []string
	HTTP       *http.Client

	mu    sync.Mutex
	list  []string
	asked time.Time
}

// addresses returns the present list; an old one is kept while nobody answers.
func (c *Client) addresses(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) > 0 && time.Since(c.asked) < listTime {
		return c.list
	}
	for _, i := range rand.Perm(len(c.Registries)) {
		if list := Resolve(ctx, c.HTTP, c.Registries[i], c.Host, c.Region, c.Domain); len(list) > 0 {
			c.list, c.asked = list, time.Now()
			break
		}
	}
	return c.list
}

// Resolve asks a VM where callers of a region and failure domain connect for a host; it returns nothing when the VM does not say.
func Resolve(ctx context.Context, client *http.Client, registry, host, region, domain string) []string {
	ctx, cancel := context.WithTimeout(ctx, resolveTime)
	defer cancel()
	query := url.Values{"name": {host}, "region": {region}, "zone": {domain}}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+registry+"/api/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	a, err := client.Do(q)
	if err != nil {
		return nil
	}
	defer a.Body.Close()
	var list struct {
		Addresses []string `json:"addresses"`
	}
	if a.StatusCode != http.StatusOK || json.NewDecoder(a.Body).Decode(&list) != nil {
		return nil
	}
	return list.Addresses
}

// Do sends one attempt and reads its answer to the end.
func (c *Client) Do(ctx context.Context, q Request) Result {
	list := c.addresses(ctx)
	if len(list) == 0 {
		return Result{Err: fmt.Errorf("no addresses of %s", c.Host)}
	}
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+list[rand.IntN(len(list))]+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Result{Err: err}
	}
	r.Host = c.Host
	c.header(r.Header, &q)
	a, err := c.HTTP.Do(r)
	if err != nil {
		return Result{Err: err}
	}
	defer a.Body.Close()
	out := Result{Status: a.StatusCode}
	if n, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
		out.Retry = time.Duration(n * float64(time.Second))
	}
	if a.StatusCode != http.StatusOK {
		_, out.Err = io.Copy(io.Discard, io.LimitReader(a.Body, answerBytes))
		return out
	}
	if id := a.Header.Get(instance.HeaderID); id != q.ID {
		out.Fault = fmt.Sprintf("answer is for request %q", id)
	}
	if a.Header.Get(instance.HeaderSigned) == "" {
		out.Fault = "success is not signed"
	}
	if strings.HasPrefix(q.Path, instance.StreamPrefix) {
		out.readStream(&q, a.Body)
	} else {
		out.readPlain(&q, a.Body)
	}
	return out
}

func (c *Client) header(h http.Header, q *Request) {
	h.Set("Authorization", "Bearer "+c.Key)
	h.Set(instance.HeaderID, q.ID)
	h.Set("Chestnutcleat-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Program == "" {
		return
	}
	h.Set("Chestnutcleat-Program-Id", q.Program)
	h.Set("Chestnutcleat-Session-Id", q.Program)
	if q.Most > 0 {
		h.Set("Chestnutcleat-Token-Budget", strconv.Itoa(q.Budget))
		h.Set("Chestnutcleat-Token-Count", fmt.Sprintf("%d,%d", len(q.Body), q.Most))
	}
	if q.Previous != "" {
		h.Set("Chestnutcleat-Previous-Turn", q.Previous)
	}
}

func (r *Result) readPlain(q *Request, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, answerBytes))
	r.Err = err
	if err != nil {
		return
	}
	r.Whole = true
	if string(data) != instance.Answer(q.ID, q.Body) {
		r.Fault = fmt.Sprintf("body of %d bytes is not the answer to this request", len(data))
	}
}

func (r *Result) readStream(q *Request, body io.Reader) {
	events := sse.Reader{R: bufio.NewReader(body)}
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
		if e.ID != r.Events || string(e.Data) != instance.Piece(q.ID, r.Events) {
			r.Fault = fmt.Sprintf("event %d is %d with %q", r.Events, e.ID, e.Data)
			return
		}
	}
	r.Whole = true
	if r.Events != instance.Pieces(q.ID) {
		r.Fault = fmt.Sprintf("stream ends as whole after %d of %d events", r.Events, instance.Pieces(q.ID))
	}
}
