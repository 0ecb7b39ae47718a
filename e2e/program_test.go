package e2e

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// program is a chain of calls: chats, with a booking after the second one.
type program struct {
	id       string
	caller   *caller
	first    int
	patience time.Duration
	messages []engine.Message
	after    string
	// booked is the answer of the booking; unknown is set if its outcome is.
	booked  string
	unknown bool
	owner   chestnutcleat.Address
}

// chat makes one turn through the VM with an index.
func (p *program) chat(ctx context.Context, vm, turn int) error {
	p.messages = append(p.messages, question(fmt.Sprintf("%s turn %d", p.id, turn), 8))
	id := fmt.Sprintf("turn-%d", turn)
	a, err := p.caller.do(ctx, vm, call{id: id, program: p.id, after: p.after, path: chatPath, body: chat(p.messages, turn%2 == 0), patience: p.patience})
	if err != nil {
		return fmt.Errorf("program %s turn %d: %w", p.id, turn, err)
	}
	p.messages = append(p.messages, engine.NewMessage("assistant", a.text))
	p.after, p.owner = id, a.owner
	return nil
}

// book makes the booking; a problem with outcome unknown is an answer.
func (p *program) book(ctx context.Context, vm int) error {
	a, err := p.caller.do(ctx, vm, p.booking())
	var problem *chestnutcleat.Problem
	if errors.As(err, &problem) && problem.Outcome == chestnutcleat.Unknown {
		p.unknown = true
		return nil
	}
	if err != nil {
		return fmt.Errorf("program %s booking: %w", p.id, err)
	}
	p.booked = a.text
	return nil
}

func (p *program) booking() call {
	return call{id: "booking", program: p.id, after: "turn-2", path: bookPath, body: `{"seat":1}`, patience: p.patience}
}

// run makes five calls, each through the next VM.
func (p *program) run(ctx context.Context) error {
	for turn := 1; turn <= 4; turn++ {
		if err := p.chat(ctx, p.first+turn, turn); err != nil {
			return err
		}
		if turn != 2 {
			continue
		}
		if err := p.book(ctx, p.first); err != nil {
			return err
		}
	}
	return nil
}
