package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat/accept"
)

// requestTracker counts the requests in progress and the background work that they leave.
type requestTracker struct {
	mu    sync.Mutex
	count int
	// draining is set once new programs are refused.
	draining bool
	// shutdown is set once the VM shuts down; each connection closes after its next response then.
	shutdown *accept.Drain
	// idle is closed when count reaches zero; it is nil while nobody waits.
	idle chan struct{}
}

// add counts a request and reports whether to close its connection after the response.
func (t *requestTracker) add() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	return t.draining || t.shutdown != nil
}

func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// StartShutdown prepares for the end of the VM at the given time. Each connection closes after its next response. From strictFrom on,
// when callers have had the time to learn of other VMs, calls that may take longer than until the end are refused.
func (h *Handler) StartShutdown(strictFrom, end time.Time) {
	h.requests.mu.Lock()
	defer h.requests.mu.Unlock()
	h.requests.shutdown = &accept.Drain{StrictFrom: strictFrom, End: end}
}

// wouldInterrupt reports whether the shutdown may interrupt a call that ends at the given time at the latest.
func (t *requestTracker) wouldInterrupt(latestEnd time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shutdown != nil && t.shutdown.Interrupts(latestEnd)
}

// Drain refuses new programs and waits until no request is in progress or ctx is done.
func (h *Handler) Drain(ctx context.Context) error {
	h.setupOnce.Do(h.setup)
	t := &h.requests
	for {
		t.mu.Lock()
		t.draining = true
		count := t.count
		if count > 0 && t.idle == nil {
			t.idle = make(chan struct{})
		}
		idle := t.idle
		t.mu.Unlock()
		if count == 0 {
			h.pooledTransport.CloseIdleConnections()
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("%d requests still in progress: %w", count, ctx.Err())
		}
	}
}

func (t *requestTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// InProgress returns the number of requests and background tasks in progress.
func (h *Handler) InProgress() int {
	h.requests.mu.Lock()
	defer h.requests.mu.Unlock()
	return h.requests.count
}
