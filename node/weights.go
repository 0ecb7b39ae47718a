package node

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// weightStore is the customer whose token bucket paces reads of the weight store over the whole fleet.
	weightStore chestnutcleat.CustomerID = "weight-store"
	// loadTimeout bounds the wait for the right to load a model.
	loadTimeout = 10 * time.Second
)

// takeLoad asks for the right to load one model. The rate is that of the manifest's customer
// weight-store; without such a customer loads are not limited.
func (n *Node) takeLoad(done func(bool)) {
	if _, ok := n.Customer(weightStore); !ok {
		done(true)
		return
	}
	n.version++
	r := chestnutcleat.TakeRequest{ID: requestID(n.Self.ID, n.version), Customer: weightStore, Count: 1}
	work := func(ctx context.Context) (chestnutcleat.TakeReply, error) { return n.Take(ctx, r) }
	chestnutcleat.Async(n.Loop, loadTimeout, work, func(a chestnutcleat.TakeReply, err error) {
		done(err == nil && a.Admitted)
	})
}
