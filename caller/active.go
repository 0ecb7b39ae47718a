package caller

import (
	"context"
	"fmt"
	"sync"
)

// active counts the requests in progress and the work that follows them.
type active struct {
	mu      sync.Mutex
	count   int
	leaving bool
	// retiring is set when connections are closed after their next response.
	retiring bool
	idle     chan struct{}
}

// enter counts a request and reports whether its connection is closed after the response.
func (a *active) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	return a.leaving || a.retiring
}

func (a *active) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// Retire lets each connection close after its next response; new programs are still served.
func (h *Handler) Retire() {
	h.active.mu.Lock()
	defer h.active.mu.Unlock()
	h.active.retiring = true
}

// Drain refuses new programs and waits for the requests in progress.
func (h *Handler) Drain(ctx context.Context) error {
	h.once.Do(h.setup)
	a := &h.active
	for {
		a.mu.Lock()
		a.leaving = true
		n := a.count
		if n > 0 && a.idle == nil {
			a.idle = make(chan struct{})
		}
		idle := a.idle
		a.mu.Unlock()
		if n == 0 {
			h.reuse.CloseIdleConnections()
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("%d requests still in progress: %w", n, ctx.Err())
		}
	}
}

func (a *active) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int {
	h.active.mu.Lock()
	defer h.active.mu.Unlock()
	return h.active.count
}
