package dispatch

import (
	"container/list"
	"encoding/binary"
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// entryHalfLife is how fast trust in an entry that was not confirmed decays.
const entryHalfLife = 10 * time.Minute

// prefix is the first part of a digest. A collision only misleads the estimate, and lookups are several times faster
// than with whole digests.
type prefix uint64

func prefixOf(d chestnutcleat.Digest) prefix { return prefix(binary.LittleEndian.Uint64(d[:])) }

// entry is a prefix that an engine probably holds.
type entry struct {
	prefix prefix
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
	entries map[prefix]*entry
	order   list.List
}

// find returns the longest known prefix of a history.
func (c *cache) find(history []chestnutcleat.Digest) *entry {
	if len(c.entries) == 0 {
		return nil
	}
	for i := len(history) - 1; i >= 0; i-- {
		if e, ok := c.entries[prefixOf(history[i])]; ok {
			return e
		}
	}
	return nil
}

// expect returns how many tokens of a prompt are probably cached.
func (c *cache) expect(history []chestnutcleat.Digest, now time.Time) chestnutcleat.Tokens {
	return c.find(history).expect(now)
}

// expect returns the tokens of an entry, less the older it is.
func (e *entry) expect(now time.Time) chestnutcleat.Tokens {
	if e == nil {
		return 0
	}
	return chestnutcleat.Tokens(float64(e.tokens) * math.Exp2(-float64(now.Sub(e.touched))/float64(entryHalfLife)))
}

// store notes that the engine has processed a prompt.
func (c *cache) store(history []chestnutcleat.Digest, tokens chestnutcleat.Tokens, now time.Time) {
	c.extend(c.find(history), history, tokens, now)
}

// extend is store for a caller that has found the longest known prefix.
func (c *cache) extend(parent *entry, history []chestnutcleat.Digest, tokens chestnutcleat.Tokens, now time.Time) {
	if len(history) == 0 || tokens <= 0 || c.size <= 0 {
		return
	}
	last := prefixOf(history[len(history)-1])
	if parent != nil && parent.prefix == last {
		c.touch(parent, now)
		return
	}
	if c.entries == nil {
		c.entries = make(map[prefix]*entry)
	}
	e := &entry{prefix: last, tokens: tokens, own: tokens, parent: parent}
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
	if c.entries[e.prefix] != e {
		return
	}
	delete(c.entries, e.prefix)
	c.order.Remove(e.element)
	c.used -= e.own
}

// correct removes entries of a history that are longer than what the engine found in its cache.
func (c *cache) correct(history []chestnutcleat.Digest, cached chestnutcleat.Tokens) {
	for _, d := range history {
		if e, ok := c.entries[prefixOf(d)]; ok && e.tokens > cached {
			c.drop(e)
		}
	}
}

// apply takes over a cache event of the engine.
func (c *cache) apply(v chestnutcleat.CacheEvent, now time.Time) {
	e, ok := c.entries[prefixOf(v.Prefix)]
	switch {
	case v.Evicted && ok:
		c.drop(e)
	case !v.Evicted && ok:
		e.touched = now
	case !v.Evicted:
		c.store([]chestnutcleat.Digest{v.Prefix}, v.Tokens, now)
	}
}
