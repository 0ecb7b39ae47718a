package node

import (
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// gossipInterval is the time between two publications of this VM's state.
	gossipInterval = 500 * time.Millisecond
	// summaryExpiry is how long a summary stays valid without a newer one.
	summaryExpiry = 5 * time.Second
	// versionBits is the number of low bits for the versions of one incarnation, which is a time in milliseconds.
	versionBits = 22
)

// Prefixes of the names of gossip items; the VM's ID follows.
const (
	itemLoads          = "loads/"
	itemUsage          = "usage/"
	itemManifest       = "manifest/"
	itemTemporaryOwner = "holds/"
)

// manifestItem carries a manifest summary with the address of the VM that has it.
type manifestItem struct {
	From    chestnutcleat.Address `json:"from"`
	Summary manifest.Summary      `json:"summary"`
}

// publishState publishes the summaries of this VM and schedules the next publication.
func (n *Node) publishState() {
	n.version++
	id := string(n.Self.ID)
	if l := n.upstreams.Loads(); len(l) > 0 {
		n.loads.merge(l)
		for i := range l {
			l[i].Sequence = 0
		}
		publish(n, itemLoads+id, l)
	}
	if n.limits.Busy() {
		n.members.PutUntil(itemUsage+id, n.version, n.limits.Summary(), time.Now().Add(summaryExpiry))
	}
	if data, err := vm.Encode(manifestItem{From: n.Self.Address, Summary: n.manifests.Summary()}); err == nil {
		if old, _, ok := n.members.Get(itemManifest + id); !ok || string(old) != string(data) {
			n.members.Put(itemManifest+id, n.version, data)
		}
	}
	if lost := n.keeper.TemporarilyOwned(); len(lost) > 0 {
		place := chestnutcleat.OwnerLocation{VM: n.Self.ID, Address: n.Self.Address, CallerAddress: n.Self.CallerAddress, Epoch: n.keeper.Epoch()}
		publish(n, itemTemporaryOwner+id, temporaryOwnerItem{Place: place, Lost: lost})
	}
	n.Loop.After(gossipInterval, n.publishState)
}

// publish gossips an item that expires unless it is refreshed.
func publish[T any](n *Node, name string, v T) {
	data, err := vm.Encode(v)
	if err != nil || !n.publisher.recordIfDue(name, data) {
		return
	}
	n.members.PutUntil(name, n.version, data, time.Now().Add(summaryExpiry))
}

// onItem handles a gossip item of another VM.
func (n *Node) onItem(name string, data []byte) {
	if _, from, _ := strings.Cut(name, "/"); from == string(n.Self.ID) {
		return
	}
	switch {
	case strings.HasPrefix(name, itemLoads):
		if l, err := vm.Decode[[]chestnutcleat.Load](data); err == nil {
			n.loads.merge(l)
		}
	case strings.HasPrefix(name, itemTemporaryOwner):
		if item, err := vm.Decode[temporaryOwnerItem](data); err == nil {
			n.temporaryOwners.merge(item)
		}
	case strings.HasPrefix(name, itemUsage):
		n.limits.Merge(data)
	case strings.HasPrefix(name, itemManifest):
		if m, err := vm.Decode[manifestItem](data); err == nil {
			n.manifests.HandleOffer(m.Summary, m.From)
		}
	}
}
