package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Trace records whether a byte of a request was sent.
type Trace struct {
	mu   sync.Mutex
	sent bool
	conn *countingConn
	// writtenBefore is the number of bytes that earlier requests wrote to conn.
	writtenBefore int64
}

// WithContext returns a context for a request whose connections the trace observes.
func (t *Trace) WithContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *Trace) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.hasWritten()
	c, ok := i.Conn.(*countingConn)
	if !ok {
		t.sent = true
		return
	}
	t.conn = c
	t.writtenBefore = c.written.Load()
}

func (t *Trace) hasWritten() bool { return t.conn != nil && t.conn.written.Load() > t.writtenBefore }

// Sent reports whether a byte of the request may have been sent.
func (t *Trace) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent || t.hasWritten()
}

// Error returns the error of a request without a response.
func (t *Trace) Error(ctx context.Context, err error) *Error {
	t.mu.Lock()
	connected := t.conn != nil
	t.mu.Unlock()
	// The transport may still write a cancelled request after RoundTrip has returned.
	if t.Sent() || connected && ctx.Err() != nil {
		return &Error{Kind: Broken, Sent: true, Err: err}
	}
	return &Error{Kind: Connect, Err: err}
}
