package engine

import (
	"sync"

	"chestnutcleat.example/chestnutcleat"
)

// Holdings counts which histories the engines that share it hold, to measure wasted cache.
type Holdings struct {
	mu     sync.Mutex
	counts map[chestnutcleat.Digest]int
}

// add changes the number of engines that hold a history; a nil Holdings counts nothing.
func (h *Holdings) add(d chestnutcleat.Digest, n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = map[chestnutcleat.Digest]int{}
	}
	h.counts[d] += n
	if h.counts[d] == 0 {
		delete(h.counts, d)
	}
}

// match returns the tokens of the longest prefix that some engine holds.
func (h *Holdings) match(history []chestnutcleat.Digest, messages []chestnutcleat.Tokens) chestnutcleat.Tokens {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var n chestnutcleat.Tokens
	for i, d := range history {
		if h.counts[d] == 0 {
			break
		}
		n += messages[i]
	}
	return n
}
