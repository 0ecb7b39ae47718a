package accept

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstByteTimeout is how long after its accept a connection without a request is assumed to have one in transit.
const firstByteTimeout = 500 * time.Millisecond

// connections tracks the connections of a server on which a response is due or may become due.
type connections struct {
	mu sync.Mutex
	// newConns maps the connections from which no request has been read yet to the times when they were accepted.
	newConns map[net.Conn]time.Time
	// active is the set of connections with a request in progress.
	active map[net.Conn]bool
	// changed receives a value after each state change, unless one is already pending.
	changed chan struct{}
}

func newConnections() *connections {
	return &connections{newConns: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}, changed: make(chan struct{}, 1)}
}

// track is the ConnState callback of the server.
func (c *connections) track(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	delete(c.newConns, n)
	delete(c.active, n)
	switch s {
	case http.StateNew:
		c.newConns[n] = time.Now()
	case http.StateActive:
		c.active[n] = true
	default:
		// No response is due on idle and closed connections.
	}
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// pending returns the number of connections on which a response is due, and the time until the next new connection times out,
// or zero if there is none.
func (c *connections) pending() (count int, next time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count = len(c.active)
	for _, at := range c.newConns {
		left := time.Until(at.Add(firstByteTimeout))
		if left <= 0 {
			continue
		}
		count++
		if next == 0 || left < next {
			next = left
		}
	}
	return count, next
}
