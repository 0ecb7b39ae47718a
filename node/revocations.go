package node

import (
	"sync"

	"chestnutcleat.example/chestnutcleat"
)

// revocations notifies requests in progress when their key is withdrawn.
type revocations struct {
	mu          sync.Mutex
	nextID      int
	subscribers map[chestnutcleat.Digest]map[int]func()
}

func (r *revocations) init() { r.subscribers = map[chestnutcleat.Digest]map[int]func(){} }

func (r *revocations) subscribe(d chestnutcleat.Digest, f func()) (unsubscribe func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.nextID
	r.nextID++
	if r.subscribers[d] == nil {
		r.subscribers[d] = map[int]func(){}
	}
	r.subscribers[d][id] = f
	return func() { r.remove(d, id) }
}

func (r *revocations) remove(d chestnutcleat.Digest, id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers[d], id)
	if len(r.subscribers[d]) == 0 {
		delete(r.subscribers, d)
	}
}

// notify calls the subscribers of the keys and removes them, so that each is called once.
func (r *revocations) notify(list []chestnutcleat.Digest) {
	r.mu.Lock()
	var calls []func()
	for _, d := range list {
		for _, f := range r.subscribers[d] {
			calls = append(calls, f)
		}
		delete(r.subscribers, d)
	}
	r.mu.Unlock()
	for _, f := range calls {
		go f()
	}
}
