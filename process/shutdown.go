package process

import (
	"context"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/event"
)

// staleListMargin is the time allowed for requests that callers started with an outdated address list.
const staleListMargin = time.Second

// shutdown waits for Stop, then ends the process gracefully: it accepts no new programs, lets requests in progress finish and
// moves slots to other VMs. The listeners stay open until the slots have moved, because callers with an outdated address list
// still connect here; the listener for other VMs stays open until the end.
func (p *Process) shutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.close()
		return nil
	case <-p.Stop:
	case <-p.node.DrainRequested():
	}
	p.Observer.Emit(event.Stopping)
	started := time.Now()
	grace, cancel := context.WithTimeout(ctx, p.Settings.Grace.OrDefault(0))
	defer cancel()
	go p.announce(grace, true)
	// Slots may move while requests still run here, because their entry VM reaches the new owners like any other entry VM.
	p.handler.StartShutdown(started.Add(caller.VMListMaxAge+staleListMargin), started.Add(p.Settings.Grace.OrDefault(0)))
	moved := p.node.Leave(grace)
	// Closing the listener resets connections that wait in its backlog, so callers first get the time to fetch the new address
	// list.
	p.waitForStaleLists(grace, started)
	// The listener closes before the drain, so that a caller with an outdated list goes to another VM; Drain would refuse its
	// new programs.
	if ctx.Err() != nil {
		return p.abort()
	}
	drained := p.callers.Shutdown(grace)
	if err := p.handler.Drain(grace); err != nil {
		drained = err
	}
	p.close()
	if drained != nil {
		p.Observer.Emit(event.RequestsInterrupted, "error", drained)
		return fmt.Errorf("graceful shutdown: %w", drained)
	}
	if moved != nil {
		p.Observer.Emit(event.HandoverFailed, "error", moved)
	}
	return nil
}

// abort ends the process immediately and reports the number of requests that are cut off.
func (p *Process) abort() error {
	n := p.handler.InProgress()
	p.close()
	p.Observer.Emit(event.RequestsInterrupted, "requests", n)
	return fmt.Errorf("graceful shutdown was interrupted with %d requests in progress", n)
}

// waitForStaleLists waits until the address lists that callers cache no longer contain this VM.
func (p *Process) waitForStaleLists(ctx context.Context, started time.Time) {
	t := time.NewTimer(time.Until(started.Add(caller.VMListMaxAge + staleListMargin)))
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
