package limit

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// idLifetime is how long the ids of decided requests are known.
const idLifetime = time.Minute

type seen struct {
	ID chestnutcleat.RequestID `json:"i"`
	At time.Time               `json:"t"`
}

// recent is the set of request ids of the last minute.
type recent struct {
	ids   map[chestnutcleat.RequestID]struct{}
	order []seen
}

func (r *recent) add(id chestnutcleat.RequestID, now time.Time) {
	if id == "" {
		return
	}
	r.expire(now)
	if r.ids == nil {
		r.ids = make(map[chestnutcleat.RequestID]struct{})
	}
	r.ids[id] = struct{}{}
	r.order = append(r.order, seen{ID: id, At: now})
}

func (r *recent) has(id chestnutcleat.RequestID, now time.Time) bool {
	r.expire(now)
	_, ok := r.ids[id]
	return ok
}

func (r *recent) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].At) >= idLifetime {
		delete(r.ids, r.order[0].ID)
		r.order = r.order[1:]
	}
}

// last returns at most n of the newest ids.
func (r *recent) last(n int) []seen { return r.order[max(0, len(r.order)-n):] }
