package engine

import (
	"sync"

	"chestnutcleat.example/chestnutcleat"
)

// CacheIndex counts for each history how many of the engines that share it have it in their cache.
type CacheIndex struct {
	mu     sync.Mutex
	counts map[chestnutcleat.Digest]int
}

// add adds n to the number of engines that have a history cached. It does nothing on a nil Holdings.
func (h *CacheIndex) add(d chestnutcleat.Digest, n int) {
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

// match returns the number of tokens of the longest prefix of which each message is cached by some engine.
func (h *CacheIndex) match(history []chestnutcleat.Digest, messages []chestnutcleat.Tokens) chestnutcleat.Tokens {
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
