package node

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ownerLostRetryDelay is the suggested delay before a retry while the platform cannot record a takeover or records of
// the lost owner may be missing.
const ownerLostRetryDelay = 5 * time.Second

var _ chestnutcleat.Owners = (*Node)(nil)

// Take implements chestnutcleat.Owners.
func (n *Node) Take(ctx context.Context, r chestnutcleat.TakeRequest) (chestnutcleat.TakeReply, error) {
	for {
		a, err := callOwner(ctx, &n.ownerClient, &n.endpoints.take, r)
		if err != nil || !a.OwnerChanged {
			return a, err
		}
		if err := chestnutcleat.Sleep(ctx, minBackoff); err != nil {
			return a, err
		}
	}
}

// Usage implements chestnutcleat.Owners.
func (n *Node) Usage(ctx context.Context, r chestnutcleat.UsageReport) error {
	_, err := callOwner(ctx, &n.ownerClient, &n.endpoints.usage, r)
	return err
}

// Begin implements chestnutcleat.Owners.
func (n *Node) Begin(ctx context.Context, r chestnutcleat.BeginRequest) (chestnutcleat.BeginReply, error) {
	return callOwner(ctx, &n.ownerClient, &n.endpoints.begin, r)
}

// Start implements chestnutcleat.Owners.
func (n *Node) Start(ctx context.Context, r chestnutcleat.StartRequest) (chestnutcleat.StartReply, error) {
	return callOwner(ctx, &n.ownerClient, &n.endpoints.start, r)
}

// Settle implements chestnutcleat.Owners.
func (n *Node) Settle(ctx context.Context, r chestnutcleat.SettleRequest) (chestnutcleat.SettleReply, error) {
	return callOwner(ctx, &n.ownerClient, &n.endpoints.settle, r)
}

// End implements chestnutcleat.Owners.
func (n *Node) End(ctx context.Context, r chestnutcleat.EndRequest) error {
	_, err := callOwner(ctx, &n.ownerClient, &n.endpoints.end, r)
	return err
}

// Summary implements chestnutcleat.Owners.
func (n *Node) Summary(ctx context.Context, r chestnutcleat.EndRequest) (chestnutcleat.Summary, error) {
	a, err := callOwner(ctx, &n.ownerClient, &n.endpoints.summary, r)
	if err == nil && !a.Found && a.Incomplete {
		return a.Summary, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.Unknown, "records of program %q may be missing", r.Program).WithRetry(ownerLostRetryDelay)
	}
	if err == nil && !a.Found {
		err = chestnutcleat.NewProblem(chestnutcleat.CodeProgramUnknown, chestnutcleat.NotRun, "program %q is not known", r.Program)
	}
	return a.Summary, err
}

// Acquire implements chestnutcleat.Owners.
func (n *Node) Acquire(ctx context.Context, r chestnutcleat.AcquireRequest) (chestnutcleat.AcquireReply, error) {
	return callOwner(ctx, &n.ownerClient, &n.endpoints.acquire, r)
}

// Cancel implements chestnutcleat.Owners.
func (n *Node) Cancel(ctx context.Context, r chestnutcleat.AcquireRequest) error {
	_, err := callOwner(ctx, &n.ownerClient, &n.endpoints.cancel, r)
	return err
}

// Release implements chestnutcleat.Owners.
func (n *Node) Release(ctx context.Context, r chestnutcleat.ReleaseRequest) error {
	_, err := callOwner(ctx, &n.ownerClient, &n.endpoints.release, r)
	return err
}

// Place implements chestnutcleat.Owners.
func (n *Node) Place(k chestnutcleat.Key) chestnutcleat.OwnerLocation { return n.locateSlot(k.Slot()) }
