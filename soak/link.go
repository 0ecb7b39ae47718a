package soak

import (
	"net"
	"sync"
	"time"
)

// link is a listener whose connections can be reset, refused or silenced from outside.
type link struct {
	net.Listener

	mu    sync.Mutex
	conns map[*linked]bool
	// refused and muted are until when new connections are reset and all are silent.
	refused, muted time.Time
}

func newLink() (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &link{Listener: l, conns: map[*linked]bool{}}, nil
}

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		v := &linked{Conn: c, link: l}
		l.mu.Lock()
		refused := time.Now().Before(l.refused)
		if !refused {
			l.conns[v] = true
		}
		l.mu.Unlock()
		if !refused {
			return v, nil
		}
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without lingering a close is a reset; a connection that is gone already needs none.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// vanish resets all connections, and new ones for a while.
func (l *link) vanish(d time.Duration) {
	l.mu.Lock()
	l.refused = time.Now().Add(d)
	var list []*linked
	for c := range l.conns {
		list = append(list, c)
	}
	l.mu.Unlock()
	for _, c := range list {
		reset(c.Conn)
	}
}

// mute holds back what all connections send for a while.
func (l *link) mute(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = time.Now().Add(d)
}

// linked is a connection of a link.
type linked struct {
	net.Conn
	link *link
}

// Write implements net.Conn.
func (c *linked) Write(b []byte) (int, error) {
	c.link.mu.Lock()
	wait := time.Until(c.link.muted)
	c.link.mu.Unlock()
	time.Sleep(wait)
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linked) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
