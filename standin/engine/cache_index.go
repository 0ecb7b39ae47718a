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

// add adds n to the number of engines that have a history cached. It does nothing on a nil CacheIndex.
func (x *CacheIndex) add(d chestnutcleat.Digest, n int) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.counts == nil {
		x.counts = map[chestnutcleat.Digest]int{}
	}
	x.counts[d] += n
	if x.counts[d] == 0 {
		delete(x.counts, d)
	}
}

// match returns the number of tokens of the longest prefix of which each message is cached by some engine.
func (x *CacheIndex) match(history []chestnutcleat.Digest, messages []chestnutcleat.Tokens) chestnutcleat.Tokens {
	if x == nil {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var n chestnutcleat.Tokens
	for i, d := range history {
		if x.counts[d] == 0 {
			break
		}
		n += messages[i]
	}
	return n
}
