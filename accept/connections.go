package accept

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// firstByteTimeout is how long after its accept a connection without a request is assumed to have one in transit.
const firstByteTimeout = 500 * time.Millisecond

// States of a connection.
const (
	// stateNew is the state before the first byte of the first request.
	stateNew int32 = iota
	// stateIdle is the state between a response and the first byte of the next request.
	stateIdle
	// stateBusy is the state from the first byte of a request to the end of its response.
	stateBusy
	// stateClosed is final.
	stateClosed
)

// conn is a connection whose state changes with the bytes that are read from it. A connection on which a request has begun is thus
// never closed as an idle one.
type conn struct {
	*net.TCPConn
	owner    *connections
	accepted time.Time
	state    atomic.Int32
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if !isEmptyLines(b[:n]) && !c.markBusy() {
		return 0, net.ErrClosed
	}
	return n, err
}

// isEmptyLines reports whether bytes are only line breaks. Callers may send such before a request (RFC 9112, section 2.2); no request
// begins with them.
func isEmptyLines(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// markBusy records the begin of a request; it returns false if the connection was closed before.
func (c *conn) markBusy() bool {
	for {
		s := c.state.Load()
		if s == stateClosed {
			return false
		}
		if s == stateBusy || c.state.CompareAndSwap(s, stateBusy) {
			return true
		}
	}
}

// markClosedUnlessBusy reports whether no request is in progress; the connection then counts as closed.
func (c *conn) markClosedUnlessBusy() bool {
	s := c.state.Load()
	return s == stateClosed || s != stateBusy && c.state.CompareAndSwap(s, stateClosed)
}

// Close implements net.Conn. While net/http closes the connections that it takes for idle, one on which a request has begun stays open.
func (c *conn) Close() error {
	if c.owner.closingIdle.Load() && !c.markClosedUnlessBusy() {
		return nil
	}
	return c.closeNow()
}

func (c *conn) closeNow() error {
	c.state.Store(stateClosed)
	return c.TCPConn.Close()
}

// awaitsRequest reports whether the first request may still be in transit, and for how much longer that is assumed.
func (c *conn) awaitsRequest() (left time.Duration, awaits bool) {
	left = time.Until(c.accepted.Add(firstByteTimeout))
	return left, c.state.Load() == stateNew && left > 0
}

// connections tracks the open connections of a server.
type connections struct {
	mu   sync.Mutex
	open map[*conn]bool
	// closingIdle is set while net/http closes idle connections.
	closingIdle atomic.Bool
	// changed receives a value after each state change, unless one is already pending.
	changed chan struct{}
}

func newConnections() *connections {
	return &connections{open: map[*conn]bool{}, changed: make(chan struct{}, 1)}
}

// add wraps and tracks an accepted connection.
func (c *connections) add(n *net.TCPConn) *conn {
	wrapped := &conn{TCPConn: n, owner: c, accepted: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[wrapped] = true
	return wrapped
}

// track is the ConnState callback of the server.
func (c *connections) track(n net.Conn, s http.ConnState) {
	wrapped, ok := n.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		wrapped.state.CompareAndSwap(stateBusy, stateIdle)
	case http.StateActive:
		// The request may have been read together with the one before it (pipelining), without a further call of Read.
		wrapped.markBusy()
	case http.StateClosed:
		// The error is ignored: the connection may be closed already.
		_ = wrapped.closeNow()
		c.forget(wrapped)
	case http.StateHijacked:
		// Handlers take a connection over only to end it.
		wrapped.state.Store(stateClosed)
		c.forget(wrapped)
	default:
		// Bytes that are read mark the other states.
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *connections) forget(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, n)
}

// closeAll closes all connections, also those with a request in progress.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.open {
		// The error is ignored: the connection may be closed already.
		_ = n.closeNow()
	}
}

// closeIdle closes the connections on which no request is in progress or in transit. It returns the number of the others, and the
// time until a request that is assumed to be in transit no longer is, or zero if there is none.
func (c *connections) closeIdle() (pending int, next time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.open {
		left, awaits := n.awaitsRequest()
		if !awaits && n.markClosedUnlessBusy() {
			// The error is ignored: nothing is due on the connection.
			_ = n.closeNow()
			continue
		}
		pending++
		if awaits && (next == 0 || left < next) {
			next = left
		}
	}
	return pending, next
}
