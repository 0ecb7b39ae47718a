package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Trace tells whether a byte of a request was sent.
type Trace struct {
	mu   sync.Mutex
	sent bool
	conn *conn
	base int64
}

// With returns a context that reports the connections of a request to the trace.
func (t *Trace) With(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.got})
}

func (t *Trace) got(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.written()
	c, ok := i.Conn.(*conn)
	if !ok {
		t.sent = true
		return
	}
	t.conn = c
	t.base = c.written.Load()
}

func (t *Trace) written() bool { return t.conn != nil && t.conn.written.Load() > t.base }

// Sent reports whether a byte of the request may have been sent.
func (t *Trace) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent || t.written()
}

// Failed returns the error of a request that got no answer.
func (t *Trace) Failed(ctx context.Context, err error) *Error {
	t.mu.Lock()
	connected := t.conn != nil
	t.mu.Unlock()
	// A cancelled request may still be written by the transport after it returned.
	if t.Sent() || connected && ctx.Err() != nil {
		return &Error{Kind: Broken, Sent: true, Err: err}
	}
	return &Error{Kind: Connect, Err: err}
}
