package mirror

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

var errUnreachable = errors.New("platform is unreachable")

// change is one of the history; version is that of the platform after it.
type change struct {
	object  chestnutcleat.StoredObject
	version chestnutcleat.Version
}

// fakePlatform stores the objects of one kind.
type fakePlatform struct {
	chestnutcleat.ObjectStore
	mu        sync.Mutex
	version   chestnutcleat.Version
	objects   map[string]chestnutcleat.StoredObject
	history   []change
	compacted chestnutcleat.Version
	// unreachable makes all calls fail, watchesStalled makes watches report nothing, and listDelay delays the answers of lists
	// after the objects were read.
	unreachable, watchesStalled bool
	listDelay                   time.Duration
	// staleObjects are the objects of stale lists if it is set; the version of such a list is the present one all the same.
	staleObjects map[string]chestnutcleat.StoredObject
	lists        int
	watches      int
	// listFreshness holds the freshness that each list asked for.
	listFreshness []chestnutcleat.Freshness
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{version: 1, objects: map[string]chestnutcleat.StoredObject{}}
}

func (p *fakePlatform) set(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	o := chestnutcleat.StoredObject{Name: name, Version: p.version}
	p.objects[name] = o
	p.history = append(p.history, change{o, p.version})
}

func (p *fakePlatform) delete(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.objects, name)
	p.history = append(p.history, change{chestnutcleat.StoredObject{Name: name, Version: p.version, Deleted: true}, p.version})
}

func (p *fakePlatform) withLock(f func(p *fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

func (p *fakePlatform) List(_ context.Context, _ chestnutcleat.ObjectKind, f chestnutcleat.Freshness) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	p.mu.Lock()
	p.lists++
	p.listFreshness = append(p.listFreshness, f)
	objects := p.objects
	if f == chestnutcleat.Stale && p.staleObjects != nil {
		objects = p.staleObjects
	}
	list := slices.Collect(maps.Values(objects))
	version, unreachable, delay := p.version, p.unreachable, p.listDelay
	p.mu.Unlock()
	time.Sleep(delay)
	if unreachable {
		return nil, 0, errUnreachable
	}
	return list, version, nil
}

func (p *fakePlatform) Watch(ctx context.Context, _ chestnutcleat.ObjectKind, after chestnutcleat.Version, wait time.Duration) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	end := time.Now().Add(wait)
	p.withLock(func(p *fakePlatform) { p.watches++ })
	for {
		p.mu.Lock()
		unreachable, stalled, compacted, version := p.unreachable, p.watchesStalled, p.compacted, p.version
		var list []chestnutcleat.StoredObject
		for _, c := range p.history {
			if c.version > after {
				list = append(list, c.object)
			}
		}
		p.mu.Unlock()
		switch {
		case unreachable:
			return nil, 0, errUnreachable
		case !stalled && after < compacted:
			return nil, 0, chestnutcleat.ErrCompacted
		case !stalled && len(list) > 0, !time.Now().Before(end):
			return list, version, nil
		}
		if err := chestnutcleat.Sleep(ctx, 10*time.Millisecond); err != nil {
			return nil, 0, err
		}
	}
}

func names(s Snapshot) []string {
	list := []string{}
	for _, o := range s.Objects {
		list = append(list, o.Name)
	}
	return list
}

// runWithPlatform runs a test with a platform in virtual time.
func runWithPlatform(t *testing.T, test func(t *testing.T, is *is.I, p *fakePlatform)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newFakePlatform()) })
}

// runMirror starts a mirror and returns it with a function that returns the object names that it last reported.
func runMirror(t *testing.T, p *fakePlatform) (*Mirror, func() []string) {
	return runMirrorIf(t, p, nil)
}

// runMirrorIf is runMirror with a ShouldWatch function.
func runMirrorIf(t *testing.T, p *fakePlatform, shouldWatch func() bool) (*Mirror, func() []string) {
	return runMirrorWith(t, p, func(m *Mirror) { m.ShouldWatch = shouldWatch })
}

// runMirrorWith is runMirror with a function that changes fields before the start.
func runMirrorWith(t *testing.T, p *fakePlatform, set func(m *Mirror)) (*Mirror, func() []string) {
	var mu sync.Mutex
	var last []string
	m := &Mirror{Store: p, Kind: "k", RetainAfterOutage: true, Rand: rand.New(rand.NewPCG(1, 1)), OnChange: func(s Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		last = names(s)
	}}
	set(m)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(last)
	}
}

// Changes must arrive within fractions of a second, also those made before the history was compacted.
func TestFollowsChanges(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		_, seen := runMirror(t, p)
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen(), []string{"a"})
		p.set("b")
		p.delete("a")
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen(), []string{"b"})
		p.withLock(func(p *fakePlatform) { p.watchesStalled = true })
		p.set("c")
		p.delete("b")
		p.withLock(func(p *fakePlatform) { p.watchesStalled, p.compacted, p.history = false, p.version, nil })
		time.Sleep(500 * time.Millisecond)
		is.Equal(seen(), []string{"c"})
	})
}

// A watch that misses changes must neither hide what a list shows nor undo it with its late answer.
func TestStalledWatch(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		m, seen := runMirror(t, p)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.watchesStalled = true })
		p.set("b")
		p.delete("b")
		p.set("c")
		is.NoErr(m.Refresh(t.Context()))
		is.Equal(seen(), []string{"a", "c"})
		p.withLock(func(p *fakePlatform) { p.watchesStalled = false })
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a", "c"})
	})
}

// A list that was read before a change but arrives after it must not undo the change.
func TestDelayedList(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		m, seen := runMirror(t, p)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.listDelay = time.Second })
		go m.Refresh(t.Context())
		time.Sleep(100 * time.Millisecond)
		p.set("b")
		time.Sleep(2 * time.Second)
		is.Equal(seen(), []string{"a", "b"})
	})
}

// Objects that vanish during an outage may come back within outageRetention of the platform's return and are deleted otherwise.
// An object that is deleted while the platform answers is removed at once.
func TestRetentionAfterOutage(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		for _, name := range []string{"a", "b", "c"} {
			p.set(name)
		}
		_, seen := runMirror(t, p)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.unreachable = true })
		time.Sleep(5 * time.Second)
		p.delete("a")
		p.delete("b")
		p.withLock(func(p *fakePlatform) { p.unreachable = false })
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a", "b", "c"})
		p.set("b")
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a", "b", "c"})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(seen(), []string{"b", "c"})
		p.delete("c")
		time.Sleep(300 * time.Millisecond)
		is.Equal(seen(), []string{"b"})
	})
}

// Guards against deleting most objects after an outage that no call of this VM noticed: a VM knew no instance of a service for
// half a second (recorded day inc-a610). Single deletions still take effect at once.
func TestRetentionAfterUnnoticedOutage(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		all := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
		for _, name := range all {
			p.set(name)
		}
		_, seen := runMirror(t, p)
		time.Sleep(time.Second)
		p.delete("i")
		time.Sleep(300 * time.Millisecond)
		is.Equal(seen(), all[:8])
		time.Sleep(2 * massDeletionWindow)
		for _, name := range all[:8] {
			p.delete(name)
			time.Sleep(60 * time.Millisecond)
		}
		is.Equal(seen(), all[:8])
		for _, name := range all[:6] {
			p.set(name)
		}
		time.Sleep(outageRetention / 2)
		is.Equal(seen(), all[:8])
		time.Sleep(outageRetention)
		is.Equal(seen(), all[:6])
	})
}

// A VM that can't reach the platform must merge newer objects from another VM, and never older ones.
func TestMerge(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		m, seen := runMirror(t, p)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.unreachable = true })
		v := m.Version()
		m.Merge(Snapshot{Version: v + 5, Objects: []chestnutcleat.StoredObject{{Name: "a", Version: v + 5}, {Name: "b", Version: v + 4}}})
		is.Equal(seen(), []string{"a", "b"})
		m.Merge(Snapshot{Version: v + 2, Objects: []chestnutcleat.StoredObject{{Name: "z", Version: v + 2}}})
		is.Equal(seen(), []string{"a", "b"})
		is.Equal(names(m.SnapshotSince(0)), []string{"a", "b"})
	})
}

// A VM that learns of a mass deletion by a list or from another VM must retain the objects too: it has no watch of its own that
// would fail in the outage.
func TestRetentionWithoutWatch(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	for name, learn := range map[string]func(t *testing.T, p *fakePlatform, m, watching *Mirror) error{
		"list": func(t *testing.T, _ *fakePlatform, m, _ *Mirror) error { return m.Refresh(t.Context()) },
		"merge": func(_ *testing.T, _ *fakePlatform, m, watching *Mirror) error {
			m.Merge(watching.SnapshotSince(m.Version()))
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
				for _, name := range all {
					p.set(name)
				}
				watching, _ := runMirror(t, p)
				idle, seen := runMirrorIf(t, p, func() bool { return false })
				time.Sleep(time.Second)
				for _, name := range all[:3] {
					p.delete(name)
				}
				time.Sleep(100 * time.Millisecond)
				is.Equal(seen(), all)
				is.NoErr(learn(t, p, idle, watching))
				is.Equal(seen(), all)
				p.set("a")
				time.Sleep(time.Second)
				is.NoErr(learn(t, p, idle, watching))
				is.Equal(seen(), all)
				time.Sleep(outageRetention)
				is.Equal(seen(), []string{"a", "d"})
			})
		})
	}
}

// A VM that doesn't watch must make no calls, and must watch as soon as it should.
func TestShouldWatch(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		var watches atomic.Bool
		_, seen := runMirrorIf(t, p, watches.Load)
		time.Sleep(time.Second)
		p.set("b")
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a"})
		watches.Store(true)
		time.Sleep(2 * idleInterval)
		is.Equal(seen(), []string{"a", "b"})
	})
}

// In an outage, VMs that don't watch must call rarely, and must notice its end by themselves. When they called as often as the
// others, an outage of five seconds cost about 1,500 calls from 50 VMs.
func TestProbeInterval(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		const pause = 10 * time.Second
		p.set("a")
		var watches atomic.Bool
		watches.Store(true)
		m, seen := runMirrorWith(t, p, func(m *Mirror) {
			m.ShouldWatch, m.ProbeInterval = watches.Load, func() time.Duration { return pause }
		})
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.unreachable = true })
		time.Sleep(time.Second)
		is.True(m.Unreachable())
		watches.Store(false)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.watches = 0 })
		time.Sleep(time.Minute)
		is.True(m.Unreachable()) // a probe that was not made doesn't show that the platform is back
		p.withLock(func(p *fakePlatform) { is.True(p.watches <= int(time.Minute/pause)) })
		p.withLock(func(p *fakePlatform) { p.unreachable = false })
		p.set("b")
		time.Sleep(pause + time.Second)
		is.True(!m.Unreachable())
		is.Equal(seen(), []string{"a", "b"})
	})
}

// Without changes a mirror must make only one list call.
func TestIdleCalls(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		runMirror(t, p)
		time.Sleep(10 * time.Minute)
		p.mu.Lock()
		defer p.mu.Unlock()
		is.Equal(p.lists, 1)
	})
}
