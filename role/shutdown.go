package role

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// drainTime is kept of the grace for the requests that are in progress when the listener closes.
	drainTime = 3500 * time.Millisecond
	// exitTime is kept of the grace for the end of the process.
	exitTime = time.Second
)

// shutdown waits for the order to stop, lets callers go to other VMs and ends the process.
func (e *Entry) shutdown(ctx context.Context) {
	select {
	case <-ctx.Done():
		e.close()
		return
	case <-e.Stop:
	}
	begun := time.Now()
	grace := time.Duration(e.settings().Grace * float64(time.Second))
	e.Observer.Emit(event.Stopping, "requests", e.handler.Running(), "grace", grace)
	e.leaving.Store(true)
	e.handler.Leave()
	e.fleet.Soon()
	// Callers that hold an older list still connect here for a while.
	if chestnutcleat.Sleep(ctx, grace-drainTime) != nil {
		e.close()
		return
	}
	drain, cancel := context.WithDeadline(ctx, begun.Add(grace-exitTime))
	defer cancel()
	if err := e.servers[0].Finish(drain); err != nil {
		e.Observer.Emit(event.Cut, "requests", e.handler.Running(), "error", err)
	}
	e.close()
}

func (e *Entry) close() {
	for _, s := range e.servers {
		if err := s.Close(); err != nil {
			e.Observer.Emit(event.Cut, "error", err)
		}
	}
}
