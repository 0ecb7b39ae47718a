package role

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// shareExpiry is how long a VM uses its share of rates without a sign that it would learn of the removal of its object. It is shorter
// than memberExpiry, after which other VMs may remove the object and use the share.
const shareExpiry = memberExpiry - 5*time.Second

// shareClaim decides whether this VM may use its share of rates.
type shareClaim struct {
	// informedAt is when the VM could last learn of changes at the platform, from the platform or from other VMs.
	informedAt time.Time
	// wasListed is set once this VM's object was listed.
	wasListed bool
}

// holds reports whether the VM may use its share now: its object is listed, or was never and the VM is settled, and others can't have removed
// it unnoticed. A VM that has just started, and is not settled, may know a few of the others only, and would take too large a share.
// lastInformed is when the VM could last learn of changes at the platform.
func (c *shareClaim) holds(listed, settled bool, lastInformed time.Time) bool {
	if lastInformed.After(c.informedAt) {
		c.informedAt = lastInformed
	}
	c.wasListed = c.wasListed || listed
	return (listed || !c.wasListed && settled) && time.Since(c.informedAt) < shareExpiry
}

// shareHolders returns the VMs that share the rates, without this one while it may not use its share.
func (e *Entry) shareHolders() []chestnutcleat.VMID {
	holders := e.fleet.VMs()
	if e.share.holds(e.isListed(), e.settled(), e.lastInformed()) {
		holders = append(holders, e.self.VM)
	}
	return holders
}

// isListed reports whether, as far as is known, an object with this VM's name is at the platform and is not that of a process which
// took the name of a VM that leaves.
func (b *base) isListed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	succeeded := b.leaving.Load() && string(b.ownObject.Data) != b.announced
	return b.memberVersions[b.self.VM] > 0 && !succeeded
}

// lastInformed returns when this VM could last learn of changes at the platform: now, if it hears a VM that reaches the platform or at
// least half of the VMs, as those that remove objects hear more than half; else when the platform answered it last.
func (b *base) lastInformed() time.Time {
	heard := 1
	for p := range b.fleet.All() {
		if p.Silent() {
			continue
		}
		heard++
		if !p.PlatformUnreachable {
			return time.Now()
		}
	}
	if 2*heard >= b.fleet.Count()+1 {
		return time.Now()
	}
	return b.lastContact()
}

// lastContact returns when this VM last got an answer of the platform, or newer objects from another VM.
func (b *base) lastContact() time.Time {
	var last time.Time
	for _, m := range b.mirrors {
		if age := m.Age(); age >= 0 && time.Now().Add(-age).After(last) {
			last = time.Now().Add(-age)
		}
	}
	return last
}
