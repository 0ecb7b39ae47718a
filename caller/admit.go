package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// admit checks that the sender may use the route and builds the call from its headers and body.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, who identity, route chestnutcleat.Route, body []byte) (*call, callHeader, *chestnutcleat.Problem) {
	if who.anonymous && !route.Open {
		return nil, callHeader{}, notRunProblem(chestnutcleat.CodeKeyMissing, "the route needs a key")
	}
	if len(route.Customers) > 0 && !slices.Contains(route.Customers, who.customer) {
		return nil, callHeader{}, notRunProblem(chestnutcleat.CodeForbidden, "the route is not open to the customer")
	}
	if who.anonymous && r.Header.Get(headerProgram) != "" {
		return nil, callHeader{}, notRunProblem(chestnutcleat.CodeKeyMissing, "programs need a key")
	}
	hdr, p := parseHeader(r.Header)
	if p != nil {
		return nil, callHeader{}, p
	}
	now := time.Now()
	deadline := now.Add(route.Timeout.OrDefault(chestnutcleat.DefaultCallTimeout))
	if !hdr.deadline.IsZero() && hdr.deadline.Before(deadline) {
		deadline = hdr.deadline
	}
	if !deadline.After(now) {
		return nil, callHeader{}, notRunProblem(chestnutcleat.CodeDeadline, "the deadline has passed")
	}
	digest := chestnutcleat.DigestOf(slices.Concat([]byte(r.Method+" "+r.URL.RequestURI()+"\n"), body))
	c := &call{h: h, w: w, who: who, route: route, explicitID: hdr.explicitID, call: chestnutcleat.Call{
		Customer: who.customer, Program: hdr.program, ID: hdr.call, After: hdr.after, Parent: hdr.parent, Route: route.Name,
		BodyDigest: digest, Repeatable: route.Repeatable, Deadline: deadline, Budget: hdr.budget,
	}}
	key := chestnutcleat.ProgramKey(who.customer, hdr.program)
	c.hashedID = chestnutcleat.DigestOf([]byte(key.ID + "\n" + string(hdr.call))).String()[:32]
	w.Header().Set(headerResponseCall, string(hdr.call))
	if a := h.Owners.Place(key).CallerAddress; a != "" {
		w.Header().Set(headerVM, string(a))
	}
	return c, hdr, nil
}

// takeToken takes a token from the customer's rate limit; a call that the program's owner already has needs none.
func (c *call) takeToken() *chestnutcleat.Problem {
	if c.who.anonymous {
		return nil
	}
	// The id is derived from the call id, so that a retry does not take a second token.
	id := chestnutcleat.RequestID("take-" + c.hashedID)
	r, err := c.h.Owners.Take(c.ctx, chestnutcleat.TakeRequest{ID: id, Customer: c.call.Customer, Count: 1})
	switch {
	case err != nil && c.ctx.Err() != nil:
		return c.stopProblem()
	case err != nil:
		return ownerProblem(err, "customer")
	case r.Admitted || c.isKnownToOwner():
		c.level = r.Level
		c.tokenRequest = id
		return nil
	}
	return notRunProblem(chestnutcleat.CodeRate, "the customer's rate is exceeded").WithRetry(max(r.Retry, time.Millisecond))
}

// isKnownToOwner reports whether the program's owner already has the call.
func (c *call) isKnownToOwner() bool {
	if !c.explicitID {
		return false
	}
	s, err := c.h.Owners.Summary(c.ctx, chestnutcleat.EndRequest{Customer: c.call.Customer, Program: c.call.Program})
	var p *chestnutcleat.Problem
	unknown := errors.As(err, &p) && p.Code == chestnutcleat.CodeProgramUnknown
	if err == nil || unknown {
		c.mayHaveRun = false
	}
	if err != nil {
		return false
	}
	return slices.ContainsFunc(s.Calls, func(known chestnutcleat.CallSummary) bool { return known.ID == c.call.ID })
}

// beginCall asks the program's owner whether to run the call or to return a recorded answer.
func (c *call) beginCall(id chestnutcleat.RequestID) *chestnutcleat.Problem {
	// Only the deadline ends the request: if it were cancelled with the call, the owner could wait for a run that no VM starts.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.call.Deadline)
	defer cancel()
	b, err := c.h.Owners.Begin(ctx, chestnutcleat.BeginRequest{ID: id, Call: c.call})
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRunProblem(chestnutcleat.CodeDeadline, "the deadline passed")
	case err != nil:
		return ownerProblem(err, "program")
	case b.Problem != nil:
		c.mayHaveRun = false
		return b.Problem
	}
	c.mayHaveRun = false
	c.begin = b
	c.cancelAt(b.WallClockEnd)
	return nil
}
