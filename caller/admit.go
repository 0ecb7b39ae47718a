package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// admit checks who may call the route and completes the description of the call.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, who identity, route chestnutcleat.Route, body []byte) (*call, header, *chestnutcleat.Problem) {
	if who.anonymous && !route.Open {
		return nil, header{}, refusal(chestnutcleat.CodeKeyMissing, "the route needs a key")
	}
	if len(route.Customers) > 0 && !slices.Contains(route.Customers, who.customer) {
		return nil, header{}, refusal(chestnutcleat.CodeForbidden, "the route is not open to the customer")
	}
	if who.anonymous && r.Header.Get(headerProgram) != "" {
		return nil, header{}, refusal(chestnutcleat.CodeKeyMissing, "programs need a key")
	}
	s, p := parseHeader(r.Header)
	if p != nil {
		return nil, header{}, p
	}
	now := time.Now()
	deadline := now.Add(route.Timeout.Or(chestnutcleat.DefaultCallTimeout))
	if !s.deadline.IsZero() && s.deadline.Before(deadline) {
		deadline = s.deadline
	}
	if !deadline.After(now) {
		return nil, header{}, refusal(chestnutcleat.CodeDeadline, "the deadline has passed")
	}
	digest := chestnutcleat.DigestOf(slices.Concat([]byte(r.Method+" "+r.URL.RequestURI()+"\n"), body))
	c := &call{h: h, w: w, who: who, route: route, explicit: s.explicit, call: chestnutcleat.Call{
		Customer: who.customer, Program: s.program, ID: s.call, After: s.after, Parent: s.parent, Route: route.Name,
		Body: digest, Repeatable: route.Repeatable, Deadline: deadline, Budget: s.budget,
	}}
	key := chestnutcleat.ProgramKey(who.customer, s.program)
	c.name = chestnutcleat.DigestOf([]byte(key.ID + "\n" + string(s.call))).String()[:32]
	w.Header().Set(headerCallOut, string(s.call))
	if a := h.Owners.Place(key).Caller; a != "" {
		w.Header().Set(headerVM, string(a))
	}
	return c, s, nil
}

// take asks for a token of the customer's rate; a call that the program's owner knows needs none.
func (c *call) take() *chestnutcleat.Problem {
	if c.who.anonymous {
		return nil
	}
	// The id comes from the call id, so that a retry takes no second token.
	id := chestnutcleat.RequestID("take-" + c.name)
	r, err := c.h.Owners.Take(c.ctx, chestnutcleat.TakeRequest{ID: id, Customer: c.call.Customer, Count: 1})
	switch {
	case err != nil && c.ctx.Err() != nil:
		return c.stopped()
	case err != nil:
		return ownerProblem(err, "customer")
	case r.Admitted || c.known():
		c.level = r.Level
		c.taken = id
		return nil
	}
	return refusal(chestnutcleat.CodeRate, "the customer's rate is exceeded").WithRetry(max(r.Retry, time.Millisecond))
}

// known reports whether the program's owner already has the call.
func (c *call) known() bool {
	if !c.explicit {
		return false
	}
	s, err := c.h.Owners.Look(c.ctx, chestnutcleat.EndRequest{Customer: c.call.Customer, Program: c.call.Program})
	var p *chestnutcleat.Problem
	gone := errors.As(err, &p) && p.Code == chestnutcleat.CodeProgramGone
	if err == nil || gone {
		c.unsure = false
	}
	if err != nil {
		return false
	}
	return slices.ContainsFunc(s.Calls, func(k chestnutcleat.CallSummary) bool { return k.ID == c.call.ID })
}

// present asks the program's owner what to do with the call.
func (c *call) present(id chestnutcleat.RequestID) *chestnutcleat.Problem {
	// The request ends by itself at the deadline: if it were cancelled earlier, the owner could wait for a run that nobody makes.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.call.Deadline)
	defer cancel()
	b, err := c.h.Owners.Begin(ctx, chestnutcleat.BeginRequest{ID: id, Call: c.call})
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal(chestnutcleat.CodeDeadline, "the deadline passed")
	case err != nil:
		return ownerProblem(err, "program")
	case b.Problem != nil:
		c.unsure = false
		return b.Problem
	}
	c.unsure = false
	c.begin = b
	c.limit(b.Until)
	return nil
}
