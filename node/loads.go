package node

import (
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// loads are the latest load summaries of all upstreams.
type loads struct {
	mu     sync.RWMutex
	latest map[chestnutcleat.UpstreamID]heard
}

// heard is a summary with the time of its arrival.
type heard struct {
	load chestnutcleat.Load
	at   time.Time
}

func (l *loads) merge(list []chestnutcleat.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == nil {
		l.latest = map[chestnutcleat.UpstreamID]heard{}
	}
	for _, v := range list {
		l.latest[v.Upstream] = heard{load: v, at: time.Now()}
	}
}

// get returns the summary of an upstream, the zero Load if none is recent.
func (l *loads) get(id chestnutcleat.UpstreamID) chestnutcleat.Load {
	l.mu.RLock()
	defer l.mu.RUnlock()
	h, ok := l.latest[id]
	if !ok || time.Since(h.at) > summaryExpiry {
		return chestnutcleat.Load{Upstream: id}
	}
	return h.load
}
