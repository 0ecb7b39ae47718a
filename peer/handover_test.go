package peer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// relaysOfOneGroup returns the relays of the first node's group, and whether a node belongs to that group.
func relaysOfOneGroup(nodes []*node) (relays []*node, inGroup func(n *node) bool) {
	group := nodes[0].groups.own
	inGroup = func(n *node) bool { return n.groups.own == group }
	for _, n := range nodes {
		if inGroup(n) && n.IsRelay() {
			relays = append(relays, n)
		}
	}
	return relays, inGroup
}

// Relays that shut down must hand over before they are gone. When a release stopped both relays of a group within two seconds, the group learned
// nothing of the others until it had missed them, so that a change of the configuration came late to VMs that nothing had happened to.
func TestStopOfRelaysLosesNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const listenTime = 2850 * time.Millisecond
		_, nodes := connectedFleet(t, 100)
		relays, inGroup := relaysOfOneGroup(nodes)
		is.Equal(len(relays), relaysPerGroup)
		for i, n := range relays {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			n.setSummary(Summary{Load: map[chestnutcleat.InstanceID]int{"i": 1}, Leaving: true})
			n.SendSoon()
		}
		time.Sleep(listenTime)
		for _, n := range relays {
			n.stop()
		}
		nodes = slices.DeleteFunc(nodes, func(n *node) bool { return slices.Contains(relays, n) })
		member := slices.IndexFunc(nodes, inGroup)
		other := slices.IndexFunc(nodes, func(n *node) bool { return !inGroup(n) })
		for _, sender := range []int{other, member} {
			id := chestnutcleat.InstanceID(fmt.Sprint("j", sender))
			nodes[sender].setSummary(Summary{Load: map[chestnutcleat.InstanceID]int{"i": 1, id: 7}})
			known := timeUntil(nodes, sender, func(n *node) bool { totals := n.Totals(); return totals.Load(id) == 7 })
			t.Logf("load of %s known after %v", nodes[sender].Self.VM, known)
			is.True(known <= maxLoadDelay)
		}
		stopAll(nodes)
	})
}

// What a relay passes on must count from when its sender said it: a VM that hears a relay, but not the sender any more, would take an old
// list of instances for a current one.
func TestForwardedConfirmationsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const kind = chestnutcleat.ObjectKind("servers")
		heard := newPeer(member(1))
		heard.Incarnation = 1
		heard.Confirmed, heard.LastHeard = map[chestnutcleat.ObjectKind]uint32{kind: 700}, time.Now()
		time.Sleep(300 * time.Millisecond)
		forwarded := forwardedSummaries([]*Peer{heard})
		is.Equal(forwarded[0].Confirmed[kind], uint32(1000))
		is.Equal(heard.Confirmed[kind], uint32(700))
		heard.Confirmed[kind] = math.MaxUint32 - 1
		is.Equal(forwardedSummaries([]*Peer{heard})[0].Confirmed[kind], uint32(math.MaxUint32))
	})
}
