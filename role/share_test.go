package role

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
)

const shareWindow = 5 * time.Second

// silentEntry is an entry VM that hears no other VM of its fleet.
func silentEntry(vms int) *Entry {
	e := &Entry{placement: place.NewTable()}
	e.self = peer.Member{VM: id(0)}
	e.mirrors = map[chestnutcleat.ObjectKind]*mirror.Mirror{fleetKind: {Kind: fleetKind}, platform.InstanceKind: {Kind: platform.InstanceKind}}
	e.following.mirror = e.mirrors[platform.InstanceKind]
	e.fleet = &peer.Fleet{Self: e.self}
	var list []peer.Member
	for i := range vms {
		list = append(list, peer.Member{VM: id(i)})
	}
	e.fleet.SetMembers(list)
	e.limiter = rate.NewLimiter(e.self.VM, shareWindow)
	e.limiter.RequestTokens = func(chestnutcleat.VMID, rate.Tokens) {}
	e.limiter.SetCustomers([]config.Customer{{ID: "c", Rate: 20, Burst: 20}})
	e.setListed(true)
	e.contactPlatform(1)
	return e
}

// contactPlatform lets the VM see a version at the platform.
func (e *Entry) contactPlatform(v chestnutcleat.Version) {
	e.mirrors[fleetKind].Merge(mirror.Snapshot{Version: v})
}

func (e *Entry) setListed(listed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memberVersions = map[chestnutcleat.VMID]chestnutcleat.Version{}
	if listed {
		e.memberVersions[e.self.VM] = 1
	}
}

func (e *Entry) setOwnData(data string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownObject.Data = []byte(data)
}

// admits reports whether a request of a limited customer is admitted.
func (e *Entry) admits(ctx context.Context) bool {
	return e.limiter.Admit(ctx, rate.Request{Customer: "c"}).Verdict == rate.Admitted
}

// A VM must give up its share of rates before the others may use it. They remove the object of a VM that is silent for memberExpiry
// and divide its share, but the VM, cut off from them and the platform, went on admitting requests with it: with three of seven
// VMs cut off, a customer got 1544 requests in a window with a bound of 1208.
func TestRemovedVMGivesUpShare(t *testing.T) {
	for _, tt := range []struct {
		name string
		vms  int
		// change is what happens to the VM at the start, and each at every second.
		change func(e *Entry)
		each   func(e *Entry, second int)
		admits bool
	}{
		{name: "cut off", vms: 7},
		{name: "reaches the platform", vms: 7, each: func(e *Entry, n int) { e.contactPlatform(chestnutcleat.Version(2 + n)) }, admits: true},
		{name: "half of the fleet", vms: 2, admits: true},
		{name: "alone", vms: 1, admits: true},
		{
			name: "removed, reaches the platform", vms: 7, change: func(e *Entry) { time.Sleep(time.Second); e.setListed(false) },
			each: func(e *Entry, n int) { e.contactPlatform(chestnutcleat.Version(2 + n)) },
		},
		{
			name: "leaving, its successor is listed", vms: 7, change: func(e *Entry) { time.Sleep(time.Second); e.leaving.Store(true); e.setOwnData("successor") },
			each: func(e *Entry, n int) { e.contactPlatform(chestnutcleat.Version(2 + n)) },
		},
		{
			name: "leaving", vms: 7, change: func(e *Entry) { time.Sleep(time.Second); e.leaving.Store(true) },
			each: func(e *Entry, n int) { e.contactPlatform(chestnutcleat.Version(2 + n)) }, admits: true,
		},
		{
			name: "not listed yet", vms: 7, change: func(e *Entry) { e.setListed(false) },
			each: func(e *Entry, n int) { e.contactPlatform(chestnutcleat.Version(2 + n)) }, admits: true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				e := silentEntry(tt.vms)
				ended := make(chan error, 1)
				go func() { ended <- e.repeat(ctx, fleetCheckInterval, "reports of other VMs", e.trackFleet) }()
				if tt.change != nil {
					tt.change(e)
				}
				for n := range int(memberExpiry / time.Second) {
					time.Sleep(time.Second)
					if tt.each != nil {
						tt.each(e, n)
					}
				}
				admits := e.admits(ctx)
				e.setListed(true)
				e.setOwnData("")
				e.contactPlatform(1000)
				time.Sleep(shareWindow + 2*fleetCheckInterval)
				back := e.admits(ctx)
				cancel()
				is.NoErr(<-ended)
				is.Equal(admits, tt.admits)
				is.True(back) // once it is listed and in touch again
			})
		})
	}
}

// A VM that was frozen for longer than memberExpiry must not use its share on waking, before it knows whether it was removed.
func TestWokenVMGivesUpShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := silentEntry(7)
		is.Equal(len(e.shareHolders()), 7)
		time.Sleep(memberExpiry + time.Second)
		is.Equal(len(e.shareHolders()), 6)
		e.contactPlatform(2)
		is.Equal(fmt.Sprint(e.shareHolders()), "[v01 v02 v03 v04 v05 v06 v00]")
	})
}

// A VM that has just started must not use a share before it is listed: its first list may be old and lack most of the others. Each VM of a fleet
// that started took the whole limit for its own, and a customer got 153 requests in the first second where a window allows 152.
func TestStartingVMWaitsForItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := silentEntry(0)
		e.started = time.Now()
		e.setListed(false)
		is.Equal(len(e.shareHolders()), 0)
		time.Sleep(maxSettleTime / 2)
		is.Equal(len(e.shareHolders()), 0)
		e.contactPlatform(2)
		time.Sleep(maxSettleTime)
		is.Equal(len(e.shareHolders()), 1) // it can't be listed, as the platform takes no writes
		started := silentEntry(0)
		started.started = time.Now()
		is.Equal(len(started.shareHolders()), 1) // a VM that starts again is listed already
	})
}
