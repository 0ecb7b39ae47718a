package manifest_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
)

// effectTimeout is the time within which a change must be in effect on every VM.
const effectTimeout = 5 * time.Second

var outage = standin.Faults{Outage: true}

// runFleet runs a test in virtual time on a fleet of n VMs.
func runFleet(t *testing.T, n int, f func(*testing.T, *fleet, *is.I)) {
	synctest.Test(t, func(t *testing.T) { f(t, newFleet(t, n, 0), is.New(t)) })
}

// An accepted manifest must be in effect on every VM within 5 s, also if the platform fails right after, its watch is
// late or a VM was isolated for 2 s.
func TestAcceptedIsInEffectEverywhere(t *testing.T) {
	tests := map[string]func(*fleet){
		"no fault":                      func(*fleet) {},
		"outage right after acceptance": func(f *fleet) { f.platform.SetFaults(outage) },
		"outage, and one VM is isolated": func(f *fleet) {
			f.platform.SetFaults(outage)
			f.isolate(6, true)
			time.Sleep(2 * time.Second)
			f.isolate(6, false)
		},
		"late watch": func(f *fleet) {
			f.platform.SetFaults(standin.Faults{Latency: chestnutcleat.Duration(10 * time.Second)})
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 7, func(t *testing.T, f *fleet, _ *is.I) {
				f.mustApply(0, 1, 0)
				time.Sleep(effectTimeout)
				f.expect(1, 1)
				f.mustApply(3, 2, 1)
				injectFault(f)
				time.Sleep(effectTimeout)
				f.expect(2, 2)
			})
		})
	}
}

// A change whose response was lost must not be reported as rejected and must not be applied twice.
func TestLostResponses(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
		f.platform.SetFaults(standin.Faults{ResponseLossRate: 0.7})
		for i := range 20 {
			r := f.apply(i%7, i+1, chestnutcleat.Revision(i))
			is.NoErr(r.err)
			is.Equal(r.accepted.Revision, chestnutcleat.Revision(i+1))
			time.Sleep(effectTimeout)
			f.expect(chestnutcleat.Revision(i+1), float64(i+1))
		}
	})
}

// Of two concurrent changes with the same base exactly one must be accepted, also if responses are lost.
func TestConcurrentChanges(t *testing.T) {
	for _, lost := range []float64{0, 0.5} {
		runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
			f.mustApply(0, 1, 0)
			time.Sleep(effectTimeout)
			f.platform.SetFaults(standin.Faults{ResponseLossRate: lost})
			for i := range 10 {
				revision := chestnutcleat.Revision(i + 1)
				rates := []int{10 + i, 100 + i}
				a := f.applyAsync(1, manifest.Change{Raw: manifestText(rates[0]), Base: revision, Who: "one"})
				b := f.applyAsync(2, manifest.Change{Raw: manifestText(rates[1]), Base: revision, Who: "two"})
				results := []result{<-a, <-b}
				if results[0].err != nil {
					results[0], results[1] = results[1], results[0]
					rates[0], rates[1] = rates[1], rates[0]
				}
				is.NoErr(results[0].err)
				var conflict *manifest.ConflictError
				is.True(errors.As(results[1].err, &conflict))
				is.Equal(conflict.Revision, revision+1)
				is.Equal(conflict.Diff, []string{`customer "a" differs`})
				time.Sleep(effectTimeout)
				f.expect(revision+1, float64(rates[0]))
			}
		})
	}
}

// A change whose response is lost in an outage must be reported as unknown, unless another VM shows that it was
// accepted. Sending it again must return its outcome.
func TestUnknownOutcome(t *testing.T) {
	tests := map[string]struct {
		// outage is when the platform becomes unavailable: the root is written by the fourth call, after 4 s.
		outage  time.Duration
		unknown bool
	}{
		"before the root is written": {3500 * time.Millisecond, true},
		"after the root is written":  {4500 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
				f.mustApply(0, 1, 0)
				f.platform.SetFaults(standin.Faults{ResponseLossRate: 1, Latency: chestnutcleat.Duration(time.Second)})
				done := f.applyAsync(1, manifest.Change{Raw: manifestText(2), Base: 1, Who: "op", ID: "change"})
				time.Sleep(tt.outage)
				f.platform.SetFaults(outage)
				r := <-done
				var unknown *manifest.UnresolvedError
				is.Equal(errors.As(r.err, &unknown), tt.unknown)
				is.Equal(r.err == nil, !tt.unknown)
				f.platform.SetFaults(standin.Faults{})
				r = <-f.applyAsync(2, manifest.Change{Raw: manifestText(2), Base: 1, Who: "op", ID: "change"})
				is.NoErr(r.err)
				is.Equal(r.accepted.Revision, chestnutcleat.Revision(2))
				time.Sleep(effectTimeout)
				f.expect(2, 2)
			})
		})
	}
}

// A change during an outage must be reported as not accepted and must not take effect later.
func TestOutageRefusesChange(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
		f.mustApply(0, 1, 0)
		time.Sleep(effectTimeout)
		f.platform.SetFaults(outage)
		var unavailable *manifest.UnavailableError
		is.True(errors.As(f.apply(0, 2, 1).err, &unavailable))
		f.platform.SetFaults(standin.Faults{})
		time.Sleep(time.Minute)
		f.expect(1, 1)
	})
}

// A VM that restarts after an hour with an older copy on disk must load the newest revision and every withdrawal, and
// save them to disk.
func TestRestartWithOlderCopy(t *testing.T) {
	for name, down := range map[string]bool{"platform up": false, "platform down": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
				folder := t.TempDir()
				f.kill(6)
				f.nodes[6] = f.start(6, folder)
				f.mustApply(0, 1, 0)
				time.Sleep(effectTimeout)
				f.kill(6)
				f.mustApply(0, 2, 1)
				f.platform.SetFaults(standin.Faults{Outage: down})
				f.withdraw(2, keyA)
				time.Sleep(time.Hour)
				f.nodes[6] = f.start(6, folder)
				is.Equal(f.nodes[6].store.Current().Revision(), chestnutcleat.Revision(1))
				is.True(!f.ready(6))
				time.Sleep(effectTimeout)
				f.expect(2, 2)
				f.expectKey(keyA, chestnutcleat.KeyWithdrawn)
				is.True(f.ready(6))
				f.kill(6)
				f.isolate(6, true)
				f.nodes[6] = f.start(6, folder)
				f.expect(2, 2)
				f.expectKey(keyA, chestnutcleat.KeyWithdrawn)
			})
		})
	}
}

// A withdrawn key may be stolen and must never work again, whatever outages, crashes and later manifests follow.
func TestWithdrawnStaysWithdrawn(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
		f.mustApply(0, 1, 0)
		time.Sleep(effectTimeout)
		f.expectKey(keyA, chestnutcleat.KeyActive)
		f.platform.SetFaults(outage)
		f.withdraw(2, keyA)
		time.Sleep(effectTimeout)
		f.expectKey(keyA, chestnutcleat.KeyWithdrawn)
		for _, n := range f.nodes {
			is.Equal(n.deactivated, []chestnutcleat.Digest{keyA})
		}
		// The VM that was to write the withdrawal to the platform crashes.
		f.kill(2)
		time.Sleep(10 * time.Minute)
		f.platform.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Minute)
		for i := range f.nodes {
			f.kill(i)
		}
		for i := range f.nodes {
			f.nodes[i] = f.start(i, "")
		}
		time.Sleep(effectTimeout)
		f.expectKey(keyA, chestnutcleat.KeyWithdrawn)
		// An older manifest that still lists the key gets a higher revision.
		f.mustApply(0, 1, 1)
		time.Sleep(effectTimeout)
		f.expect(2, 1)
		f.expectKey(keyA, chestnutcleat.KeyWithdrawn)
	})
}

// Messages of other VMs that arrive before Start must not cause a panic.
func TestMessagesBeforeStart(t *testing.T) {
	is := is.New(t)
	s := &manifest.Store{Observer: nopObserver{}}
	s.HandleOffer(manifest.Summary{Revision: 1, Latest: []manifest.Key{{Digest: keyA, Withdrawn: true}}}, "v1")
	is.Equal(s.Fetch(manifest.FetchRequest{Root: true, Keys: true}), manifest.FetchReply{})
	_, state := s.Current().LookupKey(keyA)
	is.Equal(state, chestnutcleat.KeyUnknown)
}

// A key that a new manifest no longer lists must become invalid, also for requests in progress.
func TestRemovedKeyEnds(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
		f.mustApply(0, 1, 0)
		time.Sleep(effectTimeout)
		without := strings.Replace(string(manifestText(1)), `, "keys": ["`+keyA.String()+`"]`, "", 1)
		is.NoErr((<-f.applyAsync(1, manifest.Change{Raw: []byte(without), Base: 1, Who: "op"})).err)
		time.Sleep(effectTimeout)
		f.expectKey(keyA, chestnutcleat.KeyUnknown)
		for _, n := range f.nodes {
			is.Equal(n.deactivated, []chestnutcleat.Digest{keyA})
		}
	})
}

// In a fleet of 400 VMs, gossip alone spreads a change or a withdrawal too slowly while the platform is unavailable.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 400, 0.02)
		f.mustApply(0, 1, 0)
		time.Sleep(effectTimeout)
		f.expect(1, 1)
		f.mustApply(399, 2, 1)
		f.platform.SetFaults(outage)
		f.withdraw(200, keyA)
		time.Sleep(effectTimeout)
		f.expect(2, 2)
		f.expectKey(keyA, chestnutcleat.KeyWithdrawn)
	})
}

// The many parts of a large first manifest must be written within the timeout of one change, also on a slow platform.
func TestLargeManifestOnSlowPlatform(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet, is *is.I) {
		f.platform.SetFaults(standin.Faults{Latency: chestnutcleat.Duration(5 * time.Second)})
		is.NoErr((<-f.applyAsync(0, manifest.Change{Raw: largeManifestText(5000), Who: "op"})).err)
		time.Sleep(effectTimeout)
		f.expect(1, 1)
		is.Equal(len(f.nodes[2].store.Current().Manifest.Customers), 5002)
	})
}

// A given key must work on every VM, also if the platform fails right after, and must never belong to two customers.
func TestGive(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
		f.mustApply(0, 1, 0)
		time.Sleep(effectTimeout)
		d := chestnutcleat.DigestOf([]byte("new key"))
		give := func(i int, c chestnutcleat.CustomerID) chan error {
			done := make(chan error, 1)
			n := f.nodes[i]
			n.loop.Post(func() { n.store.Give(d, c, "op", func(err error) { done <- err }) })
			return done
		}
		f.platform.SetFaults(standin.Faults{ResponseLossRate: 0.5})
		a, b := give(1, "a"), give(2, "b")
		errA, errB := <-a, <-b
		is.True((errA == nil) != (errB == nil))
		f.platform.SetFaults(outage)
		time.Sleep(effectTimeout)
		f.expectKey(d, chestnutcleat.KeyActive)
		f.platform.SetFaults(standin.Faults{})
		var invalid *manifest.InvalidError
		is.True(errors.As(<-give(1, "nobody"), &invalid))
	})
}

// Audit records must survive an outage in order, and a lost response must not duplicate them.
func TestAudit(t *testing.T) {
	runFleet(t, 7, func(t *testing.T, f *fleet, is *is.I) {
		f.mustApply(0, 1, 0)
		f.platform.SetFaults(outage)
		f.withdraw(0, keyA)
		time.Sleep(10 * time.Minute)
		f.platform.SetFaults(standin.Faults{ResponseLossRate: 0.5})
		time.Sleep(10 * time.Minute)
		is.True(f.apply(0, 2, 7).err != nil)
		time.Sleep(time.Minute)
		list, err := manifest.ReadAudit(t.Context(), &standin.Client{Store: f.platform, Name: "reader"}, "")
		is.NoErr(err)
		var got []string
		for _, r := range list {
			got = append(got, r.What+" "+string(r.Result))
		}
		is.Equal(got, []string{"apply manifest accepted", "withdraw key " + keyA.String() + " accepted", "apply manifest conflict"})
	})
}

// The cleanup must delete parts that no root uses, but keep a part that a later root uses again.
func TestCleanupKeepsUsedParts(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet, is *is.I) {
		for i, rate := range []int{1, 2, 3, 2} {
			f.mustApply(0, rate, chestnutcleat.Revision(i))
			time.Sleep(10 * time.Minute)
		}
		time.Sleep(2 * time.Hour)
		list, err := (&standin.Client{Store: f.platform, Name: "reader"}).List(t.Context(), "manifest/parts/")
		is.NoErr(err)
		is.Equal(len(list), 1)
		for i := range f.nodes {
			f.kill(i)
		}
		for i := range f.nodes {
			f.nodes[i] = f.start(i, "")
		}
		time.Sleep(effectTimeout)
		f.expect(4, 2)
	})
}

// VMs that poll the platform while idle would exceed its rate limit as the fleet grows.
func TestIdleCalls(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet, is *is.I) {
		f.mustApply(0, 1, 0)
		time.Sleep(2 * time.Hour)
		before := f.platform.Counts()
		time.Sleep(10 * time.Minute)
		for name, c := range f.platform.Counts() {
			is.Equal(c.Calls-c.Watches, before[name].Calls-before[name].Watches)
			is.True(c.Watches-before[name].Watches <= 21)
		}
	})
}
