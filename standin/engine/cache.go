package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// entry is a cached message: the digest of the history that ends with it, and its own tokens.
type entry struct {
	digest chestnutcleat.Digest
	tokens chestnutcleat.Tokens
}

// event is a cache event with the time from which it is published.
type event struct {
	chestnutcleat.CacheEvent
	at time.Time
}

const (
	maxEvents = 4096
	// gap is the mean number of cache events per lost one.
	gap = 20
)

// cache is a prefix cache that evicts the least recently used messages.
type cache struct {
	size     chestnutcleat.Tokens
	used     chestnutcleat.Tokens
	recent   *list.List
	index    map[chestnutcleat.Digest]*list.Element
	events   []event
	sequence chestnutcleat.Sequence
	random   *rand.Rand
	delay    time.Duration
	holdings *Holdings
}

func newCache(size chestnutcleat.Tokens, r *rand.Rand, delay time.Duration, h *Holdings) *cache {
	return &cache{holdings: h, size: size, recent: list.New(), index: map[chestnutcleat.Digest]*list.Element{}, random: r, delay: delay}
}

// match returns the tokens of the longest cached prefix and the number of its messages.
func (c *cache) match(history []chestnutcleat.Digest) (chestnutcleat.Tokens, int) {
	var n chestnutcleat.Tokens
	for i, d := range history {
		e, ok := c.index[d]
		if !ok {
			return n, i
		}
		n += e.Value.(*entry).tokens
	}
	return n, len(history)
}

// store adds a history; its end becomes the first candidate for eviction.
func (c *cache) store(history []chestnutcleat.Digest, tokens []chestnutcleat.Tokens) {
	for i := len(history) - 1; i >= 0; i-- {
		if e, ok := c.index[history[i]]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.index[history[i]] = c.recent.PushFront(&entry{digest: history[i], tokens: tokens[i]})
		c.used += tokens[i]
		c.holdings.add(history[i], 1)
		c.publish(history[i], tokens[i], false)
	}
	for c.used > c.size && c.recent.Len() > 0 {
		e := c.recent.Remove(c.recent.Back()).(*entry)
		delete(c.index, e.digest)
		c.used -= e.tokens
		c.holdings.add(e.digest, -1)
		c.publish(e.digest, e.tokens, true)
	}
}

// drop removes the whole cache from the holdings.
func (c *cache) drop() {
	for d := range c.index {
		c.holdings.add(d, -1)
	}
}

func (c *cache) publish(d chestnutcleat.Digest, n chestnutcleat.Tokens, evicted bool) {
	c.sequence++
	if c.random.IntN(gap) == 0 {
		return
	}
	c.events = append(c.events, event{
		CacheEvent: chestnutcleat.CacheEvent{Sequence: c.sequence, Prefix: d, Evicted: evicted, Tokens: n},
		at:         time.Now().Add(c.delay),
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the published events after a sequence.
func (c *cache) after(s chestnutcleat.Sequence) []chestnutcleat.CacheEvent {
	out := []chestnutcleat.CacheEvent{}
	now := time.Now()
	for _, e := range c.events {
		if e.Sequence > s && !e.at.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
