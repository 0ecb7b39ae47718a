package chestnutcleat

import "context"

// Owners is what an entry VM asks of the owners of customers, programs and upstreams.
// An error means that the request could not be admitted or recorded within ctx.
type Owners interface {
	// Take asks for tokens of a customer's rate.
	Take(ctx context.Context, r TakeRequest) (TakeReply, error)
	// Usage reports what a customer's calls used.
	Usage(ctx context.Context, r UsageReport) error
	// Begin presents a call; a duplicate waits for the answer of the first one.
	Begin(ctx context.Context, r BeginRequest) (BeginReply, error)
	// Start records the intent to send a call that may not be repeated.
	Start(ctx context.Context, r StartRequest) (StartReply, error)
	// Settle records how an attempt of a call ended.
	Settle(ctx context.Context, r SettleRequest) (SettleReply, error)
	// End ends a program.
	End(ctx context.Context, r EndRequest) error
	// Look returns the summary of a program.
	Look(ctx context.Context, r EndRequest) (Summary, error)
	// Acquire waits for a ticket of an upstream.
	Acquire(ctx context.Context, r AcquireRequest) (AcquireReply, error)
	// Cancel withdraws an AcquireRequest and returns its ticket if it was granted.
	Cancel(ctx context.Context, r AcquireRequest) error
	// Release returns a ticket.
	Release(ctx context.Context, r ReleaseRequest) error
	// Pick chooses an upstream from local knowledge.
	Pick(p Pick) (UpstreamID, error)
	// Place returns where the owner of a key is.
	Place(k Key) Place
}
