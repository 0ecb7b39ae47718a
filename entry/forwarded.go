package entry

import (
	"cmp"
	"slices"
	"sync"

	"chestnutcleat.example/chestnutcleat/event"
)

// forwardedCalls holds the admitted requests that have no complete answer yet.
type forwardedCalls struct {
	mu    sync.Mutex
	calls map[*call]bool
}

func (f *forwardedCalls) add(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = map[*call]bool{}
	}
	f.calls[c] = true
}

func (f *forwardedCalls) remove(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c)
}

// all returns the calls by the time of their arrival.
func (f *forwardedCalls) all() []*call {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*call, 0, len(f.calls))
	for c := range f.calls {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(a.ID, b.ID)) })
	return list
}

// Interrupt ends the admitted requests without a complete answer, as the VM shuts down. It emits an event for each, at most limit of
// them, and returns their number. Callers to whom nothing was sent yet get an error.
func (h *Handler) Interrupt(limit int) int {
	list := h.forwarded.all()
	for i, c := range list {
		if i < limit {
			h.Observer.Emit(event.RequestInterrupted, append(c.identity(), "route", c.route.Name)...)
		}
		c.cancel(errInterrupted)
	}
	return len(list)
}
