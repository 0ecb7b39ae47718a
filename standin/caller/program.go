package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// alphabet holds the letters of generated text.
const alphabet = "abcdefghijklmnopqrstuvwxyz"

// program is one run of an agent program.
type program struct {
	id       chestnutcleat.ProgramID
	customer Customer
	shape    Shape
	client   *client
	random   *rand.Rand
}

// agent is a conversation: that of the program itself or of a sub-agent.
type agent struct {
	name     string
	parent   chestnutcleat.CallID
	previous chestnutcleat.CallID
	messages []engine.Message
	vm       chestnutcleat.Address
	random   *rand.Rand
}

// run makes all turns of the program and then deletes it at its VM.
func (p *program) run(ctx context.Context) error {
	a := &agent{name: "main", random: p.random, messages: []engine.Message{
		// As with real agents, all programs of a customer share the system prompt.
		engine.NewMessage("system", randomText(rand.New(rand.NewPCG(uint64(len(p.customer.ID)), 7)), p.shape.SystemTokens)),
		engine.NewMessage("user", string(p.id)+" "+randomText(p.random, randomLength(p.random, p.shape.InputTokens))),
	}}
	err := p.runTurns(ctx, a, p.shape.randomTurns(p.random), true)
	p.deleteProgram(ctx, a.vm)
	return err
}

// runTurns makes the turns of one agent; subAgents allows it to start sub-agents.
func (p *program) runTurns(ctx context.Context, a *agent, turns int, subAgents bool) error {
	for n := range turns {
		if err := p.runTurn(ctx, a, n); err != nil {
			return fmt.Errorf("%s turn %d: %w", a.name, n, err)
		}
		if n == turns-1 {
			return nil
		}
		result, err := p.betweenTurns(ctx, a, n, subAgents)
		if err != nil {
			return err
		}
		a.messages = append(a.messages, engine.NewMessage("user", result+randomText(a.random, randomLength(a.random, p.shape.InputTokens))))
	}
	return nil
}

// runTurn makes one chat call and appends its output to the conversation.
func (p *program) runTurn(ctx context.Context, a *agent, n int) error {
	messages := append([]engine.Message(nil), a.messages...)
	last := &messages[len(messages)-1]
	*last = engine.NewMessage(last.Role, fmt.Sprintf("%s #tokens=%d", last.Text(), randomLength(a.random, p.shape.OutputTokens)))
	a.messages = messages
	body, err := json.Marshal(map[string]any{
		"model": p.customer.Model, "messages": messages, "stream": true, "max_tokens": 4 * p.shape.OutputTokens,
		"stream_options": map[string]bool{"include_usage": true},
	})
	if err != nil {
		return err
	}
	id := chestnutcleat.CallID(fmt.Sprintf("%s-%s-%d", p.id, a.name, n))
	r, err := p.client.call(ctx, a.vm, request{id: id, program: p.id, previous: a.previous, parent: a.parent, path: "/v1/chat/completions", body: body, stream: true})
	if err != nil {
		return err
	}
	a.previous = id
	a.vm = r.nextVM
	a.messages = append(a.messages, engine.NewMessage("assistant", r.text))
	return nil
}

// betweenTurns calls tools, runs a sub-agent, pauses, and returns the results as input of the next turn.
func (p *program) betweenTurns(ctx context.Context, a *agent, n int, subAgents bool) (string, error) {
	var out strings.Builder
	for i, tool := range p.customer.Tools {
		if a.random.Float64() >= tool.Probability {
			continue
		}
		id := chestnutcleat.CallID(fmt.Sprintf("%s-%s-%d-t%d", p.id, a.name, n, i))
		path := "/v1/services/" + string(tool.Route) + "/run"
		if _, err := p.client.call(ctx, a.vm, request{id: id, program: p.id, previous: a.previous, parent: a.parent, path: path, body: []byte(`{}`)}); err != nil {
			return "", fmt.Errorf("tool %s: %w", tool.Route, err)
		}
		a.previous = id
		out.WriteString("tool done ")
	}
	var group errgroup.Group
	if subAgents && a.random.Float64() < p.shape.SubAgentProbability {
		sub := &agent{
			name: fmt.Sprintf("sub%d", n), parent: a.previous, vm: a.vm,
			random:   rand.New(rand.NewPCG(a.random.Uint64(), 1)),
			messages: append(append([]engine.Message(nil), a.messages...), engine.NewMessage("user", "sub-task")),
		}
		group.Go(func() error { return p.runTurns(ctx, sub, 2, false) })
		out.WriteString("sub-agent done ")
	}
	t := time.NewTimer(p.shape.randomPause(a.random))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	return out.String(), nil
}

// deleteProgram reports the end of the program. Errors are ignored, as they only delay the release of its cache.
func (p *program) deleteProgram(ctx context.Context, vm chestnutcleat.Address) {
	if vm == "" {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+string(vm)+"/v1/programs/"+string(p.id), nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+p.client.key)
	if resp, err := p.client.http.Do(req); err == nil {
		resp.Body.Close()
	}
}

// randomText returns a text of about n tokens: each is a word of three letters and a space.
func randomText(r *rand.Rand, n int) string {
	b := make([]byte, 0, 4*n)
	for range n {
		for range 3 {
			b = append(b, alphabet[r.IntN(len(alphabet))])
		}
		b = append(b, ' ')
	}
	return string(b)
}
