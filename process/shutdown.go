package process

import (
	"context"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/event"
)

// listMargin is the time for a caller's request that began with an older list to arrive.
const listMargin = time.Second

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
	begun := time.Now()
	grace, cancel := context.WithTimeout(ctx, p.Settings.Grace.Or(0))
	defer cancel()
	go p.announce(grace, true)
	// Slots move while requests still run here: their entry VM reaches the new owners like any other.
	p.handler.Retire()
	moved := p.node.Leave(grace)
	// A connection that waits in the listener's backlog when it closes is cut, so callers first get the time to learn the newer list.
	p.linger(grace, begun)
	// The listener closes before the drain: a caller with an older list then goes to another VM, whereas Drain would
	// refuse its new programs.
	if ctx.Err() != nil {
		return p.interrupted()
	}
	drained := p.callers.Finish(grace)
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

// interrupted ends the process at once and reports the requests that this cuts.
func (p *Process) interrupted() error {
	n := p.handler.InProgress()
	p.close()
	p.Observer.Emit(event.Cut, "requests", n)
	return fmt.Errorf("graceful shutdown was interrupted with %d requests in progress", n)
}

// linger serves on until the lists that callers keep no longer name this VM.
func (p *Process) linger(ctx context.Context, begun time.Time) {
	t := time.NewTimer(time.Until(begun.Add(caller.ListAge + listMargin)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Process) close() {
	p.callers.Close()
	p.operators.Close()
	p.listeners.close()
}
