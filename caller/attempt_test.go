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

// hanging is an exchange whose upstream never answers.
type hanging struct{ exchange }

func (hanging) attempt(ctx context.Context, _ grant) result {
	<-ctx.Done()
	return result{err: &upstream.Error{Kind: upstream.Broken, Sent: true, Err: ctx.Err()}}
}

// The timers of an attempt and of its call are due at the same moment and fire in any order; the caller must learn that the
// deadline passed and not that the upstream broke off.
func TestDeadlineOfAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		late, cancel := context.WithCancelCause(t.Context())
		c := &call{ctx: late, cancel: cancel, exchange: hanging{}, route: chestnutcleat.Route{Timeout: chestnutcleat.Duration(2 * time.Second)}}
		// The call's own timer runs a little later than the attempt's.
		time.AfterFunc(2*time.Second+time.Millisecond, func() { cancel(context.DeadlineExceeded) })
		r := c.attempt(grant{})
		c.sent = r.err.Sent
		is.True(errors.Is(r.err, context.DeadlineExceeded))
		is.Equal(c.problem(r.err).Code, chestnutcleat.CodeDeadline)
		is.Equal(c.problem(r.err).Outcome, chestnutcleat.Unknown)
	})
}
