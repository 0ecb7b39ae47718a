package dispatch

import (
	"container/list"
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// entryHalfLife is how fast trust in an entry that was not confirmed decays.
const entryHalfLife = 10 * time.Minute

// entry is a prefix that an engine probably holds.
type entry struct {
	digest chestnutcleat.Digest
	tokens chestnutcleat.Tokens
	// own is the part of tokens that parent does not hold.
	own     chestnutcleat.Tokens
	parent  *entry
	touched time.Time
	element *list.Element
}

// cache estimates the content of an engine's prefix cache.
type cache struct {
	size    chestnutcleat.Tokens
	used    chestnutcleat.Tokens
	entries map[chestnutcleat.Digest]*entry
	order   list.List
}

// find returns the longest known prefix of a history.
func (c *cache) find(history []chestnutcleat.Digest) *entry {
	if len(c.entries) == 0 {
		return nil
	}
	for i := len(history) - 1; i >= 0; i-- {
		if e, ok := c.entries[history[i]]; ok {
			return e
		}
	}
	return nil
}

// expect returns how many tokens of a prompt are probably cached.
func (c *cache) expect(history []chestnutcleat.Digest, now time.Time) chestnutcleat.Tokens {
	e := c.find(history)
	if e == nil {
		return 0
	}
	return chestnutcleat.Tokens(float64(e.tokens) * math.Exp2(-float64(now.Sub(e.touched))/float64(entryHalfLife)))
}

// store notes that the engine has processed a prompt.
func (c *cache) store(history []chestnutcleat.Digest, tokens chestnutcleat.Tokens, now time.Time) {
	if len(history) == 0 || tokens <= 0 || c.size <= 0 {
		return
	}
	last := history[len(history)-1]
	parent := c.find(history)
	if parent != nil && parent.digest == last {
		c.touch(parent, now)
		return
	}
	if c.entries == nil {
		c.entries = make(map[chestnutcleat.Digest]*entry)
	}
	e := &entry{digest: last, tokens: tokens, own: tokens, parent: parent}
	if parent != nil {
		e.own = max(0, tokens-parent.tokens)
	}
	e.element = c.order.PushFront(e)
	c.entries[last] = e
	c.used += e.own
	c.touch(e, now)
	c.evict()
}

// touch moves an entry and what it extends to the front; a prefix is never older than its extension.
func (c *cache) touch(e *entry, now time.Time) {
	for ; e != nil; e = e.parent {
		e.touched = now
		c.order.MoveToFront(e.element)
	}
}

func (c *cache) evict() {
	for c.used > c.size && c.order.Len() > 1 {
		c.drop(c.order.Back().Value.(*entry))
	}
}

func (c *cache) drop(e *entry) {
	if c.entries[e.digest] != e {
		return
	}
	delete(c.entries, e.digest)
	c.order.Remove(e.element)
	c.used -= e.own
}

// correct removes entries of a history that are longer than what the engine found in its cache.
func (c *cache) correct(history []chestnutcleat.Digest, cached chestnutcleat.Tokens) {
	for _, d := range history {
		if e, ok := c.entries[d]; ok && e.tokens > cached {
			c.drop(e)
		}
	}
}

// apply takes over a cache event of the engine.
func (c *cache) apply(v chestnutcleat.CacheEvent, now time.Time) {
	e, ok := c.entries[v.Prefix]
	switch {
	case v.Evicted && ok:
		c.drop(e)
	case !v.Evicted && ok:
		e.touched = now
	case !v.Evicted:
		c.store([]chestnutcleat.Digest{v.Prefix}, v.Tokens, now)
	}
}
