package e2e

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// program is a chain of four chat turns, with a booking after the second one.
type program struct {
	id       string
	caller   *caller
	firstVM  int
	timeout  time.Duration
	messages []engine.Message
	previous string
	// bookingAnswer is the answer to the booking; bookingUnknown is set if the booking's outcome is unknown instead.
	bookingAnswer  string
	bookingUnknown bool
	owner          chestnutcleat.Address
}

// sendTurn sends a chat turn through the VM with the given index.
func (p *program) sendTurn(ctx context.Context, vm, turn int) error {
	p.messages = append(p.messages, question(fmt.Sprintf("%s turn %d", p.id, turn), 8))
	id := fmt.Sprintf("turn-%d", turn)
	a, err := p.caller.sendWithRetries(ctx, vm, request{id: id, program: p.id, previous: p.previous, path: chatPath, body: chatBody(p.messages, turn%2 == 0), timeout: p.timeout})
	if err != nil {
		return fmt.Errorf("program %s turn %d: %w", p.id, turn, err)
	}
	p.messages = append(p.messages, engine.NewMessage("assistant", a.text))
	p.previous, p.owner = id, a.owner
	return nil
}

// sendBooking sends the booking; a problem with outcome unknown is no error.
func (p *program) sendBooking(ctx context.Context, vm int) error {
	a, err := p.caller.sendWithRetries(ctx, vm, p.bookingRequest())
	var problem *chestnutcleat.Problem
	if errors.As(err, &problem) && problem.Outcome == chestnutcleat.Unknown {
		p.bookingUnknown = true
		return nil
	}
	if err != nil {
		return fmt.Errorf("program %s booking: %w", p.id, err)
	}
	p.bookingAnswer = a.text
	return nil
}

func (p *program) bookingRequest() request {
	return request{id: "booking", program: p.id, previous: "turn-2", path: bookPath, body: `{"seat":1}`, timeout: p.timeout}
}

// run makes all calls of the program, each turn through the next VM.
func (p *program) run(ctx context.Context) error {
	for turn := 1; turn <= 4; turn++ {
		if err := p.sendTurn(ctx, p.firstVM+turn, turn); err != nil {
			return err
		}
		if turn != 2 {
			continue
		}
		if err := p.sendBooking(ctx, p.firstVM); err != nil {
			return err
		}
	}
	return nil
}
