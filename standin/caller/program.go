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

// words per token of generated text: each has three letters and a space.
const alphabet = "abcdefghijklmnopqrstuvwxyz"

// program is one agent program.
type program struct {
	id       chestnutcleat.ProgramID
	customer Customer
	shape    Shape
	client   *client
	random   *rand.Rand
}

// branch is a chain of calls: the program itself or a sub-agent.
type branch struct {
	name     string
	parent   chestnutcleat.CallID
	after    chestnutcleat.CallID
	messages []engine.Message
	vm       chestnutcleat.Address
	random   *rand.Rand
}

// run runs the program to its end.
func (p *program) run(ctx context.Context) error {
	b := &branch{name: "main", random: p.random, messages: []engine.Message{
		// The system prompt is the same for all programs of a customer, as with real agents.
		engine.NewMessage("system", text(rand.New(rand.NewPCG(uint64(len(p.customer.ID)), 7)), p.shape.System)),
		engine.NewMessage("user", string(p.id)+" "+text(p.random, length(p.random, p.shape.Input))),
	}}
	err := p.chain(ctx, b, p.shape.turns(p.random), true)
	p.end(ctx, b.vm)
	return err
}

// chain makes a number of turns.
func (p *program) chain(ctx context.Context, b *branch, turns int, agents bool) error {
	for n := range turns {
		if err := p.turn(ctx, b, n); err != nil {
			return fmt.Errorf("%s turn %d: %w", b.name, n, err)
		}
		if n == turns-1 {
			return nil
		}
		result, err := p.between(ctx, b, n, agents)
		if err != nil {
			return err
		}
		b.messages = append(b.messages, engine.NewMessage("user", result+text(b.random, length(b.random, p.shape.Input))))
	}
	return nil
}

// turn makes one chat call.
func (p *program) turn(ctx context.Context, b *branch, n int) error {
	messages := append([]engine.Message(nil), b.messages...)
	last := &messages[len(messages)-1]
	*last = engine.NewMessage(last.Role, fmt.Sprintf("%s #tokens=%d", last.Text(), length(b.random, p.shape.Output)))
	b.messages = messages
	body, err := json.Marshal(map[string]any{
		"model": p.customer.Model, "messages": messages, "stream": true, "max_tokens": 4 * p.shape.Output,
		"stream_options": map[string]bool{"include_usage": true},
	})
	if err != nil {
		return err
	}
	id := chestnutcleat.CallID(fmt.Sprintf("%s-%s-%d", p.id, b.name, n))
	r, err := p.client.call(ctx, b.vm, request{id: id, program: p.id, after: b.after, parent: b.parent, path: "/v1/chat/completions", body: body, stream: true})
	if err != nil {
		return err
	}
	b.after = id
	b.vm = r.next
	b.messages = append(b.messages, engine.NewMessage("assistant", r.text))
	return nil
}

// between pauses, calls tools and runs a sub-agent between two turns.
func (p *program) between(ctx context.Context, b *branch, n int, agents bool) (string, error) {
	var out strings.Builder
	for i, tool := range p.customer.Tools {
		if b.random.Float64() >= tool.Share {
			continue
		}
		id := chestnutcleat.CallID(fmt.Sprintf("%s-%s-%d-t%d", p.id, b.name, n, i))
		path := "/v1/services/" + string(tool.Route) + "/run"
		if _, err := p.client.call(ctx, b.vm, request{id: id, program: p.id, after: b.after, parent: b.parent, path: path, body: []byte(`{}`)}); err != nil {
			return "", fmt.Errorf("tool %s: %w", tool.Route, err)
		}
		b.after = id
		out.WriteString("tool done ")
	}
	var group errgroup.Group
	if agents && b.random.Float64() < p.shape.Agents {
		sub := &branch{
			name: fmt.Sprintf("sub%d", n), parent: b.after, vm: b.vm,
			random:   rand.New(rand.NewPCG(b.random.Uint64(), 1)),
			messages: append(append([]engine.Message(nil), b.messages...), engine.NewMessage("user", "sub-task")),
		}
		group.Go(func() error { return p.chain(ctx, sub, 2, false) })
		out.WriteString("sub-agent done ")
	}
	t := time.NewTimer(p.shape.pause(b.random))
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

// end tells the system that the program is over; a failure only delays the release of its cache.
func (p *program) end(ctx context.Context, vm chestnutcleat.Address) {
	if vm == "" {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+string(vm)+"/v1/programs/"+string(p.id), nil)
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+p.client.key)
	if a, err := p.client.http.Do(r); err == nil {
		a.Body.Close()
	}
}

// text returns a text of about n tokens.
func text(r *rand.Rand, n int) string {
	b := make([]byte, 0, 4*n)
	for range n {
		for range 3 {
			b = append(b, alphabet[r.IntN(len(alphabet))])
		}
		b = append(b, ' ')
	}
	return string(b)
}
