package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// concurrentBody is the size above which a body is written while the answer is awaited: an instance may answer before it
// has read a long body, and a full connection would then block both sides.
const concurrentBody = 8 << 10

// Request is what an instance gets.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Error is a failed exchange.
type Error struct {
	// Sent is set when the instance may have got the request.
	Sent bool
	// Refused is set when no connection could be made.
	Refused bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("exchange (sent %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is the answer to one request; it must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body, or -1 when the instance does not say.
	Length int64

	body  io.ReadCloser
	conn  *conn
	pool  *Pool
	wrote chan error
	stop  func() bool
	last  bool
	ended bool
	once  sync.Once
}

// Do sends a request and reads the header of its answer. When ctx is done the connection is closed.
func (p *Pool) Do(ctx context.Context, a chestnutcleat.Address, q *Request) (*Response, error) {
	c, err := p.take(ctx, a)
	if err != nil {
		return nil, &Error{Refused: true, Err: err}
	}
	// A deadline in the past interrupts reads and writes that wait.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	r, failed := p.exchange(c, q)
	if failed != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			failed.Err = errors.Join(ctx.Err(), failed.Err)
		}
		return nil, failed
	}
	r.stop = stop
	return r, nil
}

func (p *Pool) exchange(c *conn, q *Request) (*Response, *Error) {
	data, request, err := q.encode()
	if err != nil {
		return nil, &Error{Err: err}
	}
	wrote := make(chan error, 1)
	if len(q.Body) > concurrentBody {
		go func() { wrote <- write(c, data) }()
	} else if err := write(c, data); err != nil {
		return nil, &Error{Sent: true, Err: err}
	} else {
		wrote <- nil
	}
	for {
		a, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, &Error{Sent: true, Err: err}
		}
		if a.StatusCode >= http.StatusOK {
			return &Response{
				Status: a.StatusCode, Header: a.Header, Length: a.ContentLength,
				body: a.Body, conn: c, pool: p, wrote: wrote, last: a.Close,
			}, nil
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			return nil, &Error{Sent: true, Err: errors.New("unexpected switch of protocols")}
		}
	}
}

func (q *Request) encode() ([]byte, *http.Request, error) {
	h := q.Header
	if _, ok := h["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its own.
		h["User-Agent"] = nil
	}
	r := &http.Request{
		Method: q.Method, URL: &url.URL{Scheme: "http", Host: q.Host, Opaque: q.Target}, Host: q.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(q.Body)),
	}
	if len(q.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	var b bytes.Buffer
	b.Grow(len(q.Body) + 1<<10)
	if err := r.Write(&b); err != nil {
		return nil, nil, fmt.Errorf("encode request: %w", err)
	}
	return b.Bytes(), r, nil
}

func write(c *conn, data []byte) error {
	if _, err := c.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Read reads the body; it returns io.EOF only after the whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only after a whole answer without bytes behind it.
func (r *Response) Close() {
	r.once.Do(func() {
		running := r.stop()
		if running && r.ended && !r.last && r.written() && r.conn.reader.Buffered() == 0 {
			r.pool.put(r.conn, r.Header)
			return
		}
		r.conn.Close()
	})
}

// written reports whether the whole request was written.
func (r *Response) written() bool {
	select {
	case err := <-r.wrote:
		return err == nil
	default:
		return false
	}
}
