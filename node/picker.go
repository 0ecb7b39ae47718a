package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/dispatch"
)

// picker selects upstreams for the traffic goroutines.
type picker struct {
	mu    sync.Mutex
	inner dispatch.Picker
}

func (p *picker) init(policy dispatch.Policy, r *rand.Rand) {
	p.inner = dispatch.Picker{Policy: policy, Rand: r}
}

// Pick implements chestnutcleat.Owners.
func (n *Node) Pick(p chestnutcleat.Pick) (chestnutcleat.UpstreamID, error) {
	r, ok := n.Route(p.Route)
	if !ok {
		return "", chestnutcleat.NewProblem(chestnutcleat.CodeRouteUnknown, chestnutcleat.NotRun, "route %q is not known", p.Route)
	}
	q := chestnutcleat.PickRequest{Current: p.Current, Prompt: p.Prompt, Output: p.Output, Avoid: p.Avoid}
	for _, id := range r.Upstreams {
		u, ok := n.Upstream(id)
		if !ok {
			continue
		}
		c := chestnutcleat.Candidate{Upstream: u, Load: n.loads.get(id)}
		if id == p.Current {
			c.Cached = p.Cached
		}
		q.Candidates = append(q.Candidates, c)
	}
	n.picker.mu.Lock()
	defer n.picker.mu.Unlock()
	id, ok := n.picker.inner.Pick(q)
	if !ok {
		return "", chestnutcleat.NewProblem(chestnutcleat.CodeNoUpstream, chestnutcleat.NotRun, "no upstream of route %q accepts requests", p.Route).WithRetry(pickRetryDelay)
	}
	return id, nil
}

// pickRetryDelay is the suggested delay before a retry when no upstream accepts requests. Failed upstreams are probed at
// about this interval.
const pickRetryDelay = time.Second
