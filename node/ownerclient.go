package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// attemptTimeout bounds one attempt, so that a request to an unresponsive owner is retried once its slots have moved.
	attemptTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay between attempts while the owner is unknown or unreachable.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// ownerClient finds the owners of keys and sends them requests.
type ownerClient struct {
	self      chestnutcleat.VMID
	loop      *control.Loop
	ownership ownership
	peers     chestnutcleat.Peers
	locate    func(chestnutcleat.Slot) chestnutcleat.OwnerLocation
}

// callOwner sends a request to the owner of its key and retries until the owner replies or ctx is done.
// Requests are idempotent, so a retry after a lost reply has no second effect.
func callOwner[Req, Resp any](ctx context.Context, c *ownerClient, e *endpoint[Req, Resp], r Req) (Resp, error) {
	k := e.keyOf(r)
	p := c.locate(k.Slot())
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		v, err := callOnce(ctx, c, e, p, r)
		if err == nil || !isRetryable(err) {
			return v, err
		}
		if chestnutcleat.Sleep(ctx, backoff) != nil {
			return v, fmt.Errorf("owner of %s %q did not answer: %w", k.Kind, k.ID, err)
		}
		p = nextOwner(c.locate(k.Slot()), err)
	}
}

func callOnce[Req, Resp any](ctx context.Context, c *ownerClient, e *endpoint[Req, Resp], p chestnutcleat.OwnerLocation, r Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if p.VM == c.self {
		return e.serve(ctx, c.loop, c.ownership, r)
	}
	var v Resp
	if p.Address == "" {
		return v, &chestnutcleat.NotOwner{Key: e.keyOf(r)}
	}
	err := c.peers.Call(ctx, p.Address, e.method, r, &v)
	return v, err
}

// isRetryable reports whether another attempt may succeed: a problem or a handler's error is final.
func isRetryable(err error) bool {
	var problem *chestnutcleat.Problem
	var remote *vm.RemoteError
	if errors.As(err, &problem) {
		return false
	}
	if errors.As(err, &remote) {
		return false
	}
	return true
}

// nextOwner returns the owner that the last reply redirected to, or else the one in the local slot table.
// The table is read again after each failure, so a wrong redirect costs one attempt.
func nextOwner(known chestnutcleat.OwnerLocation, err error) chestnutcleat.OwnerLocation {
	var notOwner *chestnutcleat.NotOwner
	if errors.As(err, &notOwner) && notOwner.Place.Address != "" && notOwner.Place.VM != known.VM {
		return notOwner.Place
	}
	return known
}
