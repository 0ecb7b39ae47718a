package node

import (
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// loadTable holds the latest load summaries of all upstreams.
type loadTable struct {
	mu     sync.RWMutex
	latest map[chestnutcleat.UpstreamID]receivedLoad
}

// receivedLoad is a load summary with the time of its arrival.
type receivedLoad struct {
	load chestnutcleat.Load
	at   time.Time
}

func (l *loadTable) merge(list []chestnutcleat.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == nil {
		l.latest = map[chestnutcleat.UpstreamID]receivedLoad{}
	}
	for _, v := range list {
		l.latest[v.Upstream] = receivedLoad{load: v, at: time.Now()}
	}
}

// get returns the load summary of an upstream, or one without load if none is recent.
func (l *loadTable) get(id chestnutcleat.UpstreamID) chestnutcleat.Load {
	l.mu.RLock()
	defer l.mu.RUnlock()
	latest, ok := l.latest[id]
	if !ok || time.Since(latest.at) > summaryExpiry {
		return chestnutcleat.Load{Upstream: id}
	}
	return latest.load
}
