package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// entry is a cached message: the digest of the history that ends with it, and its own number of tokens.
type entry struct {
	digest chestnutcleat.Digest
	tokens chestnutcleat.Tokens
}

// delayedEvent is a cache event and the time from which clients can read it.
type delayedEvent struct {
	chestnutcleat.CacheEvent
	visibleAt time.Time
}

const (
	maxEvents = 4096
	// eventsPerLoss is the mean number of cache events of which one is dropped.
	eventsPerLoss = 20
)

// cache is a prefix cache that evicts the least recently used messages.
type cache struct {
	capacity   chestnutcleat.Tokens
	used       chestnutcleat.Tokens
	lru        *list.List
	index      map[chestnutcleat.Digest]*list.Element
	events     []delayedEvent
	sequence   chestnutcleat.Sequence
	random     *rand.Rand
	eventDelay time.Duration
	fleetIndex *CacheIndex
}

func newCache(capacity chestnutcleat.Tokens, r *rand.Rand, delay time.Duration, fleetIndex *CacheIndex) *cache {
	return &cache{fleetIndex: fleetIndex, capacity: capacity, lru: list.New(), index: map[chestnutcleat.Digest]*list.Element{}, random: r, eventDelay: delay}
}

// match returns the number of tokens and of messages of the longest cached prefix.
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

// insert adds or refreshes the messages of a history, of which the last one is evicted first, and evicts down to the capacity.
func (c *cache) insert(history []chestnutcleat.Digest, tokens []chestnutcleat.Tokens) {
	for i := len(history) - 1; i >= 0; i-- {
		if e, ok := c.index[history[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.index[history[i]] = c.lru.PushFront(&entry{digest: history[i], tokens: tokens[i]})
		c.used += tokens[i]
		c.fleetIndex.add(history[i], 1)
		c.publish(history[i], tokens[i], false)
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		e := c.lru.Remove(c.lru.Back()).(*entry)
		delete(c.index, e.digest)
		c.used -= e.tokens
		c.fleetIndex.add(e.digest, -1)
		c.publish(e.digest, e.tokens, true)
	}
}

// removeFromFleetIndex removes all entries of the cache from the index that engines share.
func (c *cache) removeFromFleetIndex() {
	for d := range c.index {
		c.fleetIndex.add(d, -1)
	}
}

func (c *cache) publish(d chestnutcleat.Digest, n chestnutcleat.Tokens, evicted bool) {
	c.sequence++
	if c.random.IntN(eventsPerLoss) == 0 {
		return
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: chestnutcleat.CacheEvent{Sequence: c.sequence, Prefix: d, Evicted: evicted, Tokens: n},
		visibleAt:  time.Now().Add(c.eventDelay),
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after a sequence number whose delay is over.
func (c *cache) eventsAfter(s chestnutcleat.Sequence) []chestnutcleat.CacheEvent {
	out := []chestnutcleat.CacheEvent{}
	now := time.Now()
	for _, e := range c.events {
		if e.Sequence > s && !e.visibleAt.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
