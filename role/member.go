package role

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
)

const (
	// announceInterval is the time between checks of this VM's own object.
	announceInterval = time.Second
	// memberExpiry is how long a VM must be silent before its object is removed; a VM that is still running announces itself
	// again.
	memberExpiry = 30 * time.Second
	// memberExpiryInterval is the time between checks for expired VMs.
	memberExpiryInterval = 5 * time.Second
)

// members decodes the VMs among the fleet's objects and stores this VM's own object and the versions of all. An object that can't be
// decoded leaves its VM as it was known until the VM writes the object again; without the VM's disk the replica set would change.
func (b *base) members(s mirror.Snapshot) ([]peer.Member, []invalidObject) {
	var invalid []invalidObject
	var own chestnutcleat.StoredObject
	known := map[chestnutcleat.VMID]peer.Member{}
	versions := map[chestnutcleat.VMID]chestnutcleat.Version{}
	for _, o := range s.Objects {
		name, ok := strings.CutPrefix(o.Name, vmPrefix)
		if !ok {
			continue
		}
		id := chestnutcleat.VMID(name)
		if id == b.self.VM {
			own = o
		}
		m, err := decodeMember(o, id)
		if err != nil {
			invalid = append(invalid, invalidObject{o, err})
			if m, ok = b.knownMembers[id]; !ok {
				continue
			}
		}
		known[id], versions[id] = m, o.Version
	}
	b.knownMembers = known
	b.mu.Lock()
	b.ownObject, b.memberVersions = own, versions
	b.mu.Unlock()
	return slices.Collect(maps.Values(known)), invalid
}

// decodeMember decodes the object of the VM with the given id.
func decodeMember(o chestnutcleat.StoredObject, id chestnutcleat.VMID) (peer.Member, error) {
	if err := o.Err(); err != nil {
		return peer.Member{}, err
	}
	var m peer.Member
	if err := json.Unmarshal(o.Data, &m); err != nil {
		return peer.Member{}, err
	}
	if m.VM != id {
		return peer.Member{}, fmt.Errorf("object of VM %q describes VM %q", id, m.VM)
	}
	return m, nil
}

// removeSilentVMs removes the objects of VMs of this role that have been silent for memberExpiry, so that their shares of rates
// are used again. Only the first of the VMs that are heard does so, and only while it hears more than half of them.
func (b *base) removeSilentVMs(ctx context.Context) {
	rank, heard := b.rankHeard()
	if rank != 0 || 2*heard <= b.fleet.Count()+1 {
		return
	}
	for _, p := range b.fleet.Peers() {
		if p.SilentFor() > memberExpiry {
			b.removeVM(ctx, &p)
		}
	}
}

// removeVM removes the object of a VM at the version that is known of it.
func (b *base) removeVM(ctx context.Context, p *peer.Peer) {
	b.mu.Lock()
	v := b.memberVersions[p.VM]
	b.mu.Unlock()
	if v == 0 {
		return
	}
	err := b.objects.Remove(ctx, fleetKind, vmPrefix+string(p.VM), v)
	b.Observer.Emit(event.PeerForgotten, "peer", p.VM, "silent", p.SilentFor().Seconds(), "version", v, "error", err)
}

// announce keeps this VM's object at the platform up to date. A VM that leaves does not write it, since another process may have taken
// the name already.
func (b *base) announce(ctx context.Context) error {
	data, err := json.Marshal(b.self)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.announced = string(data)
	b.mu.Unlock()
	m := b.mirrors[fleetKind]
	failed := false
	for ctx.Err() == nil {
		b.mu.Lock()
		own := b.ownObject
		b.mu.Unlock()
		if m.Version() > 0 && string(own.Data) != string(data) && !b.leaving.Load() {
			v, err := b.objects.Write(ctx, fleetKind, chestnutcleat.StoredObject{Name: vmPrefix + string(b.self.VM), Version: own.Version, Data: data})
			switch {
			case err == nil:
				b.Observer.Emit(event.Announced, "version", v)
				b.mu.Lock()
				b.ownObject = chestnutcleat.StoredObject{Name: own.Name, Version: v, Data: data}
				b.mu.Unlock()
				failed = false
			case !failed:
				b.Observer.Emit(event.AnnounceFailed, "error", err)
				failed = true
			}
		}
		wait := announceInterval
		if m.Version() == 0 {
			wait = announceInterval / 10
		}
		_ = chestnutcleat.Sleep(ctx, wait)
	}
	return nil
}
