package node

import (
	"chestnutcleat.example/chestnutcleat"
)

// endpoints are the requests that owners handle.
type endpoints struct {
	take       endpoint[chestnutcleat.TakeRequest, chestnutcleat.TakeReply]
	usage      endpoint[chestnutcleat.UsageReport, chestnutcleat.Ack]
	begin      endpoint[chestnutcleat.BeginRequest, chestnutcleat.BeginReply]
	start      endpoint[chestnutcleat.StartRequest, chestnutcleat.StartReply]
	settle     endpoint[chestnutcleat.SettleRequest, chestnutcleat.SettleReply]
	end        endpoint[chestnutcleat.EndRequest, chestnutcleat.Ack]
	summary    endpoint[chestnutcleat.EndRequest, summaryReply]
	crashCheck endpoint[chestnutcleat.CrashCheckRequest, chestnutcleat.CrashCheckReply]
	acquire    endpoint[chestnutcleat.AcquireRequest, chestnutcleat.AcquireReply]
	cancel     endpoint[chestnutcleat.AcquireRequest, chestnutcleat.Ack]
	release    endpoint[chestnutcleat.ReleaseRequest, chestnutcleat.Ack]
}

// summaryReply answers a request for a program's summary.
type summaryReply struct {
	Found   bool                  `json:"found"`
	Summary chestnutcleat.Summary `json:"summary"`
	// Incomplete is set when records of the program may be missing.
	Incomplete bool `json:"incomplete,omitempty"`
}

// synchronous adapts a handler that returns its reply immediately.
func synchronous[Req, Resp any](f func(Req) Resp) func(Req, func(Resp)) {
	return func(r Req, done func(Resp)) { done(f(r)) }
}

func addEndpoint[Req, Resp any](n *Node, e *endpoint[Req, Resp], m chestnutcleat.Method, key func(Req) chestnutcleat.Key, run func(Req, func(Resp))) {
	*e = endpoint[Req, Resp]{method: m, keyOf: key, handle: run}
	e.register(n.Mux, n.Loop, n.keeper)
}

func (n *Node) buildEndpoints() {
	e := &n.endpoints
	n.addCustomerEndpoints(e)
	n.addProgramEndpoints(e)
	n.addUpstreamEndpoints(e)
}

func (n *Node) addCustomerEndpoints(e *endpoints) {
	addEndpoint(n, &e.take, chestnutcleat.MethodTake,
		func(r chestnutcleat.TakeRequest) chestnutcleat.Key { return chestnutcleat.CustomerKey(r.Customer) },
		n.limits.Take)
	addEndpoint(n, &e.usage, chestnutcleat.MethodUsage,
		func(r chestnutcleat.UsageReport) chestnutcleat.Key { return chestnutcleat.CustomerKey(r.Customer) },
		synchronous(func(r chestnutcleat.UsageReport) chestnutcleat.Ack {
			n.limits.Usage(r)
			return chestnutcleat.Ack{}
		}))
}

func (n *Node) addProgramEndpoints(e *endpoints) {
	addEndpoint(n, &e.begin, chestnutcleat.MethodBegin,
		func(r chestnutcleat.BeginRequest) chestnutcleat.Key {
			return chestnutcleat.ProgramKey(r.Call.Customer, r.Call.Program)
		}, n.programs.Begin)
	addEndpoint(n, &e.start, chestnutcleat.MethodStart,
		func(r chestnutcleat.StartRequest) chestnutcleat.Key {
			return chestnutcleat.ProgramKey(r.Customer, r.Program)
		}, n.programs.Start)
	addEndpoint(n, &e.settle, chestnutcleat.MethodSettle,
		func(r chestnutcleat.SettleRequest) chestnutcleat.Key {
			return chestnutcleat.ProgramKey(r.Customer, r.Program)
		}, n.programs.Settle)
	byProgram := func(r chestnutcleat.EndRequest) chestnutcleat.Key {
		return chestnutcleat.ProgramKey(r.Customer, r.Program)
	}
	addEndpoint(n, &e.end, chestnutcleat.MethodEnd, byProgram, n.programs.End)
	addEndpoint(n, &e.summary, chestnutcleat.MethodProgram, byProgram, synchronous(n.programSummary))
	addEndpoint(n, &e.crashCheck, chestnutcleat.MethodSuspect, chestnutcleat.CrashCheckRequest.Key, n.handleCrashCheck)
}

func (n *Node) addUpstreamEndpoints(e *endpoints) {
	byUpstream := func(r chestnutcleat.AcquireRequest) chestnutcleat.Key { return chestnutcleat.UpstreamKey(r.Upstream) }
	addEndpoint(n, &e.acquire, chestnutcleat.MethodAcquire, byUpstream, n.upstreams.Acquire)
	addEndpoint(n, &e.cancel, chestnutcleat.MethodCancel, byUpstream, synchronous(func(r chestnutcleat.AcquireRequest) chestnutcleat.Ack {
		n.upstreams.Cancel(r.ID)
		return chestnutcleat.Ack{}
	}))
	addEndpoint(n, &e.release, chestnutcleat.MethodRelease,
		func(r chestnutcleat.ReleaseRequest) chestnutcleat.Key {
			return chestnutcleat.UpstreamKey(r.Ticket.Upstream)
		},
		synchronous(func(r chestnutcleat.ReleaseRequest) chestnutcleat.Ack {
			n.upstreams.Release(r)
			return chestnutcleat.Ack{}
		}))
}

// refuseAsTemporaryOwner refuses a new non-repeatable call while this VM owns the program's slot only until the
// platform can record the takeover.
func (n *Node) refuseAsTemporaryOwner(c chestnutcleat.Call) *chestnutcleat.Problem {
	if c.Repeatable || !n.keeper.IsTemporaryOwner(chestnutcleat.ProgramKey(c.Customer, c.Program).Slot()) {
		return nil
	}
	return chestnutcleat.NewProblem(chestnutcleat.CodeOwnerUnavailable, chestnutcleat.NotRun, "the program's owner was lost while the platform is down").WithRetry(ownerLostRetryDelay)
}

// programSummary returns a program's summary and whether it may be incomplete: if records are missing, a call that it
// does not list may have run.
func (n *Node) programSummary(r chestnutcleat.EndRequest) summaryReply {
	s, ok := n.programs.Summary(r.Customer, r.Program)
	incomplete := n.programs.Incomplete(chestnutcleat.ProgramKey(r.Customer, r.Program).Slot())
	return summaryReply{Found: ok, Summary: s, Incomplete: incomplete}
}

func (n *Node) handleCrashCheck(r chestnutcleat.CrashCheckRequest, done func(chestnutcleat.CrashCheckReply)) {
	n.suspects.Handle(r, func(a chestnutcleat.CrashCheckReply, err error) {
		if err != nil {
			// The caller's attempt times out without a reply and is retried.
			return
		}
		done(a)
	})
}
