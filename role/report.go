package role

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/guard"
)

const (
	// unreadReportInterval is the minimum time between two reports of unreadable datagrams, and of nameless objects of a kind.
	unreadReportInterval = 10 * time.Second
	// panicReportInterval is the minimum time between two reports of panics at the same place.
	panicReportInterval = time.Second
)

// reportPanic reports a recovered panic with its stack, at most one per place in panicReportInterval; other errors are ignored.
func (b *base) reportPanic(place string, err error) {
	var p *guard.Panic
	if !errors.As(err, &p) {
		return
	}
	if b.panicReports.allow(place, panicReportInterval) {
		b.Observer.Emit(event.Panicked, "at", place, "error", err, "stack", string(p.Stack))
	}
}

// guarded calls f and reports a panic.
func (b *base) guarded(place string, f func()) {
	if err := guard.Call(f); err != nil {
		b.reportPanic(place, err)
	}
}

// repeat calls f after each interval until ctx is done. A panic costs one call.
func (b *base) repeat(ctx context.Context, interval time.Duration, place string, f func()) error {
	for chestnutcleat.Sleep(ctx, interval) == nil {
		b.guarded(place, f)
	}
	return nil
}

// reportNameless reports an object whose name can't be read, at most one of a kind per unreadReportInterval.
func (b *base) reportNameless(k chestnutcleat.ObjectKind, reason string) {
	if b.namelessReports.allow(string(k), unreadReportInterval) {
		b.Observer.Emit(event.ObjectInvalid, "kind", k, "object", "", "error", reason)
	}
}

// reportUnreadDatagram counts an unreadable datagram and reports at most one per unreadReportInterval.
func (b *base) reportUnreadDatagram(err error) {
	b.Metrics.GetOrCreateCounter("datagrams_unread_total").Inc()
	b.reportPanic("datagram", err)
	if b.datagramReports.allow("", unreadReportInterval) {
		b.Observer.Emit(event.DatagramInvalid, "error", err)
	}
}
