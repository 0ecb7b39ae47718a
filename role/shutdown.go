package role

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/accept"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// staleListFactor is how many times as long as meant some callers keep a list of addresses.
	staleListFactor = 3
	// announceTime is the time in which the other VMs learn that this one shuts down and stop naming it to callers.
	announceTime = 300 * time.Millisecond
	// maxExitReserve bounds the part of the grace period reserved for the exit of the process, an exitDivisor-th of it.
	maxExitReserve = time.Second
	exitDivisor    = 8
	// maxAnswerTime bounds the time in which the last requests get an error in place of their answer.
	maxAnswerTime = 200 * time.Millisecond
	// flushTimeout bounds the time for the settlements of the last requests.
	flushTimeout = 300 * time.Millisecond
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
	listen, total := shutdownTimes(grace, e.addressTTL())
	end := started.Add(total)
	e.leaving.Store(true)
	e.handler.Drain(started.Add(listen), end)
	e.fleet.SendSoon()
	if chestnutcleat.Sleep(ctx, listen) != nil {
		e.close()
		return
	}
	defer time.AfterFunc(time.Until(end), e.interrupt).Stop()
	drain, cancel := context.WithDeadline(ctx, end.Add(answerTime(grace)))
	defer cancel()
	if err := e.servers[0].Shutdown(drain); err != nil {
		e.Observer.Emit(event.RequestsInterrupted, "error", err)
	}
	e.close()
	e.flushRecords(ctx)
}

// interrupt ends the requests that outlast the shutdown, while there is time to answer them.
func (e *Entry) interrupt() {
	if n := e.handler.Interrupt(maxInterruptedReported); n > 0 {
		e.Observer.Emit(event.RequestsInterrupted, "requests", n)
	}
}

// flushRecords waits until the records of the last requests are written, at most flushTimeout.
func (e *Entry) flushRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if left := e.ledger.Flush(ctx); left > 0 {
		e.Observer.Emit(event.RecordLost, "records", left, "error", "the process ends")
	}
}

// shutdownTimes returns how long a VM listens after SIGTERM, as callers with an older list still connect for a while, and how long
// requests may take after it.
func shutdownTimes(grace, addressTTL time.Duration) (listen, total time.Duration) {
	return accept.ListenTime(grace, announceTime+staleListFactor*addressTTL), grace - exitReserve(grace)
}

// exitReserve returns the part of a grace period that is reserved for the exit of the process.
func exitReserve(grace time.Duration) time.Duration { return min(maxExitReserve, grace/exitDivisor) }

// answerTime returns the part of the exit's time in which interrupted requests are answered.
func answerTime(grace time.Duration) time.Duration { return min(maxAnswerTime, exitReserve(grace)/2) }

func (e *Entry) close() {
	for _, s := range e.servers {
		if err := s.Close(); err != nil {
			e.Observer.Emit(event.RequestsInterrupted, "error", err)
		}
	}
}
