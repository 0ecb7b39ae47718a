package node

import (
	"sync"

	"chestnutcleat.example/chestnutcleat"
)

// revocations tells requests in progress that their key was withdrawn.
type revocations struct {
	mu   sync.Mutex
	next int
	subs map[chestnutcleat.Digest]map[int]func()
}

func (r *revocations) init() { r.subs = map[chestnutcleat.Digest]map[int]func(){} }

func (r *revocations) subscribe(d chestnutcleat.Digest, f func()) (unsubscribe func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.next
	r.next++
	if r.subs[d] == nil {
		r.subs[d] = map[int]func(){}
	}
	r.subs[d][id] = f
	return func() { r.remove(d, id) }
}

func (r *revocations) remove(d chestnutcleat.Digest, id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subs[d], id)
	if len(r.subs[d]) == 0 {
		delete(r.subs, d)
	}
}

// withdraw calls the subscribers of keys once.
func (r *revocations) withdraw(list []chestnutcleat.Digest) {
	r.mu.Lock()
	var calls []func()
	for _, d := range list {
		for _, f := range r.subs[d] {
			calls = append(calls, f)
		}
		delete(r.subs, d)
	}
	r.mu.Unlock()
	for _, f := range calls {
		go f()
	}
}
