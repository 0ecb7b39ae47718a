package node

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// weightStoreCustomer is the customer whose token bucket limits the rate of model loads from the weight store, over
	// the whole fleet.
	weightStoreCustomer chestnutcleat.CustomerID = "weight-store"
	// loadAdmissionTimeout limits the wait for the admission of a model load.
	loadAdmissionTimeout = 10 * time.Second
)

// admitLoad requests admission for loading one model. The rate limit is that of the customer weight-store of the
// manifest; without such a customer, loads are not limited.
func (n *Node) admitLoad(done func(bool)) {
	if _, ok := n.Customer(weightStoreCustomer); !ok {
		done(true)
		return
	}
	n.version++
	r := chestnutcleat.TakeRequest{ID: requestID(n.Self.ID, n.version), Customer: weightStoreCustomer, Count: 1}
	work := func(ctx context.Context) (chestnutcleat.TakeReply, error) { return n.Take(ctx, r) }
	chestnutcleat.Async(n.Loop, loadAdmissionTimeout, work, func(a chestnutcleat.TakeReply, err error) {
		done(err == nil && a.Admitted)
	})
}
