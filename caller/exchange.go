package caller

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
)

// exchange is what differs between chats and calls of plain services.
type exchange interface {
	// attempt sends the call to an upstream.
	attempt(ctx context.Context, g grant) result
	// deliver writes the whole answer of the last attempt, or its rest.
	deliver()
	// replay writes a recorded answer.
	replay(a chestnutcleat.Answer)
	// interrupt ends an answer of which a part was delivered; it reports false if none was.
	interrupt(p *chestnutcleat.Problem) bool
	// resumable reports whether another attempt can complete what was delivered.
	resumable() bool
}
