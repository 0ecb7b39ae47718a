package role

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/peer"
)

// Callers ask the nearest VM where to connect. A VM on the smaller side of a partition knows no VM that can serve their
// programs, and must not return its own address while it can't write records either.
func TestIsCutOff(t *testing.T) {
	for _, tt := range []struct {
		name     string
		vms      int
		heard    int
		writable bool
		want     bool
	}{
		{"alone", 7, 0, false, true},
		{"alone, with records", 7, 0, true, false},
		{"smaller side", 50, 17, false, true},
		{"larger side without records", 50, 31, false, false},
		{"half", 6, 2, false, true},
		{"records lost for all", 7, 6, false, false},
		{"only VM", 1, 0, false, false},
		{"the other of two is gone", 2, 0, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peers []peer.Peer
				for i := range tt.vms - 1 {
					p := peer.Peer{Summary: peer.Summary{Member: peer.Member{VM: id(i)}}}
					if i < tt.heard {
						p.LastHeard = time.Now()
					}
					peers = append(peers, p)
				}
				_, heard := rankHeard(id(99), peerSeq(peers), anyPeer)
				is.New(t).Equal(isCutOff(heard, len(peers)+1, tt.writable), tt.want)
			})
		})
	}
}

// VMs that were cut off from the storage VMs but not from the others refused 4,097 turns in one day, so callers must be sent to
// VMs that can write records. If most can't, none may be left out; otherwise the last VM that hasn't noticed gets all callers.
func TestAddresses(t *testing.T) {
	vm := func(name, domain string, unwritable bool) peer.Summary {
		return peer.Summary{Member: peer.Member{Callers: chestnutcleat.Address(name), Domain: chestnutcleat.FailureDomain(domain)}, Unwritable: unwritable}
	}
	for _, tt := range []struct {
		name string
		list []peer.Summary
		want string
	}{
		{"own domain", []peer.Summary{vm("b", "x", false), vm("a", "x", false), vm("c", "y", false)}, "a b"},
		{"one in the domain", []peer.Summary{vm("a", "x", false), vm("b", "y", false), vm("c", "y", false)}, "a b c"},
		{"one can't write", []peer.Summary{vm("a", "x", false), vm("b", "x", true), vm("c", "x", false)}, "a c"},
		{"only others can write", []peer.Summary{vm("a", "x", true), vm("b", "y", false), vm("c", "y", false)}, "b c"},
		{"most can't write", []peer.Summary{vm("a", "x", true), vm("b", "x", true), vm("c", "x", false)}, "a b c"},
		{"none can write", []peer.Summary{vm("a", "x", true), vm("b", "x", true)}, "a b"},
		{"none", nil, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, a := range addressesFor("x", tt.list) {
				got = append(got, string(a))
			}
			is.New(t).Equal(strings.Join(got, " "), tt.want)
		})
	}
}
