package dispatch

import (
	"container/list"
	"encoding/binary"
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// confidenceHalfLife is the half-life of the estimate for an entry that was not used again.
const confidenceHalfLife = 10 * time.Minute

// prefixHash is the first 8 bytes of a digest. Lookups are several times faster than with whole digests, and a collision
// only makes the estimate wrong.
type prefixHash uint64

func hashOf(d chestnutcleat.Digest) prefixHash { return prefixHash(binary.LittleEndian.Uint64(d[:])) }

// entry is a prefix that an engine probably has in its cache.
type entry struct {
	prefix prefixHash
	tokens chestnutcleat.Tokens
	// ownTokens is the number of tokens beyond those of parent.
	ownTokens chestnutcleat.Tokens
	parent    *entry
	lastUsed  time.Time
	element   *list.Element
}

// cacheIndex estimates the content of an engine's prefix cache as an LRU list of prefixes.
type cacheIndex struct {
	size    chestnutcleat.Tokens
	used    chestnutcleat.Tokens
	entries map[prefixHash]*entry
	lru     list.List
}

// longestPrefix returns the entry of the longest known prefix of a history, or nil.
func (c *cacheIndex) longestPrefix(history []chestnutcleat.Digest) *entry {
	if len(c.entries) == 0 {
		return nil
	}
	for i := len(history) - 1; i >= 0; i-- {
		if e, ok := c.entries[hashOf(history[i])]; ok {
			return e
		}
	}
	return nil
}

// expectedTokens returns the estimated number of cached tokens of a history.
func (c *cacheIndex) expectedTokens(history []chestnutcleat.Digest, now time.Time) chestnutcleat.Tokens {
	return c.longestPrefix(history).expectedTokens(now)
}

// expectedTokens returns the tokens of an entry, decayed by the time since its last use.
func (e *entry) expectedTokens(now time.Time) chestnutcleat.Tokens {
	if e == nil {
		return 0
	}
	return chestnutcleat.Tokens(float64(e.tokens) * math.Exp2(-float64(now.Sub(e.lastUsed))/float64(confidenceHalfLife)))
}

// add records that the engine has processed a prompt.
func (c *cacheIndex) add(history []chestnutcleat.Digest, tokens chestnutcleat.Tokens, now time.Time) {
	c.addAfter(c.longestPrefix(history), history, tokens, now)
}

// addAfter is add for a caller that has already found the longest known prefix.
func (c *cacheIndex) addAfter(parent *entry, history []chestnutcleat.Digest, tokens chestnutcleat.Tokens, now time.Time) {
	if len(history) == 0 || tokens <= 0 || c.size <= 0 {
		return
	}
	last := hashOf(history[len(history)-1])
	if parent != nil && parent.prefix == last {
		c.touch(parent, now)
		return
	}
	if c.entries == nil {
		c.entries = make(map[prefixHash]*entry)
	}
	e := &entry{prefix: last, tokens: tokens, ownTokens: tokens, parent: parent}
	if parent != nil {
		e.ownTokens = max(0, tokens-parent.tokens)
	}
	e.element = c.lru.PushFront(e)
	c.entries[last] = e
	c.used += e.ownTokens
	c.touch(e, now)
	c.evict()
}

// touch marks an entry and its ancestors as used, so that a prefix is never evicted before its extensions.
func (c *cacheIndex) touch(e *entry, now time.Time) {
	for ; e != nil; e = e.parent {
		e.lastUsed = now
		c.lru.MoveToFront(e.element)
	}
}

func (c *cacheIndex) evict() {
	for c.used > c.size && c.lru.Len() > 1 {
		c.remove(c.lru.Back().Value.(*entry))
	}
}

func (c *cacheIndex) remove(e *entry) {
	if c.entries[e.prefix] != e {
		return
	}
	delete(c.entries, e.prefix)
	c.lru.Remove(e.element)
	c.used -= e.ownTokens
}

// correct removes the entries of a history that are longer than the cached prefix that the engine reported.
func (c *cacheIndex) correct(history []chestnutcleat.Digest, cached chestnutcleat.Tokens) {
	for _, d := range history {
		if e, ok := c.entries[hashOf(d)]; ok && e.tokens > cached {
			c.remove(e)
		}
	}
}

// apply updates the index from a cache event of the engine.
func (c *cacheIndex) apply(v chestnutcleat.CacheEvent, now time.Time) {
	e, ok := c.entries[hashOf(v.Prefix)]
	switch {
	case v.Evicted && ok:
		c.remove(e)
	case !v.Evicted && ok:
		e.lastUsed = now
	case !v.Evicted:
		c.add([]chestnutcleat.Digest{v.Prefix}, v.Tokens, now)
	}
}
