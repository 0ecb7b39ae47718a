package mirror

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
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

// Snapshot holds all objects of a kind at one version, or the changes since an earlier version.
type Snapshot struct {
	Version chestnutcleat.Version `json:"version"`
	// Since is the version after which the changes were made; zero means that Objects is complete.
	Since   chestnutcleat.Version        `json:"since,omitempty"`
	Objects []chestnutcleat.StoredObject `json:"objects"`
	// Retained names the objects that the platform lost and that may come back.
	Retained []string `json:"lapsed,omitempty"`
}

// Mirror replicates the objects of one kind.
type Mirror struct {
	Store chestnutcleat.ObjectStore
	Kind  chestnutcleat.ObjectKind
	// OnChange is called after each change, one call at a time; nil ignores changes.
	OnChange func(Snapshot)
	// OnPanic receives the panics of OnChange; nil ignores them.
	OnPanic func(error)
	// RetainAfterOutage keeps objects that vanished during a platform outage until outageRetention after the platform's return.
	RetainAfterOutage bool
	// OnDisconnect and OnReconnect report changes of the connection to the platform; nil ignores them.
	OnDisconnect func(error)
	OnReconnect  func()
	Rand         *rand.Rand
	// ShouldWatch reports whether this VM watches the platform; if not, it merges snapshots of other VMs. Nil means always.
	ShouldWatch func() bool
	// ShouldPoll reports whether this VM lists the kind periodically while it doesn't watch; nil means never.
	ShouldPoll func() bool
	// ProbeInterval returns the time between checks whether the platform is back, on a VM that doesn't watch and whose last
	// call failed.
	ProbeInterval func() time.Duration

	mu      sync.Mutex
	objects map[string]chestnutcleat.StoredObject
	// retainedUntil holds the time until which an object that vanished during an outage is kept.
	retainedUntil map[string]time.Time
	// recentDeletions holds the deletions within the last massDeletionWindow.
	recentDeletions []deletion
	// tombstones holds the versions at which objects were removed; it is complete from version tombstonesSince on.
	tombstones      map[string]chestnutcleat.Version
	tombstonesSince chestnutcleat.Version
	// version is that of the last change seen, position the one from which the next watch continues.
	version, position chestnutcleat.Version
	unreachable       bool
	// lastFailure is the time of the last failed call.
	lastFailure time.Time
	// lastContact is the time of the last answer from the platform or another VM.
	lastContact time.Time
	// updateMu serializes updates together with their calls of OnReconnect and OnChange.
	updateMu sync.Mutex
}

// Version returns the version of the last change.
func (m *Mirror) Version() chestnutcleat.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Age returns the time since the platform or another VM last confirmed the state; it is negative before the first time.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastContact.IsZero() {
		return -1
	}
	return time.Since(m.lastContact)
}

// Unreachable reports whether the last call to the platform failed.
func (m *Mirror) Unreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

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
	list, version, err := m.Store.List(ctx, m.Kind, f)
	if err != nil {
		return err
	}
	if f == chestnutcleat.Stale {
		version = newestVersion(list)
	}
	m.replace(Snapshot{Version: version, Objects: list}, f)
	return nil
}

// newestVersion returns the version up to which a stale list has all changes: that of its newest object, as the version that comes
// with the list may be newer than its objects. A list without objects has the oldest version, which still counts as known.
func newestVersion(list []chestnutcleat.StoredObject) chestnutcleat.Version {
	newest := chestnutcleat.Version(1)
	for _, o := range list {
		newest = max(newest, o.Version)
	}
	return newest
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

// replace applies a complete list from the platform. A watch can continue only from a fresh one.
func (m *Mirror) replace(s Snapshot, f chestnutcleat.Freshness) {
	m.update(true, func() (changed, reconnected bool) {
		if s.Version < m.version {
			// The answer is older than the known state, for example because it was delayed.
			return false, false
		}
		reconnected, m.unreachable = m.unreachable, false
		if s.Version == m.position && !reconnected && len(m.retainedUntil) == 0 {
			return false, false
		}
		next := make(map[string]chestnutcleat.StoredObject, len(s.Objects))
		for _, o := range s.Objects {
			if !o.Deleted {
				next[o.Name] = o
			}
		}
		if f == chestnutcleat.Fresh {
			m.position = s.Version
		}
		if m.version > 0 && len(m.retainedUntil) == 0 && m.sameObjects(next) {
			// Only other kinds changed; a new version of this kind would make all VMs fetch it.
			return false, reconnected
		}
		missing := m.replaceObjects(next, nil, s.Version)
		m.retainMissing(missing, reconnected || isLossOfMany(missing, next))
		m.version = s.Version
		return true, reconnected
	})
}

// isOlder reports whether an object is older than the known one. An object whose version can't be read, which is zero, counts as newer, as
// what was known of it must no longer be used.
func isOlder(o, known chestnutcleat.StoredObject) bool {
	return o.Version > 0 && o.Version < known.Version
}

// sameObjects reports whether the given objects have the versions of the known ones.
func (m *Mirror) sameObjects(next map[string]chestnutcleat.StoredObject) bool {
	return maps.EqualFunc(m.objects, next, func(a, b chestnutcleat.StoredObject) bool { return a.Version == b.Version })
}

// replaceObjects replaces all objects, some of which may be retained ones, and returns the known objects that are missing.
func (m *Mirror) replaceObjects(next map[string]chestnutcleat.StoredObject, retained []string, v chestnutcleat.Version) (missing []chestnutcleat.StoredObject) {
	for name, o := range m.objects {
		if _, ok := next[name]; !ok {
			missing = append(missing, o)
			m.recordRemoval(name, v)
		}
	}
	for name := range next {
		if !slices.Contains(retained, name) {
			delete(m.retainedUntil, name)
		}
	}
	m.objects = next
	return missing
}

// apply applies the changes that a watch returned between two positions; contacted is false if no call was made.
func (m *Mirror) apply(list []chestnutcleat.StoredObject, from, position chestnutcleat.Version, contacted bool) {
	m.update(contacted, func() (changed, reconnected bool) {
		if m.position != from {
			// A complete list arrived in the meantime; the next watch continues from there.
			return false, false
		}
		if contacted {
			reconnected, m.unreachable = m.unreachable, false
		}
		for _, o := range list {
			if known, ok := m.objects[o.Name]; ok && isOlder(o, known) {
				continue
			}
			changed = true
			if o.Deleted && m.RetainAfterOutage && reconnected {
				m.retain(o.Name)
			} else if o.Deleted {
				m.remove(o.Name)
				m.recordRemoval(o.Name, position)
			} else {
				m.objects[o.Name] = o
				delete(m.retainedUntil, o.Name)
			}
		}
		if m.expireRetained() {
			changed = true
		}
		if len(list) > 0 {
			m.version = max(m.version, position)
		}
		m.position = max(m.position, position)
		return changed, reconnected
	})
}

// update runs f under the lock and reports the changes; contacted is set when the platform or another VM answered.
func (m *Mirror) update(contacted bool, f func() (changed, reconnected bool)) {
	m.updateMu.Lock()
	defer m.updateMu.Unlock()
	s, changed, reconnected := m.updateState(contacted, f)
	if reconnected && m.OnReconnect != nil {
		m.OnReconnect()
	}
	if !changed || m.OnChange == nil {
		return
	}
	if err := guard.Call(func() { m.OnChange(s) }); err != nil && m.OnPanic != nil {
		m.OnPanic(err)
	}
}

// updateState runs f under the lock. It returns the results of f, and a snapshot of all objects if they changed.
func (m *Mirror) updateState(contacted bool, f func() (changed, reconnected bool)) (s Snapshot, changed, reconnected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = map[string]chestnutcleat.StoredObject{}
	}
	changed, reconnected = f()
	if m.tombstonesSince == 0 {
		m.tombstonesSince = m.version
	}
	if len(m.tombstones) > maxTombstones {
		m.tombstones, m.tombstonesSince = nil, m.version
	}
	if contacted {
		m.lastContact = time.Now()
	}
	if changed {
		s = m.snapshot(0)
	}
	return s, changed, reconnected
}
