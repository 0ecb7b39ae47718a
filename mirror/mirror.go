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
	// watchWait is how long the platform holds a watch; a connection that goes silent is found by keep-alive probes.
	watchWait = 28 * time.Second
	// idleCheck is how often a VM that does not watch looks whether it should.
	idleCheck = 200 * time.Millisecond
	// minRetry and maxRetry bound the wait after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// spacing lets changes that come together share one call.
	spacing = 200 * time.Millisecond
	// relistTime is the time between two lists of a VM that has just started.
	relistTime = 500 * time.Millisecond
)

// Snapshot is all objects of a kind at one version, or the changes since another one.
type Snapshot struct {
	Version chestnutcleat.Version `json:"version"`
	// Since is the version that the objects are the changes since; zero for all objects.
	Since   chestnutcleat.Version  `json:"since,omitempty"`
	Objects []chestnutcleat.Stored `json:"objects"`
	// Lapsed names those of the objects that the platform lost and that may come back.
	Lapsed []string `json:"lapsed,omitempty"`
}

// Mirror keeps the objects of one kind.
type Mirror struct {
	Store chestnutcleat.ObjectStore
	Kind  chestnutcleat.ObjectKind
	// Changed runs after each change, one call at a time; nil ignores changes.
	Changed func(Snapshot)
	// Panicked receives what Changed panicked with; nil ignores it.
	Panicked func(error)
	// Lapses keeps objects that vanished while the platform was away until returnTime after its return.
	Lapses bool
	// Lost and Regained report the connection to the platform; nil ignores it.
	Lost     func(error)
	Regained func()
	Rand     *rand.Rand
	// Watches reports whether this VM watches the platform; one that does not takes over what others offer, and nil means
	// that it does.
	Watches func() bool
	// Relists reports whether this VM, which does not watch, lists the kind meanwhile; nil means that it does not.
	Relists func() bool
	// ProbePause is the time between looks whether the platform is back, of a VM that does not watch and did not reach it.
	ProbePause func() time.Duration

	mu      sync.Mutex
	objects map[string]chestnutcleat.Stored
	// lapsed holds until when objects that vanished during an outage stay.
	lapsed map[string]time.Time
	// dropped has the objects that went within massTime.
	dropped []dropped
	// removed has the versions at which objects were removed, complete since the version first.
	removed map[string]chestnutcleat.Version
	first   chestnutcleat.Version
	// version is that of the last change seen, position where the next watch goes on.
	version, position chestnutcleat.Version
	away              bool
	// probed is when a call last failed.
	probed time.Time
	// told is when the platform or another VM last answered.
	told   time.Time
	notify sync.Mutex
}

// Version returns the version of the last change.
func (m *Mirror) Version() chestnutcleat.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Age returns how long ago the platform, or another VM, last told this VM the present state; it is negative before the first time.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.told.IsZero() {
		return -1
	}
	return time.Since(m.told)
}

// Away reports whether the last call to the platform failed.
func (m *Mirror) Away() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

// Run follows the platform until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	retry := minRetry
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			retry = minRetry
			_ = chestnutcleat.Sleep(ctx, spacing)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		m.lost(err)
		_ = chestnutcleat.Sleep(ctx, retry/2+time.Duration(m.Rand.Int64N(int64(retry))))
		retry = min(2*retry, maxRetry)
	}
	return nil
}

// step makes one call to the platform.
func (m *Mirror) step(ctx context.Context) error {
	m.mu.Lock()
	position, wait := m.position, watchWait
	if m.away {
		// A short first watch tells soon that the platform is back.
		wait = 0
	}
	if next, ok := m.nextLapse(); ok {
		wait = min(wait, max(0, time.Until(next)))
	}
	m.mu.Unlock()
	if position > 0 && m.Watches != nil && !m.Watches() && !m.probes() {
		return m.rest(ctx, position)
	}
	if position == 0 {
		return m.list(ctx, m.freshness())
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

// rest passes the time of a VM that does not watch.
func (m *Mirror) rest(ctx context.Context, position chestnutcleat.Version) error {
	m.apply(nil, position, position, false)
	if m.Relists == nil || !m.Relists() {
		return chestnutcleat.Sleep(ctx, idleCheck)
	}
	if err := chestnutcleat.Sleep(ctx, relistTime); err != nil {
		return err
	}
	return m.list(ctx, chestnutcleat.Stale)
}

// freshness is that of the list to begin with. What a stale one lacks, the watch or another VM brings, but a watch that lost its
// history can't go on from before what is known.
func (m *Mirror) freshness() chestnutcleat.Freshness {
	if m.Version() == 0 {
		return chestnutcleat.Stale
	}
	return chestnutcleat.Fresh
}

// probes reports whether it is time to look whether the platform is back.
func (m *Mirror) probes() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away && m.ProbePause != nil && time.Since(m.probed) > m.ProbePause()
}

// Refresh takes over the platform's list, for the case that a watch waits in vain.
func (m *Mirror) Refresh(ctx context.Context) error { return m.list(ctx, chestnutcleat.Fresh) }

func (m *Mirror) list(ctx context.Context, f chestnutcleat.Freshness) error {
	list, version, err := m.Store.List(ctx, m.Kind, f)
	if err != nil {
		return err
	}
	m.replace(Snapshot{Version: version, Objects: list})
	return nil
}

func (m *Mirror) lost(err error) {
	m.mu.Lock()
	was := m.away
	m.away, m.probed = true, time.Now()
	m.mu.Unlock()
	if !was && m.Lost != nil {
		m.Lost(err)
	}
}

// replace takes over a whole list from the platform.
func (m *Mirror) replace(s Snapshot) {
	m.update(true, func() (changed, regained bool) {
		if s.Version < m.version {
			// An answer that is older than what is known, such as one that was delayed.
			return false, false
		}
		regained, m.away = m.away, false
		if s.Version == m.position && !regained && len(m.lapsed) == 0 {
			return false, false
		}
		next := make(map[string]chestnutcleat.Stored, len(s.Objects))
		for _, o := range s.Objects {
			if !o.Deleted {
				next[o.Name] = o
			}
		}
		m.position = s.Version
		if m.version > 0 && len(m.lapsed) == 0 && m.holds(next) {
			// Other kinds changed; a new version of this one would make all VMs ask for it.
			return false, regained
		}
		missing := m.replaceObjects(next, nil, s.Version)
		m.keepLapsed(missing, regained || isMass(len(missing), len(next)))
		m.version = s.Version
		return true, regained
	})
}

// holds reports whether the objects are the known ones.
func (m *Mirror) holds(next map[string]chestnutcleat.Stored) bool {
	return maps.EqualFunc(m.objects, next, func(a, b chestnutcleat.Stored) bool { return a.Version == b.Version })
}

// replaceObjects takes over a whole list, of which some may have lapsed, and returns the objects that it lacks.
func (m *Mirror) replaceObjects(next map[string]chestnutcleat.Stored, lapsed []string, v chestnutcleat.Version) (missing []chestnutcleat.Stored) {
	for name, o := range m.objects {
		if _, ok := next[name]; !ok {
			missing = append(missing, o)
			m.note(name, v)
		}
	}
	for name := range next {
		if !slices.Contains(lapsed, name) {
			delete(m.lapsed, name)
		}
	}
	m.objects = next
	return missing
}

// apply takes over the changes that a watch from one position to another brought; told is not set without a call.
func (m *Mirror) apply(list []chestnutcleat.Stored, from, position chestnutcleat.Version, told bool) {
	m.update(told, func() (changed, regained bool) {
		if m.position != from {
			// A whole list came meanwhile; the next watch goes on from there.
			return false, false
		}
		if told {
			regained, m.away = m.away, false
		}
		for _, o := range list {
			if known, ok := m.objects[o.Name]; ok && o.Version < known.Version {
				continue
			}
			changed = true
			if o.Deleted && m.Lapses && regained {
				m.lapse(o.Name)
			} else if o.Deleted {
				m.remove(o.Name)
				m.note(o.Name, position)
			} else {
				m.objects[o.Name] = o
				delete(m.lapsed, o.Name)
			}
		}
		if m.dropLapsed() {
			changed = true
		}
		if len(list) > 0 {
			m.version = max(m.version, position)
		}
		m.position = max(m.position, position)
		return changed, regained
	})
}

// update runs f under the lock and reports what it changed; told is set when the platform or another VM answered.
func (m *Mirror) update(told bool, f func() (changed, regained bool)) {
	m.notify.Lock()
	defer m.notify.Unlock()
	m.mu.Lock()
	if m.objects == nil {
		m.objects = map[string]chestnutcleat.Stored{}
	}
	changed, regained := f()
	if m.first == 0 {
		m.first = m.version
	}
	if len(m.removed) > maxRemoved {
		m.removed, m.first = nil, m.version
	}
	if told {
		m.told = time.Now()
	}
	var s Snapshot
	if changed {
		s = m.snapshot(0)
	}
	m.mu.Unlock()
	if regained && m.Regained != nil {
		m.Regained()
	}
	if !changed || m.Changed == nil {
		return
	}
	if err := guard.Call(func() { m.Changed(s) }); err != nil && m.Panicked != nil {
		m.Panicked(err)
	}
}
