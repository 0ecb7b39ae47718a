package engine

// waiter is a request that waits for a slot of the batch.
type waiter struct {
	priority int
	ready    chan struct{}
}
