package place

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// versionMemory is how long a service's version that is no longer registered is remembered. It is longer than any stream.
const versionMemory = 2 * time.Hour

// versionHistory holds the software versions that have been registered while this VM followed the registrations without a gap.
type versionHistory struct {
	// since is the time from which on no registration was missed; zero before the first list.
	since time.Time
	// lastSeen is the last time at which a version was registered that has left.
	lastSeen map[chestnutcleat.ServiceName]map[chestnutcleat.SoftwareVersion]time.Time
}

// note records the versions of the instances in a list that is about to be replaced, and forgets old ones.
func (h *versionHistory) note(list map[chestnutcleat.InstanceID]*instanceState, now time.Time) {
	if h.since.IsZero() {
		h.since, h.lastSeen = now, map[chestnutcleat.ServiceName]map[chestnutcleat.SoftwareVersion]time.Time{}
	}
	for _, s := range list {
		versions := h.lastSeen[s.Service]
		if versions == nil {
			versions = map[chestnutcleat.SoftwareVersion]time.Time{}
			h.lastSeen[s.Service] = versions
		}
		versions[s.Version] = now
	}
	for _, versions := range h.lastSeen {
		for v, at := range versions {
			if now.Sub(at) > versionMemory {
				delete(versions, v)
			}
		}
	}
}

// RestartVersionHistory tells that registrations may have been missed until now. The versions that were seen remain known.
func (t *Table) RestartVersionHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.versions.since.IsZero() {
		t.versions.since = time.Now()
	}
}

// OtherVersion reports whether an instance of a service, one that left included, has had another software version as far as this VM
// remembers.
func (t *Table) OtherVersion(service chestnutcleat.ServiceName, version chestnutcleat.SoftwareVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.rememberedVersions(service)
	delete(found, version)
	return len(found) > 0
}

// rememberedVersions returns the versions that a service's instances have had within versionMemory. The caller holds mu.
func (t *Table) rememberedVersions(service chestnutcleat.ServiceName) map[chestnutcleat.SoftwareVersion]bool {
	found := map[chestnutcleat.SoftwareVersion]bool{}
	for _, s := range t.services[service] {
		found[s.Version] = true
	}
	for v, at := range t.versions.lastSeen[service] {
		if time.Since(at) <= versionMemory {
			found[v] = true
		}
	}
	return found
}

// OnlyVersion returns the only software version that a service's instances, those that left included, have had as far as this VM remembers.
// ok is false if there were several, none, or if registrations may have been missed within the given time up to now. A stream may have begun
// longer ago than that, so a version that left before counts, too.
func (t *Table) OnlyVersion(service chestnutcleat.ServiceName, within time.Duration) (version chestnutcleat.SoftwareVersion, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.versions.since.IsZero() || time.Since(t.versions.since) < within || within > versionMemory {
		return "", false
	}
	found := t.rememberedVersions(service)
	for v := range found {
		version = v
	}
	return version, len(found) == 1
}

// Current reports whether the instance's registration is the same as when the instance was picked, or was removed since.
func (a *Assignment) Current() bool {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	s := a.table.byID[a.ID]
	return s == nil || sameStart(&s.Instance, &a.Instance) && s.Service == a.Service && s.Version == a.Version
}
