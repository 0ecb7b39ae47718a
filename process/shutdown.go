package process

import (
	"context"
	"fmt"

	"chestnutcleat.example/chestnutcleat/event"
)

// shutdown waits for Stop, then ends the process gracefully: no new programs, requests in progress finish, slots move.
// The listeners stay open until the slots have moved, because callers with an older list still come here; that for other
// VMs stays open until the end.
func (p *Process) shutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.close()
		return nil
	case <-p.Stop:
	case <-p.node.Drained():
	}
	p.Observer.Emit(event.Stopping)
	grace, cancel := context.WithTimeout(ctx, p.Settings.Grace.Or(0))
	defer cancel()
	go p.announce(grace, true)
	// Slots move while requests still run here: their entry VM reaches the new owners like any other.
	p.handler.Retire()
	moved := p.node.Leave(grace)
	// The listener closes before the drain: a caller with an older list then goes to another VM, whereas Drain would
	// refuse its new programs.
	drained := p.callers.Shutdown(grace)
	if err := p.handler.Drain(grace); err != nil {
		drained = err
	}
	p.close()
	if drained != nil {
		p.Observer.Emit(event.Cut, "error", drained)
		return fmt.Errorf("graceful shutdown: %w", drained)
	}
	if moved != nil {
		p.Observer.Emit(event.NotMoved, "error", moved)
	}
	return nil
}

func (p *Process) close() {
	p.callers.Close()
	p.operators.Close()
	p.listeners.close()
}
