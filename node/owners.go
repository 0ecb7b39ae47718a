package node

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// temporaryRetry is when to ask again for a call that waits for the platform.
const temporaryRetry = 5 * time.Second

var _ chestnutcleat.Owners = (*Node)(nil)

// Take implements chestnutcleat.Owners.
func (n *Node) Take(ctx context.Context, r chestnutcleat.TakeRequest) (chestnutcleat.TakeReply, error) {
	for {
		a, err := ask(ctx, &n.asker, &n.endpoints.take, r)
		if err != nil || !a.Moved {
			return a, err
		}
		if err := chestnutcleat.Sleep(ctx, minBackoff); err != nil {
			return a, err
		}
	}
}

// Usage implements chestnutcleat.Owners.
func (n *Node) Usage(ctx context.Context, r chestnutcleat.UsageReport) error {
	_, err := ask(ctx, &n.asker, &n.endpoints.usage, r)
	return err
}

// Begin implements chestnutcleat.Owners.
func (n *Node) Begin(ctx context.Context, r chestnutcleat.BeginRequest) (chestnutcleat.BeginReply, error) {
	return ask(ctx, &n.asker, &n.endpoints.begin, r)
}

// Start implements chestnutcleat.Owners.
func (n *Node) Start(ctx context.Context, r chestnutcleat.StartRequest) (chestnutcleat.StartReply, error) {
	return ask(ctx, &n.asker, &n.endpoints.start, r)
}

// Settle implements chestnutcleat.Owners.
func (n *Node) Settle(ctx context.Context, r chestnutcleat.SettleRequest) (chestnutcleat.SettleReply, error) {
	return ask(ctx, &n.asker, &n.endpoints.settle, r)
}

// End implements chestnutcleat.Owners.
func (n *Node) End(ctx context.Context, r chestnutcleat.EndRequest) error {
	_, err := ask(ctx, &n.asker, &n.endpoints.end, r)
	return err
}

// Look implements chestnutcleat.Owners.
func (n *Node) Look(ctx context.Context, r chestnutcleat.EndRequest) (chestnutcleat.Summary, error) {
	a, err := ask(ctx, &n.asker, &n.endpoints.look, r)
	if err == nil && !a.Found && a.Incomplete {
		return a.Summary, chestnutcleat.NewProblem(chestnutcleat.CodeOwnerLost, chestnutcleat.Unknown, "records of program %q may be missing", r.Program).WithRetry(temporaryRetry)
	}
	if err == nil && !a.Found {
		err = chestnutcleat.NewProblem(chestnutcleat.CodeProgramGone, chestnutcleat.NotRun, "program %q is not known", r.Program)
	}
	return a.Summary, err
}

// Acquire implements chestnutcleat.Owners.
func (n *Node) Acquire(ctx context.Context, r chestnutcleat.AcquireRequest) (chestnutcleat.AcquireReply, error) {
	return ask(ctx, &n.asker, &n.endpoints.acquire, r)
}

// Cancel implements chestnutcleat.Owners.
func (n *Node) Cancel(ctx context.Context, r chestnutcleat.AcquireRequest) error {
	_, err := ask(ctx, &n.asker, &n.endpoints.cancel, r)
	return err
}

// Release implements chestnutcleat.Owners.
func (n *Node) Release(ctx context.Context, r chestnutcleat.ReleaseRequest) error {
	_, err := ask(ctx, &n.asker, &n.endpoints.release, r)
	return err
}

// Place implements chestnutcleat.Owners.
func (n *Node) Place(k chestnutcleat.Key) chestnutcleat.Place { return n.place(k.Slot()) }
