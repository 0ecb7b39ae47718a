package mirror

import (
	"maps"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// maxRemoved bounds the removed objects that are remembered for other VMs.
const maxRemoved = 1024

// snapshot returns the objects that changed since a version, all since zero.
func (m *Mirror) snapshot(since chestnutcleat.Version) Snapshot {
	s := Snapshot{Version: m.version, Since: since, Objects: []chestnutcleat.Stored{}}
	for _, o := range m.objects {
		if since == 0 || o.Version > since {
			s.Objects = append(s.Objects, o)
		}
	}
	slices.SortFunc(s.Objects, func(a, b chestnutcleat.Stored) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// note remembers that an object was removed.
func (m *Mirror) note(name string, v chestnutcleat.Version) {
	if m.removed == nil {
		m.removed = map[string]chestnutcleat.Version{}
	}
	m.removed[name] = v
}

// Offered returns what another VM, which has all up to a version, may take over.
func (m *Mirror) Offered(since chestnutcleat.Version) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since < m.first {
		since = 0
	}
	s := m.snapshot(since)
	s.Lapsed = slices.Sorted(maps.Keys(m.lapsed))
	if since == 0 {
		return s
	}
	for name, v := range m.removed {
		if _, back := m.objects[name]; v > since && !back {
			s.Objects = append(s.Objects, chestnutcleat.Stored{Name: name, Version: v, Deleted: true})
		}
	}
	return s
}

// Offer takes over the snapshot of another VM if it is newer.
func (m *Mirror) Offer(s Snapshot) {
	m.update(true, func() (changed, regained bool) {
		if s.Version <= m.version || s.Since > m.version {
			return false, false
		}
		next := map[string]chestnutcleat.Stored{}
		if s.Since > 0 {
			next = maps.Clone(m.objects)
		}
		for _, o := range s.Objects {
			if known, ok := next[o.Name]; ok && o.Version < known.Version {
				continue
			}
			if o.Deleted {
				delete(next, o.Name)
			} else {
				next[o.Name] = o
			}
		}
		missing := m.replaceObjects(next, s.Lapsed, s.Version)
		m.keepLapsed(missing, isMass(len(missing), len(next)))
		if m.Lapses {
			for _, name := range s.Lapsed {
				m.lapse(name)
			}
		}
		m.version = s.Version
		m.position = max(m.position, s.Version)
		return true, false
	})
}
