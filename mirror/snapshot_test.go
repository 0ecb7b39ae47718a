package mirror

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// A VM that merges only deltas must end with the same objects as one that watches, whatever was added, changed, removed and
// added again. Complete snapshots of 300 objects to 300 VMs saturated the links.
func TestDeltasConverge(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
				random := rand.New(rand.NewPCG(seed, 1))
				for i := range 10 {
					p.set(fmt.Sprint(i))
				}
				watching, _ := runMirrorWith(t, p, func(m *Mirror) { m.RetainAfterOutage = false })
				follower := &Mirror{}
				for range 50 {
					for range random.IntN(4) {
						name := fmt.Sprint(random.IntN(12))
						if random.IntN(2) == 0 {
							p.set(name)
						} else {
							p.delete(name)
						}
					}
					time.Sleep(time.Second)
					if random.IntN(3) > 0 {
						follower.Merge(watching.SnapshotSince(follower.Version()))
					}
				}
				follower.Merge(watching.SnapshotSince(follower.Version()))
				is.Equal(follower.SnapshotSince(0).Objects, watching.SnapshotSince(0).Objects)
				is.Equal(follower.Version(), watching.Version())
			})
		})
	}
}

// One change must cost one object in a delta; a request from a version before this VM's history gets all objects.
func TestSnapshotSince(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		for i := range 100 {
			p.set(fmt.Sprint(i))
		}
		m, _ := runMirror(t, p)
		time.Sleep(time.Second)
		since := m.Version()
		p.set("7")
		p.delete("8")
		time.Sleep(time.Second)
		s := m.SnapshotSince(since)
		is.Equal(names(s), []string{"7", "8"})
		is.True(s.Objects[1].Deleted)
		is.Equal(len(m.SnapshotSince(since-1).Objects), 99)
		behind := &Mirror{version: since - 1, objects: map[string]chestnutcleat.StoredObject{"x": {Name: "x"}}}
		behind.Merge(s)
		is.Equal(behind.Version(), since-1) // the preceding changes are missing
	})
}

// A list without changes must not raise the version: every VM fetched the kind whenever another kind had changed.
func TestUnchangedList(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		m, _ := runMirror(t, p)
		time.Sleep(time.Second)
		before := m.Version()
		p.withLock(func(p *fakePlatform) { p.version += 5 }) // a change of another kind
		is.NoErr(m.Refresh(t.Context()))
		is.Equal(m.Version(), before)
		p.set("b")
		is.NoErr(m.Refresh(t.Context()))
		is.True(m.Version() > before)
	})
}

// A starting VM must make no expensive calls to the platform, and must not watch before it knows the fleet.
func TestStartup(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		const settled = 4 * time.Second
		started := time.Now()
		_, seen := runMirrorWith(t, p, func(m *Mirror) {
			m.ShouldWatch = func() bool { return time.Since(started) > settled }
			m.ShouldPoll = func() bool { return time.Since(started) < settled }
		})
		time.Sleep(1500 * time.Millisecond)
		p.set("b")
		time.Sleep(pollInterval + callSpacing + time.Millisecond)
		is.Equal(seen(), []string{"a", "b"})
		p.withLock(func(p *fakePlatform) {
			is.Equal(p.watches, 0)
			for _, f := range p.listFreshness {
				is.Equal(f, chestnutcleat.Stale)
			}
		})
		time.Sleep(settled)
		p.withLock(func(p *fakePlatform) { is.Equal(p.watches, 1) })
		// After compaction the list must be fresh, since one older than the known state would be discarded.
		p.withLock(func(p *fakePlatform) { p.compacted = p.version + 1 })
		p.set("c")
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { is.Equal(p.listFreshness[len(p.listFreshness)-1], chestnutcleat.Fresh) })
	})
}

// A delta must report an object whose retention expired as removed; otherwise other VMs keep using an instance that no longer
// exists.
func TestExpiredObjectIsReportedRemoved(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			p.set(name)
		}
		m, seen := runMirror(t, p)
		time.Sleep(time.Second)
		behind := &Mirror{}
		behind.Merge(m.SnapshotSince(0))
		p.withLock(func(p *fakePlatform) { p.unreachable = true })
		time.Sleep(watchTimeout)
		p.delete("c")
		p.withLock(func(p *fakePlatform) { p.unreachable = false })
		time.Sleep(time.Second)
		is.Equal(len(seen()), 5) // it may come back
		time.Sleep(outageRetention + time.Second)
		is.Equal(len(seen()), 4)
		behind.Merge(m.SnapshotSince(behind.Version()))
		is.Equal(names(behind.SnapshotSince(0)), []string{"a", "b", "d", "e"})
	})
}

// A VM must not retain names whose objects it doesn't have: a VM that had just started took them over with a delta, which has only the
// changes, and listed them as retained until its watch ended, up to 28 s later; until then each list counted as a change.
func TestRetainedNameWithoutObject(t *testing.T) {
	is := is.New(t)
	m := &Mirror{RetainAfterOutage: true}
	kept := chestnutcleat.StoredObject{Name: "kept", Version: 4}
	m.Merge(Snapshot{Version: 5, Objects: []chestnutcleat.StoredObject{kept}})
	m.Merge(Snapshot{Version: 9, Since: 5, Retained: []string{"gone", "kept"}})
	is.Equal(m.SnapshotSince(0).Retained, []string{"kept"})
}

// A delta confirms only the objects that it brings: one that had vanished in an outage counted as present for good once another VM's delta
// arrived while it was retained.
func TestDeltaLeavesRetention(t *testing.T) {
	back := chestnutcleat.StoredObject{Name: "gone", Version: 8}
	tests := []struct {
		name     string
		delta    []chestnutcleat.StoredObject
		retained []string
		want     []string
	}{
		{"without the object", nil, nil, []string{"kept", "new"}},
		{"from a VM that retains it, too", nil, []string{"gone"}, []string{"kept", "new"}},
		{"with the object", []chestnutcleat.StoredObject{back}, nil, []string{"gone", "kept", "new"}},
		{"with the object as a retained one", []chestnutcleat.StoredObject{back}, []string{"gone"}, []string{"kept", "new"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := &Mirror{RetainAfterOutage: true}
				m.Merge(Snapshot{Version: 5, Objects: []chestnutcleat.StoredObject{{Name: "gone", Version: 3}, {Name: "kept", Version: 4}}})
				m.markUnreachable(errors.New("outage"))
				m.apply([]chestnutcleat.StoredObject{{Name: "gone", Version: 6, Deleted: true}}, 5, 6, true)
				is.Equal(m.SnapshotSince(0).Retained, []string{"gone"})
				m.Merge(Snapshot{Version: 9, Since: 6, Retained: tt.retained, Objects: append(tt.delta, chestnutcleat.StoredObject{Name: "new", Version: 9})})
				time.Sleep(outageRetention)
				m.apply(nil, 9, 9, false)
				var names []string
				for _, o := range m.SnapshotSince(0).Objects {
					names = append(names, o.Name)
				}
				is.Equal(names, tt.want)
			})
		})
	}
}
