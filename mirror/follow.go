package mirror

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/guard"
)

const (
	// watchTimeout is how long the platform holds a watch open; keep-alive probes detect a connection that went silent.
	watchTimeout = 28 * time.Second
	// idleInterval is the time between a non-watching VM's checks whether it should watch.
	idleInterval = 200 * time.Millisecond
	// minRetry and maxRetry bound the backoff after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// callSpacing is the pause after each call, so that changes close together share one call.
	callSpacing = 200 * time.Millisecond
	// pollInterval is the time between lists on a VM that has just started.
	pollInterval = 500 * time.Millisecond
)

// Run replicates the platform's objects until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	retry := minRetry
	for ctx.Err() == nil {
		err := m.guarded(func() error { return m.step(ctx) })
		if err == nil {
			retry = minRetry
			_ = chestnutcleat.Sleep(ctx, callSpacing)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		m.markUnreachable(err)
		_ = chestnutcleat.Sleep(ctx, retry/2+time.Duration(m.Rand.Int64N(int64(retry))))
		retry = min(2*retry, maxRetry)
	}
	return nil
}

// guarded calls f. It reports a panic and returns it as an error, so that a panic over one answer loses only this answer.
func (m *Mirror) guarded(f func() error) error {
	var err error
	if p := guard.Call(func() { err = f() }); p != nil {
		if m.OnPanic != nil {
			m.OnPanic(p)
		}
		return p
	}
	return err
}

// step makes one call to the platform, or waits if this VM doesn't watch.
func (m *Mirror) step(ctx context.Context) error {
	m.mu.Lock()
	position, wait := m.position, watchTimeout
	if m.unreachable {
		// A first watch without a wait detects early that the platform is back.
		wait = 0
	}
	if next, ok := m.nextExpiry(); ok {
		wait = min(wait, max(0, time.Until(next)))
	}
	m.mu.Unlock()
	known, watches := m.Version() > 0, m.ShouldWatch == nil || m.ShouldWatch()
	switch {
	case known && !watches && !m.probeDue():
		return m.idle(ctx, position)
	case position == 0 && (known || watches):
		// Only a fresh list tells where a watch continues.
		return m.list(ctx, chestnutcleat.Fresh)
	case position == 0:
		return m.list(ctx, chestnutcleat.Stale)
	}
	list, version, err := m.Store.Watch(ctx, m.Kind, position, wait)
	if errors.Is(err, chestnutcleat.ErrCompacted) {
		m.mu.Lock()
		m.position = 0
		m.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	m.apply(list, position, version, true)
	return nil
}

// idle waits on a VM that doesn't watch, and lists the kind if it should poll.
func (m *Mirror) idle(ctx context.Context, position chestnutcleat.Version) error {
	m.apply(nil, position, position, false)
	if m.ShouldPoll == nil || !m.ShouldPoll() {
		return chestnutcleat.Sleep(ctx, idleInterval)
	}
	if err := chestnutcleat.Sleep(ctx, pollInterval); err != nil {
		return err
	}
	return m.list(ctx, chestnutcleat.Stale)
}

// probeDue reports whether it is time to check whether the platform is back.
func (m *Mirror) probeDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable && m.ProbeInterval != nil && time.Since(m.lastFailure) > m.ProbeInterval()
}

// Refresh fetches the platform's list, in case a watch misses a change.
func (m *Mirror) Refresh(ctx context.Context) error {
	return m.guarded(func() error { return m.list(ctx, chestnutcleat.Fresh) })
}

func (m *Mirror) list(ctx context.Context, f chestnutcleat.Freshness) error {
	started := time.Now()
	list, version, err := m.Store.List(ctx, m.Kind, f)
	if err != nil {
		return err
	}
	if f == chestnutcleat.Stale {
		version = min(version, chestnutcleat.NewestVersion(list))
	}
	m.replace(Snapshot{Version: version, Objects: list}, f, started)
	return nil
}

func (m *Mirror) markUnreachable(err error) {
	m.mu.Lock()
	wasUnreachable := m.unreachable
	m.unreachable, m.lastFailure = true, time.Now()
	m.mu.Unlock()
	if !wasUnreachable && m.OnDisconnect != nil {
		m.OnDisconnect(err)
	}
}
