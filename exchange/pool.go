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

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// dialTimeout limits a connection attempt; the network delay within a region is a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the instance sends no Keep-Alive timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin is subtracted from the instance's Keep-Alive timeout, which starts when the instance sends its last byte.
	idleMargin = 500 * time.Millisecond
	// pruneInterval is the interval at which expired idle connections are closed. The most recently used connection is taken
	// first, so the others would otherwise keep their file descriptors.
	pruneInterval  = 5 * time.Second
	readBufferSize = 4 << 10 // bytes
	// maxRequestsPerConn bounds the requests that one connection carries, as it keeps a hash of the id of each.
	maxRequestsPerConn = 1000
	// defaultMaxHead is the value of Pool.MaxHead if it is not set, in bytes.
	defaultMaxHead = 32 << 10
)

// Pool is a pool of idle connections to instances.
type Pool struct {
	// Dial opens connections.
	Dial func(ctx context.Context, a chestnutcleat.Address) (net.Conn, error)
	// OnDial is called after each dial, also after a failed one. It may be nil.
	OnDial func(a chestnutcleat.Address, err error)
	// MaxHead limits the status line and header of a response, including all informational responses before it, in bytes. Zero
	// means a default.
	MaxHead int64

	mu        sync.Mutex
	idle      map[chestnutcleat.Address][]*conn
	lastPrune time.Time
	closed    bool
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address chestnutcleat.Address
	// sentIDs holds the hashes of the ids of the requests that were sent on the connection.
	sentIDs []uint64
	// inHead is set while the head of a response is read, which may take headLeft more bytes. headRead is what was read of it, of which the
	// part that does not fit into the buffer is reserved.
	inHead             bool
	headLeft, headRead int64
	reserve            func(n int64) error
	// expires is when an idle connection must no longer be used, as the instance may close it.
	expires time.Time
}

// NewPool returns an empty pool. probes configures the TCP keep-alive probes, which detect dead connections.
func NewPool(probes net.KeepAliveConfig) *Pool {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes}
	return &Pool{
		Dial: func(ctx context.Context, a chestnutcleat.Address) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", string(a))
		},
		idle: map[chestnutcleat.Address][]*conn{},
	}
}

// acquire returns a connection for the request with the given id: a reusable idle one on which that id was not sent yet, or a new one.
func (p *Pool) acquire(ctx context.Context, a chestnutcleat.Address, id chestnutcleat.RequestID) (*conn, error) {
	hash := xxhash.Sum64String(string(id))
	for c := p.popIdle(a, hash); c != nil; c = p.popIdle(a, hash) {
		if time.Now().Before(c.expires) && c.reusable() {
			c.sentIDs = append(c.sentIDs, hash)
			return c, nil
		}
		c.Close()
	}
	raw, err := p.Dial(ctx, a)
	if p.OnDial != nil {
		p.OnDial(a, err)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, address: a, sentIDs: []uint64{hash}}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// Read implements io.Reader for the buffered reader of the connection.
func (c *conn) Read(b []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(b)
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.headLeft)])
	c.headLeft -= int64(n)
	before := max(c.headRead, readBufferSize)
	c.headRead += int64(n)
	if more := c.headRead - before; more > 0 && c.reserve != nil {
		if err := c.reserve(more); err != nil {
			return 0, err
		}
	}
	return n, err
}

// popIdle takes the most recently used idle connection on which no id with the given hash was sent. If there is none, it closes the
// oldest idle connection, so that a caller that repeats its id does not add connections.
func (p *Pool) popIdle(a chestnutcleat.Address, hash uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.sentIDs, hash) {
			p.idle[a] = slices.Delete(list, i, i+1)
			return c
		}
	}
	if len(list) > 0 {
		list[0].Close()
		p.idle[a] = slices.Delete(list, 0, 1)
	}
	return nil
}

func (p *Pool) putIdle(c *conn, h http.Header) {
	c.expires = time.Now().Add(idleTimeout(h))
	if len(c.sentIDs) >= maxRequestsPerConn || c.SetDeadline(time.Time{}) != nil {
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
	if now := time.Now(); now.Sub(p.lastPrune) > pruneInterval {
		p.lastPrune = now
		p.prune(now)
	}
}

// prune closes the expired idle connections. The caller must hold the lock.
func (p *Pool) prune(now time.Time) {
	for a, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if now.Before(c.expires) {
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

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(a chestnutcleat.Address) {
	p.mu.Lock()
	list := p.idle[a]
	delete(p.idle, a)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close closes the idle connections. Connections in use are closed when their exchange ends.
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

// idleTimeout returns how long an idle connection may be used, according to the Keep-Alive header of the last response.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTimeout
}

// reusable reports whether the connection is open and has no unread bytes. Bytes after the last response belong to no request
// and would be taken for the next response.
func (c *conn) reusable() bool {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}
