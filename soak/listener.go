package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// faultyListener is a listener whose connections can be reset, refused or stalled.
type faultyListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*faultyConn]bool
	// New connections are reset until refuseUntil, and writes on all connections wait until stallUntil.
	refuseUntil, stallUntil time.Time
}

func newFaultyListener() (*faultyListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &faultyListener{Listener: l, conns: map[*faultyConn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &faultyConn{Conn: c, listener: l}
		l.mu.Lock()
		refused := time.Now().Before(l.refuseUntil)
		if !refused {
			l.conns[conn] = true
		}
		l.mu.Unlock()
		if !refused {
			return conn, nil
		}
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// With a linger time of zero, Close resets the connection. The error is ignored: the connection may be closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// resetFor resets all connections, and new ones for the duration d.
func (l *faultyListener) resetFor(d time.Duration) {
	l.mu.Lock()
	l.refuseUntil = time.Now().Add(d)
	var conns []*faultyConn
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		resetConn(c.Conn)
	}
}

// stallFor delays all writes of the instance for the duration d.
func (l *faultyListener) stallFor(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stallUntil = time.Now().Add(d)
}

// faultyConn is a connection of a faultyListener.
type faultyConn struct {
	net.Conn
	listener *faultyListener
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	wait := time.Until(c.listener.stallUntil)
	c.listener.mu.Unlock()
	time.Sleep(wait)
	return c.Conn.Write(b)
}

// SetLinger sets what Close does with bytes that are not sent yet; a linger time of zero resets the connection.
func (c *faultyConn) SetLinger(seconds int) error {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return t.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
