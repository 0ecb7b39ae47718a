package node

import (
	"chestnutcleat.example/chestnutcleat"
)

// endpoints are the requests that owners answer.
type endpoints struct {
	take    endpoint[chestnutcleat.TakeRequest, chestnutcleat.TakeReply]
	usage   endpoint[chestnutcleat.UsageReport, chestnutcleat.Ack]
	begin   endpoint[chestnutcleat.BeginRequest, chestnutcleat.BeginReply]
	start   endpoint[chestnutcleat.StartRequest, chestnutcleat.StartReply]
	settle  endpoint[chestnutcleat.SettleRequest, chestnutcleat.SettleReply]
	end     endpoint[chestnutcleat.EndRequest, chestnutcleat.Ack]
	look    endpoint[chestnutcleat.EndRequest, lookReply]
	suspect endpoint[chestnutcleat.SuspectRequest, chestnutcleat.SuspectReply]
	acquire endpoint[chestnutcleat.AcquireRequest, chestnutcleat.AcquireReply]
	cancel  endpoint[chestnutcleat.AcquireRequest, chestnutcleat.Ack]
	release endpoint[chestnutcleat.ReleaseRequest, chestnutcleat.Ack]
}

// lookReply answers a request for a program's summary.
type lookReply struct {
	Found   bool                  `json:"found"`
	Summary chestnutcleat.Summary `json:"summary"`
	// Incomplete is set when records of the program may be missing.
	Incomplete bool `json:"incomplete,omitempty"`
}

// now adapts a request that is answered at once.
func now[Req, Resp any](f func(Req) Resp) func(Req, func(Resp)) {
	return func(r Req, done func(Resp)) { done(f(r)) }
}

func add[Req, Resp any](n *Node, e *endpoint[Req, Resp], m chestnutcleat.Method, key func(Req) chestnutcleat.Key, run func(Req, func(Resp))) {
	*e = endpoint[Req, Resp]{method: m, key: key, run: run}
	e.register(n.Mux, n.Loop, n.keeper)
}

func (n *Node) buildEndpoints() {
	e := &n.endpoints
	n.addCustomerEndpoints(e)
	n.addProgramEndpoints(e)
	n.addUpstreamEndpoints(e)
}

func (n *Node) addCustomerEndpoints(e *endpoints) {
	add(n, &e.take, chestnutcleat.MethodTake,
		func(r chestnutcleat.TakeRequest) chestnutcleat.Key { return chestnutcleat.CustomerKey(r.Customer) },
		n.limits.Take)
	add(n, &e.usage, chestnutcleat.MethodUsage,
		func(r chestnutcleat.UsageReport) chestnutcleat.Key { return chestnutcleat.CustomerKey(r.Customer) },
		now(func(r chestnutcleat.UsageReport) chestnutcleat.Ack {
			n.limits.Usage(r)
			return chestnutcleat.Ack{}
		}))
}

func (n *Node) addProgramEndpoints(e *endpoints) {
	add(n, &e.begin, chestnutcleat.MethodBegin,
		func(r chestnutcleat.BeginRequest) chestnutcleat.Key {
			return chestnutcleat.ProgramKey(r.Call.Customer, r.Call.Program)
		}, n.programs.Begin)
	add(n, &e.start, chestnutcleat.MethodStart,
		func(r chestnutcleat.StartRequest) chestnutcleat.Key {
			return chestnutcleat.ProgramKey(r.Customer, r.Program)
		}, n.programs.Start)
	add(n, &e.settle, chestnutcleat.MethodSettle,
		func(r chestnutcleat.SettleRequest) chestnutcleat.Key {
			return chestnutcleat.ProgramKey(r.Customer, r.Program)
		}, n.programs.Settle)
	byProgram := func(r chestnutcleat.EndRequest) chestnutcleat.Key {
		return chestnutcleat.ProgramKey(r.Customer, r.Program)
	}
	add(n, &e.end, chestnutcleat.MethodEnd, byProgram, n.programs.End)
	add(n, &e.look, chestnutcleat.MethodProgram, byProgram, now(n.look))
	add(n, &e.suspect, chestnutcleat.MethodSuspect, chestnutcleat.SuspectRequest.Key, n.handleSuspect)
}

func (n *Node) addUpstreamEndpoints(e *endpoints) {
	byUpstream := func(r chestnutcleat.AcquireRequest) chestnutcleat.Key { return chestnutcleat.UpstreamKey(r.Upstream) }
	add(n, &e.acquire, chestnutcleat.MethodAcquire, byUpstream, n.upstreams.Acquire)
	add(n, &e.cancel, chestnutcleat.MethodCancel, byUpstream, now(func(r chestnutcleat.AcquireRequest) chestnutcleat.Ack {
		n.upstreams.Cancel(r.ID)
		return chestnutcleat.Ack{}
	}))
	add(n, &e.release, chestnutcleat.MethodRelease,
		func(r chestnutcleat.ReleaseRequest) chestnutcleat.Key {
			return chestnutcleat.UpstreamKey(r.Ticket.Upstream)
		},
		now(func(r chestnutcleat.ReleaseRequest) chestnutcleat.Ack {
			n.upstreams.Release(r)
			return chestnutcleat.Ack{}
		}))
}

// refuseTemporary refuses a new call that may not be repeated while this VM owns the program's slot only until the platform can record it.
func (n *Node) refuseTemporary(c chestnutcleat.Call) *chestnutcleat.Problem {
	if c.Repeatable || !n.keeper.Temporary(chestnutcleat.ProgramKey(c.Customer, c.Program).Slot()) {
		return nil
	}
	return chestnutcleat.NewProblem(chestnutcleat.CodeOwnerLost, chestnutcleat.NotRun, "the program's owner was lost while the platform is down").WithRetry(temporaryRetry)
}

// look returns a program's summary; without all records an unknown call may have run.
func (n *Node) look(r chestnutcleat.EndRequest) lookReply {
	s, ok := n.programs.Look(r.Customer, r.Program)
	incomplete := n.programs.Incomplete(chestnutcleat.ProgramKey(r.Customer, r.Program).Slot())
	return lookReply{Found: ok, Summary: s, Incomplete: incomplete}
}

func (n *Node) handleSuspect(r chestnutcleat.SuspectRequest, done func(chestnutcleat.SuspectReply)) {
	n.suspects.Handle(r, func(a chestnutcleat.SuspectReply, err error) {
		if err != nil {
			// Without an answer the caller's attempt times out and asks again.
			return
		}
		done(a)
	})
}
