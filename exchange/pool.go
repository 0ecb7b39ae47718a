package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// dialTimeout bounds a connection attempt to an instance that does not answer; links within a region take a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept when the instance does not say.
	defaultIdle = 30 * time.Second
	// idleMargin is taken off the idle time that an instance states, as it counts from its own last byte.
	idleMargin = 500 * time.Millisecond
	// pruneInterval is the time between looks for idle connections that no request took in time: the last one used is taken
	// first, so the others would keep their descriptors.
	pruneInterval = 5 * time.Second
	readBuffer    = 4 << 10
)

// Pool keeps idle connections to instances.
type Pool struct {
	// Dial opens connections.
	Dial func(ctx context.Context, a chestnutcleat.Address) (net.Conn, error)
	// Opened is called for each new connection; nil ignores it.
	Opened func(a chestnutcleat.Address, err error)

	mu     sync.Mutex
	idle   map[chestnutcleat.Address][]*conn
	pruned time.Time
	closed bool
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address chestnutcleat.Address
	// until is when the instance may close the connection.
	until time.Time
}

// NewPool returns a pool without connections; probes find connections that went silent.
func NewPool(probes net.KeepAliveConfig) *Pool {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes}
	return &Pool{
		Dial: func(ctx context.Context, a chestnutcleat.Address) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", string(a))
		},
		idle: map[chestnutcleat.Address][]*conn{},
	}
}

// take returns an idle connection that has no unread bytes, or a new one.
func (p *Pool) take(ctx context.Context, a chestnutcleat.Address) (*conn, error) {
	for c := p.pop(a); c != nil; c = p.pop(a) {
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.Dial(ctx, a)
	if p.Opened != nil {
		p.Opened(a, err)
	}
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: a}, nil
}

func (p *Pool) pop(a chestnutcleat.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[a] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn, h http.Header) {
	c.until = time.Now().Add(idleTime(h))
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if now := time.Now(); now.Sub(p.pruned) > pruneInterval {
		p.pruned = now
		p.prune(now)
	}
}

// prune closes the idle connections that are past their time.
func (p *Pool) prune(now time.Time) {
	for a, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if now.Before(c.until) {
				return false
			}
			c.Close()
			return true
		})
		if p.idle[a] = list; len(list) == 0 {
			delete(p.idle, a)
		}
	}
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(a chestnutcleat.Address) {
	p.mu.Lock()
	list := p.idle[a]
	delete(p.idle, a)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close closes the idle connections and keeps no further ones.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, a)
	}
}

// idleTime reads how long the instance keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}

// quiet reports whether the connection is open and has no bytes waiting: bytes that came after the last answer belong
// to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
