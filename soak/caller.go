package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

const (
	// requestTimeout is the deadline of a request, and deadlineSlack how long a caller waits beyond it for the end of the answer.
	requestTimeout = 4 * time.Second
	deadlineSlack  = 2 * time.Second
	// maxAttempts is how often a turn or call is sent before the program gives up.
	maxAttempts = 3
	// maxTurns, maxTokens (of a turn) and tokenBudget (of all turns) are the limits of a program.
	maxTurns    = 6
	maxTokens   = 80
	tokenBudget = 200
	// maxThinkTime is the longest pause between two turns, minRetryDelay the shortest before a retry.
	maxThinkTime  = 60 * time.Millisecond
	minRetryDelay = 50 * time.Millisecond
	// shortPause is the pause of callers whose requests are often refused.
	shortPause = 20 * time.Millisecond
)

// caller runs programs one after the other.
type caller struct {
	client       *program.Client
	recorder     *recorder
	random       *rand.Rand
	name         string
	customer     string
	programCount int
}

// run sends requests until ctx is done; a request in progress is completed.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.programCount++
		id := fmt.Sprintf("%s-p%d", c.name, c.programCount)
		switch c.customer {
		case instance.SampleLimited:
			// The limited customer keeps sending, whatever the last answer was.
			c.callTool(ctx, id, 0)
			_ = chestnutcleat.Sleep(ctx, shortPause)
		case instance.SampleWithdrawn:
			c.runProgram(ctx, id)
			_ = chestnutcleat.Sleep(ctx, shortPause)
		default:
			c.runProgram(ctx, id)
		}
	}
}

// runProgram sends the turns of one program, with tool calls between them.
func (c *caller) runProgram(ctx context.Context, id string) {
	path := instance.PathRetained
	if c.random.IntN(2) == 0 {
		path = instance.PathResumable
	}
	previous, history, tokens := "", "", 0
	for turn := range 1 + c.random.IntN(maxTurns) {
		input := fmt.Sprintf("input of %s turn %d;", id, turn)
		req := program.Request{Path: path + id, Body: input, Program: id, TokenBudget: tokenBudget, MaxTokens: maxTokens, Timeout: requestTimeout, Slack: deadlineSlack}
		if path == instance.PathRetained {
			req.Previous = previous
		} else {
			history = ""
		}
		a, received := c.sendWithRetries(ctx, req, fmt.Sprintf("%s-t%d", id, turn), history+input)
		if tokens += received; tokens > tokenBudget+maxTokens {
			c.recorder.addAttemptViolation(a, "program was handed %d tokens, its budget is %d", tokens, tokenBudget)
		}
		if a == nil || !a.Complete {
			return
		}
		previous, history = a.ID, history+input+instance.Output(instance.StreamName(path, a.ID), a.Result.Version)
		if !c.callTool(ctx, id, turn) || chestnutcleat.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime)))) != nil {
			return
		}
	}
}

// callTool makes one tool call and reports whether it was served.
func (c *caller) callTool(ctx context.Context, id string, turn int) bool {
	path := instance.PathIdempotent
	if c.random.IntN(2) == 0 {
		path = instance.PathNonIdempotent
	}
	name := fmt.Sprintf("%s-c%d", id, turn)
	req := program.Request{Path: path + id, Body: "call of " + name, Program: id, Timeout: requestTimeout, Slack: deadlineSlack}
	a, _ := c.sendWithRetries(ctx, req, name, req.Body)
	return a != nil && a.Complete
}

// sendWithRetries sends a request until it is served or may not be sent again; each attempt has its own id. It returns the last
// attempt and the number of tokens received in all attempts.
func (c *caller) sendWithRetries(ctx context.Context, req program.Request, name, input string) (last *attempt, tokens int) {
	for n := range maxAttempts {
		if ctx.Err() != nil {
			return last, tokens
		}
		req.ID = fmt.Sprintf("%s-%d", name, n)
		last = &attempt{Request: req, customer: c.customer, input: input, start: time.Since(c.recorder.start)}
		// A request that has been sent is completed even if the run ends meanwhile.
		last.Result = c.client.Do(context.WithoutCancel(ctx), req)
		last.end = time.Since(c.recorder.start)
		c.recorder.addAttempt(last)
		tokens += last.Events * instance.TokensPerEvent
		if !c.mayRetry(last) {
			return last, tokens
		}
		last.takeUp(&req)
		if chestnutcleat.Sleep(ctx, min(max(last.RetryAfter, minRetryDelay), time.Second)) != nil {
			return last, tokens
		}
	}
	return last, tokens
}

// takeUp makes the next request take up the stream of an attempt that broke off, where streams can be resumed.
func (a *attempt) takeUp(next *program.Request) {
	if a.Events == 0 || !strings.HasPrefix(a.Path, instance.PathResumable) {
		return
	}
	if next.LastEvent == 0 {
		next.Resumes, next.Version = a.ID, a.Result.Version
	}
	next.LastEvent += a.Events
}

// mayRetry reports whether a caller may send a request again. It also records refusals that violate a guarantee.
func (c *caller) mayRetry(a *attempt) bool {
	switch {
	case a.served():
		return false
	case a.customer == instance.SampleLimited && a.Status == http.StatusTooManyRequests:
		return false
	case a.customer == instance.SampleWithdrawn && a.Status == http.StatusUnauthorized:
		return false
	case a.Status == http.StatusNotFound && a.Previous != "":
		c.recorder.addAttemptViolation(a, "turn %s was answered completely but is not found", a.Previous)
		return false
	case a.Status == http.StatusUnauthorized, a.Status == http.StatusForbidden, a.Status == http.StatusNotFound:
		c.recorder.addAttemptViolation(a, "status %d although the configuration allows the request", a.Status)
		return false
	}
	return repeatable(a.Path) || a.reportsNotRun() || a.Program != "" && a.MaxTokens > 0
}
