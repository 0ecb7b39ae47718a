package program

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// call is the state of one call of a program.
type call struct {
	chestnutcleat.Call
	// sentTip identifies the history in the call's request; tip identifies the history that includes its answer.
	sentTip tip
	tip     tip
	// holder is the id of the request that has permission to run the current attempt.
	holder chestnutcleat.RequestID
	// mayHaveRun is set when an earlier attempt may have run.
	mayHaveRun bool
	// presumedCharge is the part of lostCharge that a presumed outcome added; a late report takes it back.
	presumedCharge chestnutcleat.Tokens
	state          state
	// orphan is set while the call names an unknown call as its predecessor or parent.
	orphan      bool
	orphanTimer chestnutcleat.Timer
	attempt     int
	// retries is the number of attempts that Settle started.
	retries int
	// retriedAttempt is the attempt whose settle started the current one, or zero.
	retriedAttempt int
	started        bool
	starting       bool
	ticket         chestnutcleat.TicketID
	starters       []func(chestnutcleat.StartReply)
	// lostCharge is the number of tokens charged for attempts that did not become the answer or whose usage is unknown.
	lostCharge  chestnutcleat.Tokens
	reserved    chestnutcleat.Tokens
	output      chestnutcleat.Tokens
	used        chestnutcleat.Usage
	crashes     int
	avoid       []chestnutcleat.UpstreamID
	waiters     []*waiter
	reportTimer chestnutcleat.Timer
	// abandoned is set if no entry VM is known to run the current attempt.
	abandoned bool
	answer    *chestnutcleat.Answer
	endedAt   time.Time
	// presumed is set for an unknown outcome that no caller has received yet, so that a late report may replace it.
	presumed bool
	// onStored lists the callbacks to run once the end of the call is stored; it is not empty until then.
	onStored []func()
	// storeVersion numbers the writes of the end; results of all but the last one are ignored.
	storeVersion int
}

// charge returns the tokens that the call counts against the program's budget.
func (c *call) charge() chestnutcleat.Tokens {
	return c.lostCharge + c.reserved + c.used.Total()
}

// stopReportTimer stops the wait for the entry VM's report.
func (c *call) stopReportTimer() {
	if c.reportTimer != nil {
		c.reportTimer.Stop()
		c.reportTimer = nil
	}
}

// popWaiter removes and returns the first waiter.
func (c *call) popWaiter() *waiter {
	w := c.waiters[0]
	c.waiters = c.waiters[1:]
	w.timer.Stop()
	return w
}

// reply answers all waiters.
func (c *call) reply(r chestnutcleat.BeginReply) {
	for len(c.waiters) > 0 {
		c.popWaiter().done(r)
	}
}
