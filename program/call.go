package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// call is one call of a program.
type call struct {
	chestnutcleat.Call
	// sent is the history that the call was sent with; tip includes its answer.
	sent tip
	tip  tip
	// holder is the request that may run the attempt.
	holder chestnutcleat.RequestID
	// ran is set when an earlier attempt may have run.
	ran bool
	// assumed is what a presumed outcome added to charged.
	assumed chestnutcleat.Tokens
	state   state
	// orphan is set while a call that this one names is not known.
	orphan   bool
	patience chestnutcleat.Timer
	attempt  int
	// retries counts the attempts that Settle asked for.
	retries int
	// again is the attempt whose settle created the present one; zero for none.
	again    int
	started  bool
	starting bool
	ticket   chestnutcleat.TicketID
	starters []func(chestnutcleat.StartReply)
	// charged is what lost attempts may have used.
	charged  chestnutcleat.Tokens
	reserved chestnutcleat.Tokens
	output   chestnutcleat.Tokens
	used     chestnutcleat.Usage
	crashes  int
	avoid    []chestnutcleat.UpstreamID
	waiters  []*waiter
	silence  chestnutcleat.Timer
	silent   bool
	answer   *chestnutcleat.Answer
	endedAt  time.Time
	// presumed is set for an unknown outcome that nobody was told yet.
	presumed bool
	// savers are called once the end of the call is stored; there are some until then.
	savers []func()
	// saves tells the writes of the end apart, of which only the last one counts.
	saves int
}

// charge returns what the call counts against the program's budget.
func (c *call) charge() chestnutcleat.Tokens {
	return c.charged + c.reserved + c.used.Total()
}

// stopSilence ends the watch on the entry VM.
func (c *call) stopSilence() {
	if c.silence != nil {
		c.silence.Stop()
		c.silence = nil
	}
}

// take removes and returns the first waiter.
func (c *call) take() *waiter {
	w := c.waiters[0]
	c.waiters = c.waiters[1:]
	w.timer.Stop()
	return w
}

// reply answers all waiters.
func (c *call) reply(r chestnutcleat.BeginReply) {
	for len(c.waiters) > 0 {
		c.take().done(r)
	}
}
