package node

import (
	"bytes"
	"time"
)

// refreshInterval is the time after which an unchanged item is published again; it must be below summaryExpiry.
const refreshInterval = 2 * time.Second

// publishedItem is the last published content of a gossip item and the time of its publication.
type publishedItem struct {
	data []byte
	at   time.Time
}

// publisher limits the publication of gossip items to those that have changed or are about to expire: publishing all
// items at each interval exceeds the limit of 4 KB/s for the control traffic of a VM.
type publisher struct {
	items map[string]publishedItem
}

// recordIfDue reports whether an item must be published now; if so, it records the item as published.
func (p *publisher) recordIfDue(name string, data []byte) bool {
	old, ok := p.items[name]
	if ok && bytes.Equal(old.data, data) && time.Since(old.at) < refreshInterval {
		return false
	}
	if p.items == nil {
		p.items = map[string]publishedItem{}
	}
	p.items[name] = publishedItem{data: data, at: time.Now()}
	return true
}
