package entry

import (
	"io"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blocked returns a tracker at which a request is blocked.
func blocked(f Fingerprint) *CrashTracker {
	var t CrashTracker
	for range crashThreshold {
		t.RecordCrash(f)
	}
	return &t
}

// A VM that starts, or that was cut off while the crashes were reported, must learn what the others block (review/5). VMs with the same
// blocks must have the same hash, or they copy them again and again.
func TestBlocksReachVMsThatMissedTheCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const f = Fingerprint(7)
		a := blocked(f)
		time.Sleep(2 * reportWindow)
		var late CrashTracker
		is.True(a.BlocksHash() != late.BlocksHash())
		is.True(late.MergeBlocks(a.Blocks()))
		is.True(late.Blocked(f) && !late.Begin(f))
		is.Equal(a.BlocksHash(), late.BlocksHash())
		is.True(!a.MergeBlocks(late.Blocks()))
		is.True(!late.MergeBlocks(a.Blocks()))
		late.RecordAnswer(f) // by an instance that had the request since before the block
		is.True(a.MergeBlocks(late.Blocks()))
		is.True(!a.Blocked(f) && a.Begin(f))
		is.Equal(a.BlocksHash(), late.BlocksHash())
	})
}

// A request that crashes instances must stay blocked after crashWindow but for a few trials, each by one VM of the fleet: when a block
// ended by itself, three more instances crashed every minute.
func TestTrialsOfBlockedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			f    = Fingerprint(7)
			vms  = 5
			step = 250 * time.Millisecond
		)
		fleet := make([]*CrashTracker, vms)
		for i := range fleet {
			fleet[i] = &CrashTracker{Rank: func() (int, int) { return i, vms }}
		}
		share := func() {
			for _, to := range fleet {
				for _, from := range fleet {
					if to.BlocksHash() != from.BlocksHash() {
						to.MergeBlocks(from.Blocks())
					}
				}
			}
		}
		for range crashThreshold {
			fleet[0].RecordCrash(f)
		}
		share()
		var trials []time.Duration
		started := time.Now()
		for time.Since(started) < 90*time.Minute {
			for _, v := range fleet {
				if !v.Blocked(f) && v.Begin(f) {
					trials = append(trials, time.Since(started))
					v.RecordCrash(f)
				}
			}
			time.Sleep(step)
			share() // the others hear of a trial a while after it
		}
		t.Log(trials)
		is.Equal(len(trials), maxTrials)
		is.True(trials[0] >= crashWindow)
		is.True(trials[1] >= trials[0]+trialBackoff*crashWindow)
		for _, v := range fleet {
			is.True(v.Blocked(f))
		}
	})
}

// A request that is answered in its trial must be served again at all VMs: its instances were at fault.
func TestAnsweredTrialEndsBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const f = Fingerprint(7)
		a := blocked(f)
		var b CrashTracker
		b.MergeBlocks(a.Blocks())
		time.Sleep(crashWindow)
		is.True(!a.Blocked(f) && a.Begin(f))
		b.MergeBlocks(a.Blocks())
		is.True(b.Blocked(f)) // the trial has no answer yet
		a.RecordAnswer(f)
		b.MergeBlocks(a.Blocks())
		is.True(b.Begin(f) && a.Begin(f))
	})
}

// A trial must reach one instance only, also on a route that allows more attempts.
func TestTrialReachesOneInstance(t *testing.T) {
	runInBubble(t, func(*receivedRequest, *http.Request, io.Writer) bool { return false }, func(is *is.I, h *harness) {
		for range 4 {
			_, _, err := h.do(h.t.Context(), "/check/", "poison")
			is.NoErr(err)
		}
		is.Equal(len(h.instances.received()), crashThreshold)
		time.Sleep(crashWindow)
		for range 4 {
			_, _, err := h.do(h.t.Context(), "/check/", "poison")
			is.NoErr(err)
		}
		is.Equal(len(h.instances.received()), crashThreshold+1)
	})
}

// Blocks that no VM can have must be ignored, and a table that is full must not grow.
func TestOddBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a CrashTracker
		for _, b := range []Block{
			{Fingerprint: 1}, {Fingerprint: 1, Generation: 1, Trials: maxTrials + 1}, {Fingerprint: 1, Generation: 1, AgeSeconds: -1},
			{Fingerprint: 1, Generation: 1, AgeSeconds: blockLifetime.Seconds()}, {Fingerprint: 1, Generation: 1, AgeSeconds: math.NaN()},
		} {
			is.True(!a.MergeBlocks([]Block{b}))
		}
		is.Equal(a.BlocksHash(), uint64(0))
		for i := range 2 * maxBlocks {
			a.MergeBlocks([]Block{{Fingerprint: Fingerprint(i), Generation: 1, AgeSeconds: 1}})
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(a.Blocks()), maxBlocks)
		is.True(a.Blocked(2*maxBlocks - 1))
		time.Sleep(blockLifetime)
		is.Equal(len(a.Blocks()), 0)
		is.Equal(a.BlocksHash(), uint64(0))
	})
}
