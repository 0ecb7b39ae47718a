package mirror

import (
	"iter"
	"maps"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// outageRetention is how long objects that vanished during an outage are kept after the platform's return, so that they can
	// come back.
	outageRetention = 2500 * time.Millisecond
	// A VM that did not notice an outage infers it if one object in massDeletionDivisor is deleted within massDeletionWindow.
	massDeletionWindow  = time.Second
	massDeletionDivisor = 3
	// minMassDeletion is the smallest number of deletions that count as a mass deletion.
	minMassDeletion = 2
)

// deletion records an object that was removed and when.
type deletion struct {
	object chestnutcleat.StoredObject
	at     time.Time
}

func (m *Mirror) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, t := range m.retainedUntil {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next, !next.IsZero()
}

// retainMissing keeps the objects that a complete list lacks if they may come back: all of them after an outage, otherwise
// those whose retention has not expired.
func (m *Mirror) retainMissing(missing []chestnutcleat.StoredObject, outage bool) {
	for _, o := range missing {
		until, retained := m.retainedUntil[o.Name]
		if m.RetainAfterOutage && (outage && !retained || retained && time.Now().Before(until)) {
			m.objects[o.Name] = o
			m.retain(o.Name)
		} else {
			delete(m.retainedUntil, o.Name)
		}
	}
}

// listLacksMany reports whether a complete list lacks so many of the known objects that it is a mass deletion.
func listLacksMany(missing []chestnutcleat.StoredObject, next map[string]chestnutcleat.StoredObject) bool {
	return isMassDeletion(countReadable(slices.Values(missing)), countReadable(maps.Values(next)))
}

// isMassDeletion reports whether so many objects were deleted at once that the platform must have lost them in an outage that
// this VM did not notice.
func isMassDeletion(deleted, remaining int) bool {
	return deleted >= minMassDeletion && deleted*massDeletionDivisor >= deleted+remaining
}

// countReadable returns how many objects can be read. Only these count in mass deletions: many unreadable ones, left by another writer,
// would hide a mass deletion, and their removal would be taken for one.
func countReadable(objects iter.Seq[chestnutcleat.StoredObject]) int {
	n := 0
	for o := range objects {
		if o.Unreadable == "" {
			n++
		}
	}
	return n
}

// retain begins the retention of a known object, unless it is retained already.
func (m *Mirror) retain(name string) {
	if _, known := m.objects[name]; !known {
		return
	}
	if m.retainedUntil == nil {
		m.retainedUntil = map[string]time.Time{}
	}
	if _, ok := m.retainedUntil[name]; !ok {
		m.retainedUntil[name] = time.Now().Add(outageRetention)
	}
}

// remove deletes an object. A mass deletion means that the platform lost the objects while this VM waited for a watch, so they
// are retained like those that vanish in a known outage.
func (m *Mirror) remove(name string) {
	now := time.Now()
	o, ok := m.objects[name]
	delete(m.objects, name)
	delete(m.retainedUntil, name)
	if !ok || !m.RetainAfterOutage || o.Unreadable != "" {
		return
	}
	m.recentDeletions = slices.DeleteFunc(m.recentDeletions, func(d deletion) bool { return now.Sub(d.at) > massDeletionWindow })
	m.recentDeletions = append(m.recentDeletions, deletion{o, now})
	if !m.mayHaveLapsed(isMassDeletion(len(m.recentDeletions), countReadable(maps.Values(m.objects)))) {
		return
	}
	for _, d := range m.recentDeletions {
		if _, back := m.objects[d.object.Name]; !back {
			m.objects[d.object.Name] = d.object
			m.retain(d.object.Name)
		}
	}
}

// expireRetained deletes retained objects that did not come back in time and reports whether there were any.
func (m *Mirror) expireRetained() bool {
	now, expired := time.Now(), false
	for name, t := range m.retainedUntil {
		if !now.Before(t) {
			delete(m.objects, name)
			delete(m.retainedUntil, name)
			m.recordRemoval(name, m.version)
			expired = true
		}
	}
	return expired
}
