package mirror

import (
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// returnTime is how long entries that vanished while the platform was away may take to come back after its return.
	returnTime = 2500 * time.Millisecond
	// massTime and massShare tell a lapse that this VM did not see the cause of: one object in massShare goes within massTime.
	massTime  = time.Second
	massShare = 3
	// massLeast is the smallest number of objects that make a mass.
	massLeast = 2
)

// dropped is an object that was removed.
type dropped struct {
	object chestnutcleat.Stored
	at     time.Time
}

func (m *Mirror) nextLapse() (time.Time, bool) {
	var next time.Time
	for _, t := range m.lapsed {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next, !next.IsZero()
}

// keepLapsed keeps the objects that a whole list lacks if they may come back: all of them after an outage, otherwise those
// whose time is not over.
func (m *Mirror) keepLapsed(missing []chestnutcleat.Stored, outage bool) {
	for _, o := range missing {
		until, lapsed := m.lapsed[o.Name]
		if m.Lapses && (outage && !lapsed || lapsed && time.Now().Before(until)) {
			m.objects[o.Name] = o
			m.lapse(o.Name)
		} else {
			delete(m.lapsed, o.Name)
		}
	}
}

// isMass reports whether so many objects went at once that the platform must have lost them in an outage that this VM did
// not notice.
func isMass(gone, left int) bool { return gone >= massLeast && gone*massShare >= gone+left }

func (m *Mirror) lapse(name string) {
	if m.lapsed == nil {
		m.lapsed = map[string]time.Time{}
	}
	if _, ok := m.lapsed[name]; !ok {
		m.lapsed[name] = time.Now().Add(returnTime)
	}
}

// remove forgets an object. If many go at once the platform has lost them while this VM waited for news, so they stay like
// those that vanish while it is known to be away.
func (m *Mirror) remove(name string) {
	now := time.Now()
	o, ok := m.objects[name]
	delete(m.objects, name)
	delete(m.lapsed, name)
	if !ok || !m.Lapses {
		return
	}
	m.dropped = slices.DeleteFunc(m.dropped, func(d dropped) bool { return now.Sub(d.at) > massTime })
	m.dropped = append(m.dropped, dropped{o, now})
	if !isMass(len(m.dropped), len(m.objects)) {
		return
	}
	for _, d := range m.dropped {
		if _, back := m.objects[d.object.Name]; !back {
			m.objects[d.object.Name] = d.object
			m.lapse(d.object.Name)
		}
	}
}

// dropLapsed forgets objects that did not come back in time.
func (m *Mirror) dropLapsed() bool {
	now, dropped := time.Now(), false
	for name, t := range m.lapsed {
		if !now.Before(t) {
			delete(m.objects, name)
			delete(m.lapsed, name)
			m.note(name, m.version)
			dropped = true
		}
	}
	return dropped
}
