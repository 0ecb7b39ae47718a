package mirror

import (
	"maps"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/guard"
)

// replace applies a complete list from the platform that was requested at the given time. A watch can continue only from a fresh one.
func (m *Mirror) replace(s Snapshot, f chestnutcleat.Freshness, requested time.Time) {
	m.update(true, func() (changed, reconnected bool) {
		if f == chestnutcleat.Fresh {
			m.confirm(requested)
		}
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
		missing := m.replaceObjects(next, s)
		m.retainMissing(missing, m.mayHaveLapsed(reconnected || listLacksMany(missing, next)))
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

// replaceObjects replaces all objects with next, which the snapshot s led to, and returns the known objects that are missing. The objects
// that s brings are no longer retained, unless it names them as retained ones.
func (m *Mirror) replaceObjects(next map[string]chestnutcleat.StoredObject, s Snapshot) (missing []chestnutcleat.StoredObject) {
	for name, o := range m.objects {
		if _, ok := next[name]; !ok {
			missing = append(missing, o)
			m.recordRemoval(name, s.Version)
		}
	}
	for _, o := range s.Objects {
		if !o.Deleted && !slices.Contains(s.Retained, o.Name) {
			delete(m.retainedUntil, o.Name)
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
			m.answers.note(time.Now(), m.minOutage())
		}
		for _, o := range list {
			if known, ok := m.objects[o.Name]; ok && isOlder(o, known) {
				continue
			}
			changed = true
			if o.Deleted && m.RetainAfterOutage && m.mayHaveLapsed(reconnected) {
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
