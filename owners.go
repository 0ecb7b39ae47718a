package chestnutcleat

import "context"

// Owners sends the requests of an entry VM to the owners of customers, programs and upstreams.
// An error means that the owner did not admit or record the request before ctx was done.
type Owners interface {
	// Take asks for tokens of a customer's rate limit.
	Take(ctx context.Context, r TakeRequest) (TakeReply, error)
	// Usage reports the usage of a customer's call.
	Usage(ctx context.Context, r UsageReport) error
	// Begin submits a call; a duplicate waits for the answer of the first submission.
	Begin(ctx context.Context, r BeginRequest) (BeginReply, error)
	// Start records the intent to send a call that is not repeatable.
	Start(ctx context.Context, r StartRequest) (StartReply, error)
	// Settle records how an attempt of a call ended.
	Settle(ctx context.Context, r SettleRequest) (SettleReply, error)
	// End ends a program.
	End(ctx context.Context, r EndRequest) error
	// Summary returns the Summary of a program.
	Summary(ctx context.Context, r EndRequest) (Summary, error)
	// Acquire waits for a ticket for an upstream.
	Acquire(ctx context.Context, r AcquireRequest) (AcquireReply, error)
	// Cancel withdraws an AcquireRequest and returns its ticket if it was granted.
	Cancel(ctx context.Context, r AcquireRequest) error
	// Release returns a ticket.
	Release(ctx context.Context, r ReleaseRequest) error
	// Pick chooses an upstream using local state only.
	Pick(p Pick) (UpstreamID, error)
	// Place returns the owner of a key.
	Place(k Key) OwnerLocation
}
