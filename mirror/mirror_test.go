package mirror

import (
	"context"
	"errors"
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

var errAway = errors.New("platform is away")

type change struct {
	at chestnutcleat.Stored
}

// platform keeps the objects of one kind.
type platform struct {
	chestnutcleat.ObjectStore
	mu      sync.Mutex
	version chestnutcleat.Version
	objects map[string]chestnutcleat.Stored
	history []change
	dropped chestnutcleat.Version
	// away fails all calls, deaf watches wait in vain, slow delays answers of lists that were read before.
	away, deaf bool
	slow       time.Duration
	lists      int
	watches    int
	// asked are the freshnesses of the lists.
	asked []chestnutcleat.Freshness
}

func newPlatform() *platform {
	return &platform{version: 1, objects: map[string]chestnutcleat.Stored{}}
}

func (p *platform) set(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	o := chestnutcleat.Stored{Name: name, Version: p.version}
	p.objects[name] = o
	p.history = append(p.history, change{o})
}

func (p *platform) delete(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.objects, name)
	p.history = append(p.history, change{chestnutcleat.Stored{Name: name, Version: p.version, Deleted: true}})
}

func (p *platform) do(f func(p *platform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

func (p *platform) List(_ context.Context, _ chestnutcleat.ObjectKind, f chestnutcleat.Freshness) ([]chestnutcleat.Stored, chestnutcleat.Version, error) {
	p.mu.Lock()
	p.lists++
	p.asked = append(p.asked, f)
	var list []chestnutcleat.Stored
	for _, o := range p.objects {
		list = append(list, o)
	}
	version, away, slow := p.version, p.away, p.slow
	p.mu.Unlock()
	time.Sleep(slow)
	if away {
		return nil, 0, errAway
	}
	return list, version, nil
}

func (p *platform) Watch(ctx context.Context, _ chestnutcleat.ObjectKind, after chestnutcleat.Version, wait time.Duration) ([]chestnutcleat.Stored, chestnutcleat.Version, error) {
	end := time.Now().Add(wait)
	p.do(func(p *platform) { p.watches++ })
	for {
		p.mu.Lock()
		away, deaf, dropped, version := p.away, p.deaf, p.dropped, p.version
		var list []chestnutcleat.Stored
		for _, c := range p.history {
			if c.at.Version > after {
				list = append(list, c.at)
			}
		}
		p.mu.Unlock()
		switch {
		case away:
			return nil, 0, errAway
		case !deaf && after < dropped:
			return nil, 0, chestnutcleat.ErrCompacted
		case !deaf && len(list) > 0, !time.Now().Before(end):
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

// play runs a test with a platform in virtual time.
func play(t *testing.T, test func(t *testing.T, is *is.I, p *platform)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newPlatform()) })
}

// follow runs a mirror and returns it with the names that it last reported.
func follow(t *testing.T, p *platform) (*Mirror, func() []string) { return followIf(t, p, nil) }

// followIf is follow with a function that tells whether the mirror watches.
func followIf(t *testing.T, p *platform, watches func() bool) (*Mirror, func() []string) {
	return followAs(t, p, func(m *Mirror) { m.Watches = watches })
}

// followAs is follow with fields that differ.
func followAs(t *testing.T, p *platform, set func(m *Mirror)) (*Mirror, func() []string) {
	var mu sync.Mutex
	var last []string
	m := &Mirror{Store: p, Kind: "k", Lapses: true, Rand: rand.New(rand.NewPCG(1, 1)), Changed: func(s Snapshot) {
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

// Changes must arrive soon, also those made while the history was dropped.
func TestFollows(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		_, seen := follow(t, p)
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen(), []string{"a"})
		p.set("b")
		p.delete("a")
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen(), []string{"b"})
		p.do(func(p *platform) { p.deaf = true })
		p.set("c")
		p.delete("b")
		p.do(func(p *platform) { p.deaf, p.dropped, p.history = false, p.version, nil })
		time.Sleep(500 * time.Millisecond)
		is.Equal(seen(), []string{"c"})
	})
}

// A watch that waits in vain must not hold up what a list shows, nor undo it with its late answer.
func TestDeafWatch(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		m, seen := follow(t, p)
		time.Sleep(time.Second)
		p.do(func(p *platform) { p.deaf = true })
		p.set("b")
		p.delete("b")
		p.set("c")
		is.NoErr(m.Refresh(t.Context()))
		is.Equal(seen(), []string{"a", "c"})
		p.do(func(p *platform) { p.deaf = false })
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a", "c"})
	})
}

// A list that was read before a change and arrives after it must not take the change back.
func TestLateList(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		m, seen := follow(t, p)
		time.Sleep(time.Second)
		p.do(func(p *platform) { p.slow = time.Second })
		go m.Refresh(t.Context())
		time.Sleep(100 * time.Millisecond)
		p.set("b")
		time.Sleep(2 * time.Second)
		is.Equal(seen(), []string{"a", "b"})
	})
}

// Entries that vanish while the platform is away may come back within returnTime of its return; those that don't are gone.
// An entry that goes while the platform answers is gone at once.
func TestLapse(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		for _, name := range []string{"a", "b", "c"} {
			p.set(name)
		}
		_, seen := follow(t, p)
		time.Sleep(time.Second)
		p.do(func(p *platform) { p.away = true })
		time.Sleep(5 * time.Second)
		p.delete("a")
		p.delete("b")
		p.do(func(p *platform) { p.away = false })
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

// When the platform loses most entries in an outage that no call of this VM noticed, they must stay until they had the time to
// come back: without that a VM knew no instance of a service for half a second (recorded day inc-a610). Single entries that go
// are gone at once.
func TestUnseenLapse(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		all := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
		for _, name := range all {
			p.set(name)
		}
		_, seen := follow(t, p)
		time.Sleep(time.Second)
		p.delete("i")
		time.Sleep(300 * time.Millisecond)
		is.Equal(seen(), all[:8])
		time.Sleep(2 * massTime)
		for _, name := range all[:8] {
			p.delete(name)
			time.Sleep(60 * time.Millisecond)
		}
		is.Equal(seen(), all[:8])
		for _, name := range all[:6] {
			p.set(name)
		}
		time.Sleep(returnTime / 2)
		is.Equal(seen(), all[:8])
		time.Sleep(returnTime)
		is.Equal(seen(), all[:6])
	})
}

// A VM that the platform turns away must take newer objects from another VM, and never older ones.
func TestOffer(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		m, seen := follow(t, p)
		time.Sleep(time.Second)
		p.do(func(p *platform) { p.away = true })
		v := m.Version()
		m.Offer(Snapshot{Version: v + 5, Objects: []chestnutcleat.Stored{{Name: "a", Version: v + 5}, {Name: "b", Version: v + 4}}})
		is.Equal(seen(), []string{"a", "b"})
		m.Offer(Snapshot{Version: v + 2, Objects: []chestnutcleat.Stored{{Name: "z", Version: v + 2}}})
		is.Equal(seen(), []string{"a", "b"})
		is.Equal(names(m.Offered(0)), []string{"a", "b"})
	})
}

// A VM that learns by a list, or from another VM, that the platform lost most entries must keep them as well until they had
// the time to come back: it has no watch of its own that fails in the outage.
func TestLapseWithoutWatch(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	for name, learn := range map[string]func(t *testing.T, p *platform, m, watching *Mirror) error{
		"list": func(t *testing.T, _ *platform, m, _ *Mirror) error { return m.Refresh(t.Context()) },
		"offer": func(_ *testing.T, _ *platform, m, watching *Mirror) error {
			m.Offer(watching.Offered(m.Version()))
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, is *is.I, p *platform) {
				for _, name := range all {
					p.set(name)
				}
				watching, _ := follow(t, p)
				idle, seen := followIf(t, p, func() bool { return false })
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
				time.Sleep(returnTime)
				is.Equal(seen(), []string{"a", "d"})
			})
		})
	}
}

// A VM that does not watch must cost no calls, and watch again when it should.
func TestWatches(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		var watches atomic.Bool
		_, seen := followIf(t, p, watches.Load)
		time.Sleep(time.Second)
		p.set("b")
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a"})
		watches.Store(true)
		time.Sleep(2 * idleCheck)
		is.Equal(seen(), []string{"a", "b"})
	})
}

// In an outage the VMs that do not watch must hardly call, and learn of its end by themselves if nobody tells them. They
// called as often as the others: an outage of five seconds cost 50 VMs some 1,500 calls.
func TestProbes(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		const pause = 10 * time.Second
		p.set("a")
		var watches atomic.Bool
		watches.Store(true)
		m, seen := followAs(t, p, func(m *Mirror) {
			m.Watches, m.ProbePause = watches.Load, func() time.Duration { return pause }
		})
		time.Sleep(time.Second)
		p.do(func(p *platform) { p.away = true })
		time.Sleep(time.Second)
		is.True(m.Away())
		watches.Store(false)
		time.Sleep(time.Second)
		p.do(func(p *platform) { p.watches = 0 })
		time.Sleep(time.Minute)
		is.True(m.Away()) // a look that was not made does not tell that the platform is back
		p.do(func(p *platform) { is.True(p.watches <= int(time.Minute/pause)) })
		p.do(func(p *platform) { p.away = false })
		p.set("b")
		time.Sleep(pause + time.Second)
		is.True(!m.Away())
		is.Equal(seen(), []string{"a", "b"})
	})
}

// At rest a mirror must cost one waiting call.
func TestRest(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		follow(t, p)
		time.Sleep(10 * time.Minute)
		p.mu.Lock()
		defer p.mu.Unlock()
		is.Equal(p.lists, 1)
	})
}
