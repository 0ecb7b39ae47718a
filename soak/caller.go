package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

const (
	// deadline is how long a caller waits for an answer.
	deadline = 4 * time.Second
	// tries is how often a turn or call is sent before the program gives up.
	tries = 3
	// maxTurns, mostTokens and budgetTokens are those of a program.
	maxTurns     = 6
	mostTokens   = 80
	budgetTokens = 200
	// thinkTime is the longest pause between two turns, retryPause the least before another try.
	thinkTime  = 60 * time.Millisecond
	retryPause = 50 * time.Millisecond
	// hurryPause is that of callers who are refused most of the time.
	hurryPause = 20 * time.Millisecond
)

// caller runs one program after the other.
type caller struct {
	client   *program.Client
	record   *record
	random   *rand.Rand
	name     string
	customer string
	count    int
}

// run sends until ctx is done; requests that were begun end by themselves.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.count++
		id := fmt.Sprintf("%s-p%d", c.name, c.count)
		switch c.customer {
		case instance.SampleLimited:
			// These callers don't mind what the last answer said.
			c.tool(ctx, id, 0)
			_ = chestnutcleat.Sleep(ctx, hurryPause)
		case instance.SampleWithdrawn:
			c.program(ctx, id)
			_ = chestnutcleat.Sleep(ctx, hurryPause)
		default:
			c.program(ctx, id)
		}
	}
}

// program sends the turns of one program, with calls of tools between them.
func (c *caller) program(ctx context.Context, id string) {
	path := instance.PathKept
	if c.random.IntN(2) == 0 {
		path = instance.PathMoves
	}
	previous, chain, tokens := "", "", 0
	for turn := range 1 + c.random.IntN(maxTurns) {
		input := fmt.Sprintf("input of %s turn %d;", id, turn)
		q := program.Request{Path: path + id, Body: input, Program: id, Budget: budgetTokens, Most: mostTokens, Deadline: deadline}
		if path == instance.PathKept {
			q.Previous = previous
		} else {
			chain = ""
		}
		a, handed := c.try(ctx, q, fmt.Sprintf("%s-t%d", id, turn), chain+input)
		if tokens += handed; tokens > budgetTokens+mostTokens {
			c.record.violate(a, "program was handed %d tokens, its budget is %d", tokens, budgetTokens)
		}
		if a == nil || !a.Whole {
			return
		}
		previous, chain = a.ID, chain+input+instance.Output(a.ID)
		if !c.tool(ctx, id, turn) || chestnutcleat.Sleep(ctx, time.Duration(c.random.Int64N(int64(thinkTime)))) != nil {
			return
		}
	}
}

// tool makes one call of a tool and reports whether it was served.
func (c *caller) tool(ctx context.Context, id string, turn int) bool {
	path := instance.PathCheck
	if c.random.IntN(2) == 0 {
		path = instance.PathBook
	}
	name := fmt.Sprintf("%s-c%d", id, turn)
	q := program.Request{Path: path + id, Body: "call of " + name, Program: id, Deadline: deadline}
	a, _ := c.try(ctx, q, name, q.Body)
	return a != nil && a.Whole
}

// try sends a request until it is served or may not be sent again; each attempt has an id of its own. It returns the last attempt
// and the tokens that all of them handed out.
func (c *caller) try(ctx context.Context, q program.Request, name, input string) (last *attempt, tokens int) {
	for n := range tries {
		if ctx.Err() != nil {
			return last, tokens
		}
		q.ID = fmt.Sprintf("%s-%d", name, n)
		last = &attempt{Request: q, customer: c.customer, input: input, begun: time.Since(c.record.begun)}
		// A caller that has begun a request stays until it is answered.
		last.Result = c.client.Do(context.WithoutCancel(ctx), q)
		last.end = time.Since(c.record.begun)
		c.record.add(last)
		tokens += last.Events * instance.Chunk
		if !c.mayRetry(last) {
			return last, tokens
		}
		if chestnutcleat.Sleep(ctx, min(max(last.Retry, retryPause), time.Second)) != nil {
			return last, tokens
		}
	}
	return last, tokens
}

// mayRetry reports whether a caller sends a request again, and looks at refusals that end a program.
func (c *caller) mayRetry(a *attempt) bool {
	switch {
	case a.served():
		return false
	case a.customer == instance.SampleLimited && a.Status == http.StatusTooManyRequests:
		return false
	case a.customer == instance.SampleWithdrawn && a.Status == http.StatusUnauthorized:
		return false
	case a.Status == http.StatusNotFound && a.Previous != "":
		c.record.violate(a, "turn %s was answered whole and is not found", a.Previous)
		return false
	case a.Status == http.StatusUnauthorized, a.Status == http.StatusForbidden, a.Status == http.StatusNotFound:
		c.record.violate(a, "status %d for what the configuration allows", a.Status)
		return false
	}
	return repeatable(a.Path) || a.promisesNoRun() || a.Program != "" && a.Most > 0
}
