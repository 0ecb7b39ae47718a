package role

import (
	"fmt"
	"iter"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/peer"
)

// Calls to the platform must not grow with the fleet, so only a few of 50 entry VMs may watch it. A VM must still
// watch if the designated watchers are silent or don't reach the platform.
func TestIsWatcher(t *testing.T) {
	for _, tt := range []struct {
		name string
		vms  int
		// state returns the state of a peer: "" is heard and reaches the platform.
		state func(i int) string
		want  map[int]bool
	}{
		{"small fleet", maxAllWatchFleet, func(int) string { return "" }, map[int]bool{0: true, 4: true, 7: true}},
		{"large fleet", 50, func(int) string { return "" }, map[int]bool{0: true, watcherCount - 1: true, watcherCount: false, 49: false}},
		{"the first are silent", 50, func(i int) string { return map[bool]string{i < 10: "silent"}[true] }, map[int]bool{10: true, 10 + watcherCount - 1: true, 10 + watcherCount: false}},
		{"the first are cut off from the platform", 50, func(i int) string { return map[bool]string{i < 10: "away"}[true] }, map[int]bool{watcherCount - 1: true, 10: true, 10 + watcherCount - 1: true, 10 + watcherCount: false}},
		{"the platform is down", 50, func(int) string { return "away" }, map[int]bool{watcherCount - 1: true, watcherCount: false, 49: false}},
		{"the first leave", 50, func(i int) string { return map[bool]string{i < 3: "leaving"}[true] }, map[int]bool{3: true, 3 + watcherCount - 1: true, 3 + watcherCount: false}},
		{"nobody is heard", 50, func(int) string { return "silent" }, map[int]bool{49: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				for self, want := range tt.want {
					var peers []peer.Peer
					for i := range tt.vms {
						p := peer.Peer{Summary: peer.Summary{Member: peer.Member{VM: id(i)}, PlatformUnreachable: tt.state(i) == "away", Leaving: tt.state(i) == "leaving"}}
						if tt.state(i) != "silent" {
							p.LastHeard = time.Now()
						}
						if i != self {
							peers = append(peers, p)
						}
					}
					is.Equal(isWatcher(id(self), tt.state(self) == "away", peerSeq(peers)), want)
				}
			})
		})
	}
}

// peerSeq returns an iterator over peers, as a fleet does.
func peerSeq(peers []peer.Peer) iter.Seq[*peer.Peer] {
	return func(yield func(*peer.Peer) bool) {
		for i := range peers {
			if !yield(&peers[i]) {
				return
			}
		}
	}
}

func id(i int) chestnutcleat.VMID { return chestnutcleat.VMID(fmt.Sprintf("v%02d", i)) }
