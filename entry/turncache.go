package entry

import (
	"container/list"
	"sync"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

// turnOverhead is what a cached turn costs beside its bytes.
const turnOverhead = 256

// TurnCache keeps the kept turns that were used last; it never tells that a turn does not exist.
type TurnCache struct {
	// Size bounds the cache in bytes.
	Size int

	mu     sync.Mutex
	used   int
	order  list.List
	places map[turnName]*list.Element
}

type turnName struct {
	customer chestnutcleat.CustomerID
	turn     chestnutcleat.RequestID
}

type cachedTurn struct {
	name turnName
	turn ledger.Turn
}

func sizeOf(t *ledger.Turn) int { return len(t.Input) + len(t.Output) + turnOverhead }

// Add puts a turn into the cache.
func (c *TurnCache) Add(customer chestnutcleat.CustomerID, t ledger.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places == nil {
		c.places = map[turnName]*list.Element{}
	}
	n := turnName{customer, t.ID}
	if e := c.places[n]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.places[n] = c.order.PushFront(&cachedTurn{name: n, turn: t})
	c.used += sizeOf(&t)
	for c.used > c.Size && c.order.Len() > 0 {
		e := c.order.Back()
		old := c.order.Remove(e).(*cachedTurn)
		delete(c.places, old.name)
		c.used -= sizeOf(&old.turn)
	}
}

// Chain returns the cached turns from id back, newest first, and the first turn that is missing; empty for a whole chain.
func (c *TurnCache) Chain(customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) ([]ledger.Turn, chestnutcleat.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain []ledger.Turn
	for id != "" {
		e := c.places[turnName{customer, id}]
		if e == nil {
			return chain, id
		}
		c.order.MoveToFront(e)
		t := e.Value.(*cachedTurn).turn
		chain = append(chain, t)
		id = t.Previous
	}
	return chain, ""
}
