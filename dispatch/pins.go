package dispatch

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// maxPin is the longest lifetime of a pin that is not renewed.
const maxPin = 5 * time.Minute

// Pin asks the engine to keep a program's prefix of n tokens in its cache for at most d.
func (s *Scheduler) Pin(id chestnutcleat.UpstreamID, c chestnutcleat.CustomerID, p chestnutcleat.ProgramID, n chestnutcleat.Tokens, d time.Duration) {
	u, ok := s.upstream(id)
	if !ok || u.engine == nil || d <= 0 {
		return
	}
	name := chestnutcleat.ProgramKey(c, p).ID
	pin := chestnutcleat.Pin{Program: name, Tokens: n, Expiry: time.Now().Add(min(d, maxPin))}
	u.pins[name] = pin
	s.sendPin(u, pin)
}

// End releases the pins of a program that ended.
func (s *Scheduler) End(r chestnutcleat.EndRequest) {
	name := chestnutcleat.ProgramKey(r.Customer, r.Program).ID
	for _, u := range s.upstreams {
		if pin, ok := u.pins[name]; ok {
			s.unpin(u, pin)
		}
	}
}

func (s *Scheduler) unpin(u *upstream, pin chestnutcleat.Pin) {
	delete(u.pins, pin.Program)
	pin.Expiry = time.Time{}
	s.emit(event.PinReleased, "upstream", u.config.ID, "program", pin.Program)
	s.sendPin(u, pin)
}

// sendPin sends a pin without retries; the next reconciliation corrects a failure.
func (s *Scheduler) sendPin(u *upstream, pin chestnutcleat.Pin) {
	work := func(ctx context.Context) (struct{}, error) { return struct{}{}, u.engine.Pin(ctx, pin) }
	chestnutcleat.Async(s.Loop, engineTimeout, work, func(struct{}, error) {})
}

// reconcilePins forgets expired pins and releases the engine's pins that this owner does not know or that outlive
// its own.
func (s *Scheduler) reconcilePins(u *upstream, list []chestnutcleat.Pin, now time.Time) {
	for name, pin := range u.pins {
		if !now.Before(pin.Expiry) {
			delete(u.pins, name)
		}
	}
	for _, pin := range list {
		if own, ok := u.pins[pin.Program]; !ok || pin.Expiry.After(own.Expiry.Add(time.Second)) {
			s.unpin(u, pin)
		}
	}
}
