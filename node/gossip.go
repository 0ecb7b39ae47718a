package node

import (
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// gossipInterval is the time between summaries of this VM's state.
	gossipInterval = 500 * time.Millisecond
	// summaryExpiry is how long a summary counts without a newer one.
	summaryExpiry = 5 * time.Second
	// versionBits leaves room for the versions of one incarnation, which is a time in milliseconds.
	versionBits = 22
)

// Names of gossip items; the VM's id follows.
const (
	itemLoads    = "loads/"
	itemUsage    = "usage/"
	itemManifest = "manifest/"
	itemHolds    = "holds/"
)

// manifestItem carries a manifest summary with the address of the VM that has it.
type manifestItem struct {
	From    chestnutcleat.Address `json:"from"`
	Summary manifest.Summary      `json:"summary"`
}

// gossip publishes the summaries of this VM, again and again.
func (n *Node) gossip() {
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
	if held := n.keeper.Held(); len(held) > 0 {
		place := chestnutcleat.Place{VM: n.Self.ID, Address: n.Self.Address, Caller: n.Self.Caller, Epoch: n.keeper.Epoch()}
		publish(n, itemHolds+id, holdItem{Place: place, Lost: held})
	}
	n.Loop.After(gossipInterval, n.gossip)
}

// publish spreads an item that expires if it is not refreshed.
func publish[T any](n *Node, name string, v T) {
	data, err := vm.Encode(v)
	if err != nil || !n.publisher.due(name, data) {
		return
	}
	n.members.PutUntil(name, n.version, data, time.Now().Add(summaryExpiry))
}

// onItem takes a gossip item of another VM.
func (n *Node) onItem(name string, data []byte) {
	if _, from, _ := strings.Cut(name, "/"); from == string(n.Self.ID) {
		return
	}
	switch {
	case strings.HasPrefix(name, itemLoads):
		if l, err := vm.Decode[[]chestnutcleat.Load](data); err == nil {
			n.loads.merge(l)
		}
	case strings.HasPrefix(name, itemHolds):
		if h, err := vm.Decode[holdItem](data); err == nil {
			n.holders.merge(h)
		}
	case strings.HasPrefix(name, itemUsage):
		n.limits.Merge(data)
	case strings.HasPrefix(name, itemManifest):
		if m, err := vm.Decode[manifestItem](data); err == nil {
			n.manifests.Offer(m.Summary, m.From)
		}
	}
}
