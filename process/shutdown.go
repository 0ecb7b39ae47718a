package process

import (
	"context"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/event"
)

// transitTime is how long after the listener's end calls still arrive on connections that were accepted before.
const transitTime = time.Second

// staleListTime is how long callers may connect with an outdated address list, with a second for what they have begun.
const staleListTime = caller.VMListMaxAge + time.Second

// shutdown waits for Stop, then ends the process gracefully: it accepts no new programs, lets requests in progress finish and
// moves slots to other VMs. The listener for callers stays open while callers with an outdated address list still connect here. The
// slots move meanwhile, which may take until the end of the grace period; the listener for other VMs stays open until then.
func (p *Process) shutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.close()
		return nil
	case <-p.Stop:
	case <-p.node.DrainRequested():
	}
	p.Observer.Emit(event.Stopping)
	started, graceTime := time.Now(), p.Settings.Grace.OrDefault(0)
	grace, cancel := context.WithTimeout(ctx, graceTime)
	defer cancel()
	go p.announce(grace, true)
	listen := accept.ListenTime(graceTime, p.staleLists)
	p.handler.StartShutdown(started.Add(listen+transitTime), started.Add(graceTime))
	moved := make(chan error, 1)
	// Slots may move while requests still run here, because their entry VM reaches the new owners like any other entry VM.
	go func() { moved <- p.handOver(grace) }()
	// Closing the listener resets connections that wait in its backlog, so callers first get the time to fetch the new address
	// list. It closes before the drain, so that a caller with an outdated list goes to another VM; Drain would refuse its new programs.
	if chestnutcleat.Sleep(ctx, listen) != nil {
		return p.abort()
	}
	drained := p.callers.Shutdown(grace)
	if err := p.handler.Drain(grace); err != nil {
		drained = err
	}
	handover := <-moved
	if ctx.Err() != nil {
		return p.abort()
	}
	p.close()
	if drained != nil {
		p.Observer.Emit(event.RequestsInterrupted, "error", drained)
		return fmt.Errorf("graceful shutdown: %w", drained)
	}
	if handover != nil {
		p.Observer.Emit(event.HandoverFailed, "error", handover)
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

func (p *Process) close() {
	p.callers.Close()
	p.operators.Close()
	p.listeners.close()
}
