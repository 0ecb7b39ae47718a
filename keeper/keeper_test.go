package keeper

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

// seeds is the number of fault series; `go test ./keeper -run Acknowledged -seeds 200` runs more by hand.
var seeds = flag.Uint64("seeds", 12, "number of fault series to run")

// fault injects one fault into a storage VM and returns once the cluster can tolerate the next one.
type fault struct {
	name string
	run  func(f *cluster, s *storageVM)
}

var faults = []fault{
	{"killed", func(f *cluster, s *storageVM) { f.stopVM(s); time.Sleep(2 * time.Second); f.startVM(s) }},
	{"wiped", func(f *cluster, s *storageVM) { f.stopVM(s); f.wipeDisk(s); time.Sleep(time.Second); f.startVM(s) }},
	{"cut", func(f *cluster, s *storageVM) {
		f.setPartitioned(s, true)
		time.Sleep(5 * time.Second)
		f.setPartitioned(s, false)
	}},
	{"replaced", func(f *cluster, s *storageVM) {
		f.stopVM(s)
		time.Sleep(2 * time.Second)
		f.addVM()
	}},
	{"replaced and no longer listed", func(f *cluster, s *storageVM) {
		f.stopVM(s)
		f.mu.Lock()
		s.unlisted = true
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		f.addVM()
	}},
	{"retired", func(f *cluster, s *storageVM) {
		f.addVM()
		time.Sleep(recoveryTime)
		f.mu.Lock()
		s.retiring = true
		f.mu.Unlock()
		time.Sleep(recoveryTime)
		f.stopVM(s)
	}},
	{"all killed", func(f *cluster, _ *storageVM) {
		for _, s := range f.vms {
			if s.running {
				f.stopVM(s)
				defer f.startVM(s)
			}
		}
		time.Sleep(time.Second)
	}},
	{"platform unavailable", func(f *cluster, s *storageVM) {
		f.setPlatformDown(true)
		f.stopVM(s)
		time.Sleep(5 * time.Second)
		f.startVM(s)
		time.Sleep(2 * time.Second)
		f.setPlatformDown(false)
	}},
	{"platform replies lost", func(f *cluster, s *storageVM) {
		f.objects.mu.Lock()
		f.objects.loseReplies = true
		f.objects.mu.Unlock()
		f.stopVM(s)
		f.wipeDisk(s)
		f.startVM(s)
		time.Sleep(4 * time.Second)
		f.objects.mu.Lock()
		f.objects.loseReplies = false
		f.objects.mu.Unlock()
	}},
}

func (f *cluster) setPlatformDown(down bool) {
	f.objects.mu.Lock()
	defer f.objects.mu.Unlock()
	f.objects.unavailable = down
}

// An acknowledged turn must be found after any series of faults that the cluster tolerates, even when all disks of the
// set have been replaced, and reading a turn that was never written must return ErrNotFound. Without quorums of both the
// current and the next set during a change, a turn acknowledged only by removed disks is lost.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 3, 3, seed, func(_ context.Context, t *testing.T, f *cluster) { runFaultSeries(t, f, seed) })
		})
	}
}

// The same must hold for five replicas on eleven storage VMs.
func TestNothingIsLostWithFiveReplicas(t *testing.T) {
	for seed := range *seeds / 3 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 11, 5, seed, func(_ context.Context, t *testing.T, f *cluster) { runFaultSeries(t, f, seed) })
		})
	}
}

func runFaultSeries(t *testing.T, f *cluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var written []string
	failed := 0
	var writer sync.WaitGroup
	stop := make(chan struct{})
	writer.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			id := fmt.Sprintf("t%05d", i)
			err := f.write(id, "")
			mu.Lock()
			if err == nil {
				written = append(written, id)
			} else {
				failed++
			}
			mu.Unlock()
		}
	})
	var history []string
	for range 8 {
		v := faults[r.IntN(len(faults))]
		running := slices.DeleteFunc(slices.Clone(f.vms), func(s *storageVM) bool {
			return !s.running || !slices.Contains(f.memberVMs(), s.id)
		})
		s := running[r.IntN(len(running))]
		history = append(history, fmt.Sprintf("%s %s", v.name, s.id))
		v.run(f, s)
		time.Sleep(recoveryTime)
		if set := f.client.ReplicaSet(); len(set.NextDisks) > 0 {
			t.Errorf("replica set is still changing %v after faults %v", recoveryTime, history)
		}
	}
	close(stop)
	writer.Wait()
	for _, id := range written {
		if _, err := f.fetch(id); err != nil {
			t.Errorf("fetch turn %s of %d written: %v, after faults %v", id, len(written), err, history)
			break
		}
	}
	if _, err := f.fetch("never"); !errors.Is(err, chestnutcleat.ErrNotFound) {
		t.Errorf("fetch unknown turn: %v, after faults %v", err, history)
	}
	if failed > len(written)/10 {
		t.Errorf("%d writes failed, %d succeeded, after faults %v", failed, len(written), history)
	}
}

// Draining a storage VM without a replacement leaves two replicas. If one then loses its disk, the set must still grow back:
// every write goes to both replicas, so the other one has all records.
func TestTwoReplicasRecover(t *testing.T) {
	for _, v := range []string{"wiped", "killed for long"} {
		t.Run(v, func(t *testing.T) {
			runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, f *cluster) {
				f.mu.Lock()
				f.vms[0].retiring = true
				f.mu.Unlock()
				time.Sleep(recoveryTime)
				f.stopVM(f.vms[0])
				write := func(id string) {
					if err := f.write(id, ""); err != nil {
						t.Errorf("write %s: %v", id, err)
					}
				}
				write("before")
				f.stopVM(f.vms[1])
				if v == "wiped" {
					f.wipeDisk(f.vms[1])
				} else {
					time.Sleep(recoveryTime)
					write("alone")
				}
				f.startVM(f.vms[1])
				time.Sleep(recoveryTime)
				write("after")
				f.stopVM(f.vms[2])
				f.wipeDisk(f.vms[2])
				f.startVM(f.vms[2])
				time.Sleep(recoveryTime)
				for _, id := range []string{"before", "after"} {
					if _, err := f.fetch(id); err != nil {
						t.Errorf("fetch turn %s: %v", id, err)
					}
				}
				if n := len(f.memberVMs()); n != 2 {
					t.Errorf("%d replicas, want 2", n)
				}
			})
		})
	}
}

// Draining two storage VMs one after the other must not leave a single replica: in one randomized run its disk was then lost,
// and no turn could be served until the end of the run.
func TestRetirementKeepsQuorum(t *testing.T) {
	runCluster(t, 3, 3, 1, func(_ context.Context, t *testing.T, f *cluster) {
		is := is.New(t)
		for _, s := range f.vms[:2] {
			f.mu.Lock()
			s.retiring = true
			f.mu.Unlock()
			time.Sleep(recoveryTime)
		}
		is.NoErr(f.write("before", ""))
		f.stopVM(f.vms[2])
		f.wipeDisk(f.vms[2])
		f.startVM(f.vms[2])
		time.Sleep(recoveryTime)
		is.NoErr(f.write("after", ""))
		_, err := f.fetch("before")
		is.NoErr(err)
		f.addVM()
		time.Sleep(recoveryTime)
		is.Equal(f.memberVMs(), []chestnutcleat.VMID{"s02", "s03"}) // another VM takes the place of the second one
		_, err = f.fetch("before")
		is.NoErr(err)
	})
}

// Two replicas must both hold each write, so writes wait until a lost disk is replaced: that must happen as soon as its VM is back.
func TestNewDiskReplacesOldAtOnce(t *testing.T) {
	runCluster(t, 2, 3, 1, func(_ context.Context, t *testing.T, f *cluster) {
		is := is.New(t)
		time.Sleep(recoveryTime)
		is.NoErr(f.write("before", ""))
		f.stopVM(f.vms[1])
		f.wipeDisk(f.vms[1])
		f.startVM(f.vms[1])
		back := time.Now()
		for f.write("after", "") != nil {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("written after %v", time.Since(back))
		is.True(time.Since(back) < stableChecks*checkInterval)
	})
}

// While too few replicas answer, a write must fail at once instead of at its request's deadline; once they are back, writes
// must succeed again.
func TestWriteFailsFastWithoutQuorum(t *testing.T) {
	runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, f *cluster) {
		f.setPartitioned(f.vms[0], true)
		f.setPartitioned(f.vms[1], true)
		_ = f.write("first", "") // marks the replicas as unreachable
		start := time.Now()
		if err := f.write("second", ""); !errors.Is(err, ledger.ErrNoQuorum) || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		// Asynchronous writes are retried later: a dropped settlement would leave its reservation in place for good.
		r := ledger.Record{Kind: ledger.Settle, Customer: "c", Program: "p", Attempt: "a", Tokens: 5, ExpiresAt: time.Now().Add(time.Hour).Unix()}
		f.client.WriteAsync(r)
		f.setPartitioned(f.vms[0], false)
		time.Sleep(2 * time.Second)
		if err := f.write("third", ""); err != nil {
			t.Error(err)
		}
		r.Kind, r.Attempt = ledger.Reserve, "b"
		others, err := f.client.TryWrite(ctx, r)
		if err != nil || len(others) != 1 || others[0].Tokens != 5 {
			t.Errorf("attempts %v, error %v", others, err)
		}
	})
}

// Concurrent reservations must not exceed the budget together, and sequential ones must be able to use it up.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	runCluster(t, 3, 3, 7, func(ctx context.Context, t *testing.T, f *cluster) {
		granted := make(chan chestnutcleat.Tokens, 1000)
		var g sync.WaitGroup
		for worker := range 4 {
			g.Go(func() {
				for i := range 40 {
					id := chestnutcleat.RequestID(fmt.Sprintf("%d-%d", worker, i))
					r := ledger.Record{Kind: ledger.Reserve, Customer: "c", Program: "p", Attempt: id, Tokens: 30, ExpiresAt: time.Now().Add(time.Hour).Unix()}
					wait, done := context.WithTimeout(ctx, time.Second)
					others, err := f.client.TryWrite(wait, r)
					done()
					if err == nil && ledger.Fits(budget, others, 30) {
						granted <- 30
					} else {
						r.Kind, r.Tokens = ledger.Settle, 0
						f.client.WriteAsync(r)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, v := range faults[:3] {
			v.run(f, f.vms[0])
			time.Sleep(recoveryTime)
		}
		g.Wait()
		close(granted)
		total := chestnutcleat.Tokens(0)
		for n := range granted {
			total += n
		}
		if total > budget || total < budget-60 {
			t.Errorf("granted %d of %d", total, budget)
		}
	})
}

// An answer whose turn must be stored before it ends must not fail because the replicas are unreachable for a moment.
func TestPersistWaitsForReplicas(t *testing.T) {
	runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, f *cluster) {
		is := is.New(t)
		f.setPartitioned(f.vms[0], true)
		f.setPartitioned(f.vms[1], true)
		_ = f.write("first", "") // marks the replicas as unreachable
		time.AfterFunc(time.Second, func() {
			f.setPartitioned(f.vms[0], false)
		})
		wait, done := context.WithTimeout(ctx, 3*time.Second)
		_, err := f.client.Persist(wait, ledger.Record{Kind: ledger.StoreTurn, Customer: "c", Attempt: "kept", ExpiresAt: time.Now().Add(time.Hour).Unix()})
		is.NoErr(err)
		done()
	})
}

// When a disk is replaced, only the new replica may copy records, and each record once. When all replicas copied from all
// others, five small VMs with a minute of stored turns did not finish within the time limit, and writes were refused meanwhile.
func TestReplacementCopiesEachRecordOnce(t *testing.T) {
	runCluster(t, 5, 5, 1, func(ctx context.Context, t *testing.T, f *cluster) {
		const turns, size = 400, 8 << 10
		is := is.New(t)
		for i := range turns {
			_, err := f.client.TryWrite(ctx, ledger.Record{
				Kind: ledger.StoreTurn, Customer: "c", Attempt: chestnutcleat.RequestID(fmt.Sprint(i)), Input: make([]byte, size), ExpiresAt: time.Now().Add(time.Hour).Unix(),
			})
			is.NoErr(err)
		}
		before := make([]int, len(f.vms))
		for i, s := range f.vms {
			before[i] = f.network.Traffic(s.address).Bytes
		}
		f.stopVM(f.vms[4])
		f.wipeDisk(f.vms[4])
		f.startVM(f.vms[4])
		time.Sleep(recoveryTime)
		for i, s := range f.vms {
			n := f.network.Traffic(s.address).Bytes - before[i]
			t.Logf("%s: %d bytes for %d of records", s.id, n, turns*size)
			is.True(n < 5*turns*size/4)
			is.True(i < 4 == (n < turns*size*3/4) || i == 0)
		}
		is.Equal(len(f.client.ReplicaSet().NextDisks), 0)
		is.True(chestnutcleat.Contains(f.client.ReplicaSet().Disks, f.vms[4].disk))
	})
}
