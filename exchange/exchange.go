package exchange

import (
	"bytes"
	"cmp"
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

// maxInlineBody is the size in bytes above which a body is written concurrently with reading the response: an instance may
// respond before it has read a long body, and both sides would then block on a full connection.
const maxInlineBody = 8 << 10

// Request is a request to an instance.
type Request struct {
	// ID is the id that the instance echoes. No connection carries two requests with the same id, as a second copy of the answer to
	// the first could not be told from the answer to the second.
	ID     chestnutcleat.RequestID
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Reserve is called before n more bytes of a long response head are kept; an error ends the exchange. It may be nil.
	Reserve func(n int64) error
}

// Error is the error of an exchange that failed before the response header was read.
type Error struct {
	// Sent is set when the instance may have received the request.
	Sent bool
	// DialFailed is set when no connection could be established.
	DialFailed bool
	Err        error
}

// ErrHeadTooLong is returned for a response whose head exceeds Pool.MaxHead.
var ErrHeadTooLong = errors.New("head of the response is too long")

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("exchange (sent %t): %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is the response to one request. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, or -1 if it is not known in advance.
	Length int64

	body        io.ReadCloser
	conn        *conn
	pool        *Pool
	writeResult chan error
	// stopAfterFunc detaches the connection from the request's context; it returns false if the context has already ended.
	stopAfterFunc func() bool
	closeAfter    bool
	atEOF         bool
	once          sync.Once
}

// Do sends a request and reads the header of its response. When ctx is done, the exchange fails and its connection is closed.
func (p *Pool) Do(ctx context.Context, a chestnutcleat.Address, q *Request) (*Response, error) {
	c, err := p.acquire(ctx, a, q.ID)
	if err != nil {
		return nil, &Error{DialFailed: true, Err: err}
	}
	// A deadline in the past interrupts blocked reads and writes.
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
	r.stopAfterFunc = stop
	return r, nil
}

func (p *Pool) exchange(c *conn, q *Request) (*Response, *Error) {
	data, request, err := q.encode()
	if err != nil {
		return nil, &Error{Err: err}
	}
	writeResult := make(chan error, 1)
	if len(q.Body) > maxInlineBody {
		go func() { writeResult <- write(c, data) }()
	} else if err := write(c, data); err != nil {
		return nil, &Error{Sent: true, Err: err}
	} else {
		writeResult <- nil
	}
	c.reserve = q.Reserve
	resp, err := c.readHead(request, cmp.Or(p.MaxHead, defaultMaxHead))
	if err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, conn: c, pool: p, writeResult: writeResult, closeAfter: resp.Close,
	}, nil
}

// readHead reads the head of the final response, after any informational responses.
func (c *conn) readHead(request *http.Request, limit int64) (*http.Response, error) {
	c.inHead, c.headLeft, c.headRead = true, limit, 0
	defer func() { c.inHead, c.reserve = false, nil }()
	for {
		resp, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("unexpected switch of protocols")
		}
	}
}

func (q *Request) encode() ([]byte, *http.Request, error) {
	h := q.Header
	if _, ok := h["User-Agent"]; !ok {
		// A nil value prevents net/http from adding its own User-Agent.
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

// Read reads the body. It returns io.EOF only at the end of the complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.atEOF = true
	}
	return n, err
}

// Close ends the exchange. The connection is returned to the pool only if the request was written and the response read
// completely and no further bytes follow.
func (r *Response) Close() {
	r.once.Do(func() {
		uncanceled := r.stopAfterFunc()
		if uncanceled && r.atEOF && !r.closeAfter && r.requestWritten() && r.conn.reader.Buffered() == 0 {
			r.pool.putIdle(r.conn, r.Header)
			return
		}
		r.conn.Close()
	})
}

// requestWritten reports whether the whole request has been written without an error.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}
