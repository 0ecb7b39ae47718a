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

// ReportInterrupted emits an event for each admitted request without a complete answer, at most limit of them, and returns their
// number.
func (h *Handler) ReportInterrupted(limit int) int {
	list := h.forwarded.all()
	for _, c := range list[:min(limit, len(list))] {
		h.Observer.Emit(event.RequestInterrupted, append(c.identity(), "route", c.route.Name)...)
	}
	return len(list)
}
