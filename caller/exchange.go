package caller

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
)

// exchange is the part of a call that differs between chats and plain services.
type exchange interface {
	// attempt sends the call to the granted upstream and reads the response.
	attempt(ctx context.Context, g grant) result
	// deliver writes the answer of the last attempt, or the part of it that was not streamed yet.
	deliver()
	// replay writes the recorded answer of an earlier request.
	replay(a chestnutcleat.Answer)
	// interrupt ends a partly delivered answer with p; it reports false if nothing was delivered.
	interrupt(p *chestnutcleat.Problem) bool
	// resumable reports whether another attempt can continue a partly delivered answer.
	resumable() bool
	// boundTo returns the software version that must continue a partly delivered answer; ok is false for any.
	boundTo() (version chestnutcleat.SoftwareVersion, ok bool)
}
