package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// Many changes to many VMs: a VM that takes only the changes must end with the same objects as one that watches, whatever was
// added, changed, removed and added again meanwhile. Whole snapshots of 300 objects to 300 VMs were what filled the links.
func TestChangesAddUp(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, func(t *testing.T, is *is.I, p *platform) {
				random := rand.New(rand.NewPCG(seed, 1))
				for i := range 10 {
					p.set(fmt.Sprint(i))
				}
				watching, _ := followAs(t, p, func(m *Mirror) { m.Lapses = false })
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
						follower.Offer(watching.Offered(follower.Version()))
					}
				}
				follower.Offer(watching.Offered(follower.Version()))
				is.Equal(follower.Offered(0).Objects, watching.Offered(0).Objects)
				is.Equal(follower.Version(), watching.Version())
			})
		})
	}
}

// One change must cost a VM that follows one object and not all; changes since a version that this VM did not see come whole.
func TestOfferedChanges(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		for i := range 100 {
			p.set(fmt.Sprint(i))
		}
		m, _ := follow(t, p)
		time.Sleep(time.Second)
		since := m.Version()
		p.set("7")
		p.delete("8")
		time.Sleep(time.Second)
		s := m.Offered(since)
		is.Equal(names(s), []string{"7", "8"})
		is.True(s.Objects[1].Deleted)
		is.Equal(len(m.Offered(since-1).Objects), 99)
		behind := &Mirror{version: since - 1, objects: map[string]chestnutcleat.Stored{"x": {Name: "x"}}}
		behind.Offer(s)
		is.Equal(behind.Version(), since-1) // the changes before are missing
	})
}

// A list that shows nothing new must not raise the version: each VM asked for the whole kind whenever another kind had changed.
func TestListWithoutNews(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		m, _ := follow(t, p)
		time.Sleep(time.Second)
		before := m.Version()
		p.do(func(p *platform) { p.version += 5 }) // of another kind
		is.NoErr(m.Refresh(t.Context()))
		is.Equal(m.Version(), before)
		p.set("b")
		is.NoErr(m.Refresh(t.Context()))
		is.True(m.Version() > before)
	})
}

// A VM that starts must not ask for what is dear at the platform, and must not watch before it knows the fleet.
func TestStart(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		p.set("a")
		const settled = 4 * time.Second
		started := time.Now()
		_, seen := followAs(t, p, func(m *Mirror) {
			m.Watches = func() bool { return time.Since(started) > settled }
			m.Relists = func() bool { return time.Since(started) < settled }
		})
		time.Sleep(1500 * time.Millisecond)
		p.set("b")
		time.Sleep(relistTime + spacing + time.Millisecond)
		is.Equal(seen(), []string{"a", "b"})
		p.do(func(p *platform) {
			is.Equal(p.watches, 0)
			for _, f := range p.asked {
				is.Equal(f, chestnutcleat.Stale)
			}
		})
		time.Sleep(settled)
		p.do(func(p *platform) { is.Equal(p.watches, 1) })
		// History that went is read anew, as a list older than what is known would not do.
		p.do(func(p *platform) { p.dropped = p.version + 1 })
		p.set("c")
		time.Sleep(time.Second)
		p.do(func(p *platform) { is.Equal(p.asked[len(p.asked)-1], chestnutcleat.Fresh) })
	})
}

// An object that vanished in an outage and did not come back must be gone for VMs that ask for the changes later: without a
// word of its end they went on using an instance that is not there.
func TestLapsedIsOfferedAsGone(t *testing.T) {
	play(t, func(t *testing.T, is *is.I, p *platform) {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			p.set(name)
		}
		m, seen := follow(t, p)
		time.Sleep(time.Second)
		behind := &Mirror{}
		behind.Offer(m.Offered(0))
		p.do(func(p *platform) { p.away = true })
		time.Sleep(watchWait)
		p.delete("c")
		p.do(func(p *platform) { p.away = false })
		time.Sleep(time.Second)
		is.Equal(len(seen()), 5) // it may come back
		time.Sleep(returnTime + time.Second)
		is.Equal(len(seen()), 4)
		behind.Offer(m.Offered(behind.Version()))
		is.Equal(names(behind.Offered(0)), []string{"a", "b", "d", "e"})
	})
}
