package role

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// drainReserve is the part of the grace period reserved for requests that are in progress when the listener closes.
	drainReserve = 3500 * time.Millisecond
	// announceTime is the time in which the other VMs learn that this one shuts down and stop naming it to callers.
	announceTime = 500 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the exit of the process.
	exitReserve = time.Second
	// maxInterruptedReported is the number of interrupted requests that are reported one by one.
	maxInterruptedReported = 50
)

// shutdown waits for Stop, gives callers the time to move to other VMs, drains and closes the servers.
func (e *Entry) shutdown(ctx context.Context) {
	select {
	case <-ctx.Done():
		e.close()
		return
	case <-e.Stop:
	}
	started := time.Now()
	grace := time.Duration(e.settings().Grace * float64(time.Second))
	e.Observer.Emit(event.Stopping, "requests", e.handler.InFlight(), "grace", grace)
	end := started.Add(grace - exitReserve)
	// Callers with an older list still connect here for a while.
	listen := min(announceTime+e.addressTTL(), grace-drainReserve)
	e.leaving.Store(true)
	e.handler.Drain(started.Add(listen), end)
	e.fleet.SendSoon()
	if chestnutcleat.Sleep(ctx, listen) != nil {
		e.close()
		return
	}
	drain, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := e.servers[0].Shutdown(drain); err != nil {
		// Closing the connections ends the requests, so they are reported before.
		e.Observer.Emit(event.RequestsInterrupted, "requests", e.handler.ReportInterrupted(maxInterruptedReported), "error", err)
	}
	e.close()
}

func (e *Entry) close() {
	for _, s := range e.servers {
		if err := s.Close(); err != nil {
			e.Observer.Emit(event.RequestsInterrupted, "error", err)
		}
	}
}
