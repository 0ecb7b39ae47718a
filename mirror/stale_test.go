package mirror

import (
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// A VM that starts while the platform drops its history gets an old list under a new version. If other VMs merge it, none of them
// learns of the objects in between: a storage VM's new disk stayed unknown, so its records were not copied before more disks were lost.
func TestStaleListDoesNotHideChanges(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("disk-1")
		watcher, known := runMirror(t, p)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.staleObjects, p.watchesStalled = maps.Clone(p.objects), true })
		p.set("disk-2")
		p.delete("disk-1")
		p.set("disk-3")
		started, knownAtStart := runMirrorIf(t, p, func() bool { return false })
		time.Sleep(300 * time.Millisecond)
		is.Equal(knownAtStart(), []string{"disk-1"})
		watcher.Merge(started.SnapshotSince(watcher.Version()))
		p.withLock(func(p *fakePlatform) {
			p.compacted, p.history, p.watchesStalled, p.staleObjects = p.version, nil, false, nil
		})
		time.Sleep(2 * time.Second)
		is.Equal(known(), []string{"disk-2", "disk-3"})
		started.Merge(watcher.SnapshotSince(started.Version()))
		is.Equal(knownAtStart(), []string{"disk-2", "disk-3"})
	})
}

// A VM whose first list was stale must confirm it with a fresh one before it watches, as the version of a stale list tells nothing.
func TestFirstWatchFollowsFreshList(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		p.withLock(func(p *fakePlatform) { p.staleObjects = maps.Clone(p.objects) })
		p.set("b")
		var watches atomic.Bool
		m, known := runMirrorIf(t, p, watches.Load)
		time.Sleep(time.Second)
		is.Equal(known(), []string{"a"})
		watches.Store(true)
		time.Sleep(time.Second)
		is.Equal(known(), []string{"a", "b"})
		is.Equal(p.listFreshness, []chestnutcleat.Freshness{chestnutcleat.Stale, chestnutcleat.Fresh})
		is.Equal(m.Version(), chestnutcleat.Version(3))
	})
}

// A stale list of several pages may have newer objects than the version up to which it is complete: a VM that took their version for its own
// never asked others for what it lacked.
func TestStaleListOfPages(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		p.withLock(func(p *fakePlatform) {
			p.staleObjects = maps.Clone(p.objects)
			p.staleObjects["z"] = chestnutcleat.StoredObject{Name: "z", Version: p.version + 5}
		})
		m, known := runMirrorIf(t, p, func() bool { return false })
		time.Sleep(time.Second)
		is.Equal(known(), []string{"a", "z"})
		is.Equal(m.Version(), p.version)
	})
}

// A kind without objects must count as known after a stale list, or no VM would announce itself as the first.
func TestEmptyStaleList(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		m, _ := runMirrorIf(t, p, func() bool { return false })
		time.Sleep(time.Second)
		is.True(m.Version() > 0)
		is.Equal(p.lists, 1)
	})
}
