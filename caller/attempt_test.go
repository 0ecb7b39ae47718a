package caller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// hangingExchange is an exchange whose upstream never responds.
type hangingExchange struct{ exchange }

func (hangingExchange) attempt(ctx context.Context, _ grant) result {
	<-ctx.Done()
	return result{err: &upstream.Error{Kind: upstream.Broken, Sent: true, Err: ctx.Err()}}
}

// The deadlines of an attempt and of its call expire at the same moment and their timers fire in any order. The caller must
// be told that the deadline passed, not that the upstream was interrupted.
func TestDeadlineOfAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		c := &call{ctx: ctx, cancel: cancel, exchange: hangingExchange{}, route: chestnutcleat.Route{Timeout: chestnutcleat.Duration(2 * time.Second)}}
		// The call's timer fires slightly later than the attempt's.
		time.AfterFunc(2*time.Second+time.Millisecond, func() { cancel(context.DeadlineExceeded) })
		r := c.attempt(grant{})
		c.sent = r.err.Sent
		is.True(errors.Is(r.err, context.DeadlineExceeded))
		is.Equal(c.attemptProblem(r.err).Code, chestnutcleat.CodeDeadline)
		is.Equal(c.attemptProblem(r.err).Outcome, chestnutcleat.Unknown)
	})
}
