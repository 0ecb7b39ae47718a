package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// testConfirmInterval is the time between the lists of other VMs in these tests.
const testConfirmInterval = 667 * time.Millisecond

// runConfirmed runs a mirror in a fleet whose other VMs list the kind in turn, as long as the platform answers them; a negative delay means that
// this VM doesn't hear of their lists.
func runConfirmed(t *testing.T, p *fakePlatform, shouldWatch func() bool, delay time.Duration) (m *Mirror, seen func() []string) {
	m, seen = runMirrorWith(t, p, func(m *Mirror) {
		m.ConfirmInterval, m.ShouldWatch = testConfirmInterval, shouldWatch
		m.ProbeInterval = func() time.Duration { return time.Hour }
	})
	go func() {
		for chestnutcleat.Sleep(t.Context(), testConfirmInterval-max(0, delay)) == nil {
			var unreachable bool
			p.withLock(func(p *fakePlatform) { unreachable = p.unreachable })
			if delay < 0 || unreachable || chestnutcleat.Sleep(t.Context(), delay) != nil {
				continue
			}
			m.Confirm(m.Version(), delay)
			m.AnsweredOther(delay)
		}
	}()
	return m, seen
}

// failOnce makes one call of a watching VM fail while the platform answers all others.
func failOnce(m *Mirror) { m.markUnreachable(errUnreachable) }

// An instance that is removed must not be used on because a call of this VM failed just before: the platform answered the other VMs all the
// while, so nothing can have lapsed. Requests reached such instances for 2.5 s, longer than instances that leave serve.
func TestFailedCallIsNoOutage(t *testing.T) {
	for name, tt := range map[string]struct {
		steadyFor, delay time.Duration
		seen             []string
	}{
		"platform is steady":            {2 * steadyTime, 0, []string{"b", "c", "d"}},
		"news of other VMs come late":   {2 * steadyTime, 400 * time.Millisecond, []string{"b", "c", "d"}},
		"fleet has just started":        {steadyTime / 2, 0, []string{"a", "b", "c", "d"}},
		"no news of other VMs":          {2 * steadyTime, -1, []string{"a", "b", "c", "d"}},
		"news are older than an outage": {2 * steadyTime, 30 * time.Second, []string{"a", "b", "c", "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
				for _, name := range []string{"a", "b", "c", "d"} {
					p.set(name)
				}
				m, seen := runConfirmed(t, p, nil, tt.delay)
				time.Sleep(tt.steadyFor)
				failOnce(m)
				p.delete("a")
				time.Sleep(500 * time.Millisecond)
				is.Equal(seen(), tt.seen)
			})
		})
	}
}

// Instances that are removed together, as at a release, must not be taken for those of an outage while the platform answers: requests reached
// them for 2.5 s.
func TestMassDeletionOfSteadyPlatform(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		for _, name := range []string{"a", "b", "c", "d"} {
			p.set(name)
		}
		_, seen := runConfirmed(t, p, nil, 100*time.Millisecond)
		time.Sleep(2 * steadyTime)
		p.delete("a")
		p.delete("b")
		time.Sleep(500 * time.Millisecond)
		is.Equal(seen(), []string{"c", "d"})
	})
}

// An outage of the platform that all VMs see must still retain what lapses in it, whatever a VM's own calls noticed.
func TestOutageIsNotSteady(t *testing.T) {
	for _, outage := range []time.Duration{maxNoticedOutage, 5 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
				for _, name := range []string{"a", "b", "c", "d"} {
					p.set(name)
				}
				_, seen := runConfirmed(t, p, nil, 0)
				time.Sleep(2 * steadyTime)
				p.withLock(func(p *fakePlatform) { p.unreachable = true })
				time.Sleep(outage)
				p.delete("a")
				p.delete("b")
				p.withLock(func(p *fakePlatform) { p.unreachable = false })
				time.Sleep(time.Second)
				is.Equal(seen(), []string{"a", "b", "c", "d"})
				time.Sleep(outageRetention)
				is.Equal(seen(), []string{"c", "d"})
			})
		})
	}
}

// A VM that doesn't watch must not hold the platform to be away for longer than the others do: it made no call for half a minute and more,
// and did not learn anything from their answers. Its own last failure counts more than older answers to others.
func TestIdleVMLearnsThatPlatformIsBack(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		m, _ := runConfirmed(t, p, func() bool { return false }, 100*time.Millisecond)
		time.Sleep(time.Second)
		p.withLock(func(p *fakePlatform) { p.unreachable = true })
		failOnce(m)
		time.Sleep(10 * time.Second)
		is.True(m.Unreachable())
		p.withLock(func(p *fakePlatform) { p.unreachable = false })
		time.Sleep(2 * time.Second)
		is.True(!m.Unreachable())
		failOnce(m)
		m.AnsweredOther(forgiveTime / 2)
		is.True(m.Unreachable())
	})
}

// What other VMs confirm counts only for what this VM knows, or a VM that is behind would take its state for the present one.
func TestConfirmedByOthers(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		p.set("a")
		m, _ := runMirrorIf(t, p, func() bool { return false })
		time.Sleep(time.Minute)
		m.Confirm(m.Version()+1, time.Second)
		_, ok := m.Confirmed()
		is.True(!ok) // a stale list confirms nothing
		m.Confirm(m.Version(), time.Second)
		m.Confirm(m.Version(), time.Minute)
		age, ok := m.Confirmed()
		is.True(ok)
		is.Equal(age, time.Second)
		time.Sleep(time.Second)
		is.NoErr(m.Refresh(t.Context()))
		age, _ = m.Confirmed()
		is.Equal(age, time.Duration(0))
	})
}
