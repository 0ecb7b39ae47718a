package entry

import (
	"container/list"
	"sync"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

// turnOverhead is the memory of a cached turn besides its input and output, in bytes.
const turnOverhead = 256

// TurnCache is an LRU cache of stored turns. A miss does not mean that the turn does not exist.
type TurnCache struct {
	// Size is the capacity in bytes.
	Size int

	mu      sync.Mutex
	bytes   int
	lru     list.List
	entries map[turnKey]*list.Element
}

type turnKey struct {
	customer chestnutcleat.CustomerID
	turn     chestnutcleat.RequestID
}

type cachedTurn struct {
	key  turnKey
	turn ledger.Turn
}

func sizeOf(t *ledger.Turn) int { return len(t.Input) + len(t.Output) + turnOverhead }

// Add adds a turn, or marks it as recently used, and evicts the least recently used turns above the capacity.
func (c *TurnCache) Add(customer chestnutcleat.CustomerID, t ledger.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[turnKey]*list.Element{}
	}
	key := turnKey{customer, t.ID}
	if e := c.entries[key]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.entries[key] = c.lru.PushFront(&cachedTurn{key: key, turn: t})
	c.bytes += sizeOf(&t)
	for c.bytes > c.Size && c.lru.Len() > 0 {
		e := c.lru.Back()
		evicted := c.lru.Remove(e).(*cachedTurn)
		delete(c.entries, evicted.key)
		c.bytes -= sizeOf(&evicted.turn)
	}
}

// Chain returns the cached turns from id backwards, newest first, and the id of the first missing turn, or an empty id if the
// chain is complete.
func (c *TurnCache) Chain(customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) ([]ledger.Turn, chestnutcleat.RequestID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain []ledger.Turn
	for id != "" {
		e := c.entries[turnKey{customer, id}]
		if e == nil {
			return chain, id, nil
		}
		if len(chain) == len(c.entries) {
			return nil, "", ledger.ErrCircular
		}
		c.lru.MoveToFront(e)
		t := e.Value.(*cachedTurn).turn
		chain = append(chain, t)
		id = t.Previous
	}
	return chain, "", nil
}
