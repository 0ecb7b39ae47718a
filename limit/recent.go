package limit

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// idLifetime is how long the ids of admitted requests and usage reports are remembered.
const idLifetime = time.Minute

type seenID struct {
	ID chestnutcleat.RequestID `json:"i"`
	At time.Time               `json:"t"`
}

// recentIDs is the set of ids added within idLifetime, for deduplication.
type recentIDs struct {
	ids   map[chestnutcleat.RequestID]struct{}
	order []seenID
}

func (r *recentIDs) add(id chestnutcleat.RequestID, now time.Time) {
	if id == "" {
		return
	}
	r.expire(now)
	if r.ids == nil {
		r.ids = make(map[chestnutcleat.RequestID]struct{})
	}
	r.ids[id] = struct{}{}
	r.order = append(r.order, seenID{ID: id, At: now})
}

func (r *recentIDs) has(id chestnutcleat.RequestID, now time.Time) bool {
	r.expire(now)
	_, ok := r.ids[id]
	return ok
}

func (r *recentIDs) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].At) >= idLifetime {
		delete(r.ids, r.order[0].ID)
		r.order = r.order[1:]
	}
}

// last returns at most n ids, the newest ones.
func (r *recentIDs) last(n int) []seenID { return r.order[max(0, len(r.order)-n):] }
