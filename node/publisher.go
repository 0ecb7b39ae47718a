package node

import (
	"bytes"
	"time"
)

// refreshInterval is the time after which an unchanged summary is published again, below its expiry.
const refreshInterval = 2 * time.Second

// published is the last form of a gossip item and when it was published.
type published struct {
	data []byte
	at   time.Time
}

// publisher publishes a gossip item when it changed or is about to expire: repeating all items at each interval took
// more than the 4 KB/s that a VM may spend on control.
type publisher struct {
	items map[string]published
}

// due reports whether an item must be published now, and remembers it.
func (p *publisher) due(name string, data []byte) bool {
	old, ok := p.items[name]
	if ok && bytes.Equal(old.data, data) && time.Since(old.at) < refreshInterval {
		return false
	}
	if p.items == nil {
		p.items = map[string]published{}
	}
	p.items[name] = published{data: data, at: time.Now()}
	return true
}
