package process

import (
	"context"
	"fmt"

	"chestnutcleat.example/chestnutcleat/event"
)

// shutdown waits for Stop, then ends the process gracefully: no new programs, requests in progress finish, slots move.
// The listeners stay open until the end, because other VMs and callers with an older list still come here.
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
	moved := p.node.Leave(grace)
	drained := p.handler.Drain(grace)
	if err := p.callers.Shutdown(grace); err != nil {
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
