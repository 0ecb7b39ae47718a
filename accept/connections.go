package accept

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstByteTime is how long a connection without a request counts as one whose request is on its way.
const firstByteTime = 500 * time.Millisecond

// connections are the open connections of a server.
type connections struct {
	mu sync.Mutex
	// fresh has the connections that no request was read from, with the time when they were accepted.
	fresh map[net.Conn]time.Time
	// active has those whose request is in progress.
	active map[net.Conn]bool
	// changed receives a value after a change, if it has room.
	changed chan struct{}
}

func newConnections() *connections {
	return &connections{fresh: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}, changed: make(chan struct{}, 1)}
}

// track is the ConnState function of the server.
func (c *connections) track(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	delete(c.fresh, n)
	delete(c.active, n)
	switch s {
	case http.StateNew:
		c.fresh[n] = time.Now()
	case http.StateActive:
		c.active[n] = true
	default:
		// Idle and closed connections are owed nothing.
	}
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// owed returns the number of connections that an answer is due on, and how long until the next of them counts as idle;
// zero if none does without a change.
func (c *connections) owed() (count int, next time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count = len(c.active)
	for _, at := range c.fresh {
		left := time.Until(at.Add(firstByteTime))
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
