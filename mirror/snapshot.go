package mirror

import (
	"maps"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// maxTombstones bounds the number of removed objects that are kept for deltas to other VMs.
const maxTombstones = 1024

// Snapshot holds all objects of a kind at one version, or the changes since an earlier version.
type Snapshot struct {
	Version chestnutcleat.Version `json:"version"`
	// Since is the version after which the changes were made; zero means that Objects is complete.
	Since   chestnutcleat.Version        `json:"since,omitempty"`
	Objects []chestnutcleat.StoredObject `json:"objects"`
	// Retained names the objects that the platform lost and that may come back.
	Retained []string `json:"lapsed,omitempty"`
}

// snapshot returns the objects that changed since a version, or all objects for version zero.
func (m *Mirror) snapshot(since chestnutcleat.Version) Snapshot {
	s := Snapshot{Version: m.version, Since: since, Objects: []chestnutcleat.StoredObject{}}
	for _, o := range m.objects {
		// An object whose version can't be read may have changed.
		if since == 0 || o.Version > since || o.Version == 0 {
			s.Objects = append(s.Objects, o)
		}
	}
	slices.SortFunc(s.Objects, func(a, b chestnutcleat.StoredObject) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// recordRemoval adds a tombstone for a removed object.
func (m *Mirror) recordRemoval(name string, v chestnutcleat.Version) {
	if m.tombstones == nil {
		m.tombstones = map[string]chestnutcleat.Version{}
	}
	m.tombstones[name] = v
}

// SnapshotSince returns the changes for a VM that has everything up to a version, or all objects if the removals since then are
// not known.
func (m *Mirror) SnapshotSince(since chestnutcleat.Version) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since < m.tombstonesSince {
		since = 0
	}
	s := m.snapshot(since)
	s.Retained = slices.Sorted(maps.Keys(m.retainedUntil))
	if since == 0 {
		return s
	}
	for name, v := range m.tombstones {
		if _, back := m.objects[name]; v > since && !back {
			s.Objects = append(s.Objects, chestnutcleat.StoredObject{Name: name, Version: v, Deleted: true})
		}
	}
	return s
}

// Merge applies a snapshot of another VM if it is newer.
func (m *Mirror) Merge(s Snapshot) {
	m.update(true, func() (changed, reconnected bool) {
		if s.Version <= m.version || s.Since > m.version {
			return false, false
		}
		next := map[string]chestnutcleat.StoredObject{}
		if s.Since > 0 {
			next = maps.Clone(m.objects)
		}
		for _, o := range s.Objects {
			if known, ok := next[o.Name]; ok && isOlder(o, known) {
				continue
			}
			if o.Deleted {
				delete(next, o.Name)
			} else {
				next[o.Name] = o
			}
		}
		missing := m.replaceObjects(next, s)
		m.retainMissing(missing, m.mayHaveLapsed(listLacksMany(missing, next)))
		if m.RetainAfterOutage {
			for _, name := range s.Retained {
				m.retain(name)
			}
		}
		m.version = s.Version
		m.position = max(m.position, s.Version)
		return true, false
	})
}
