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
	run  func(c *cluster, s *storageVM)
}

var faults = []fault{
	{"killed", func(c *cluster, s *storageVM) { c.stopVM(s); time.Sleep(2 * time.Second); c.startVM(s) }},
	{"wiped", func(c *cluster, s *storageVM) { c.stopVM(s); c.wipeDisk(s); time.Sleep(time.Second); c.startVM(s) }},
	{"cut", func(c *cluster, s *storageVM) {
		c.setPartitioned(s, true)
		time.Sleep(5 * time.Second)
		c.setPartitioned(s, false)
	}},
	{"replaced", func(c *cluster, s *storageVM) {
		c.stopVM(s)
		time.Sleep(2 * time.Second)
		c.addVM()
	}},
	{"replaced and no longer listed", func(c *cluster, s *storageVM) {
		c.stopVM(s)
		c.mu.Lock()
		s.unlisted = true
		c.mu.Unlock()
		time.Sleep(2 * time.Second)
		c.addVM()
	}},
	{"retired", func(c *cluster, s *storageVM) {
		c.addVM()
		time.Sleep(recoveryTime)
		c.mu.Lock()
		s.retiring = true
		c.mu.Unlock()
		time.Sleep(recoveryTime)
		c.stopVM(s)
	}},
	{"all killed", func(c *cluster, _ *storageVM) {
		for _, s := range c.vms {
			if s.running {
				c.stopVM(s)
				defer c.startVM(s)
			}
		}
		time.Sleep(time.Second)
	}},
	{"platform unavailable", func(c *cluster, s *storageVM) {
		c.setPlatformDown(true)
		c.stopVM(s)
		time.Sleep(5 * time.Second)
		c.startVM(s)
		time.Sleep(2 * time.Second)
		c.setPlatformDown(false)
	}},
	{"platform replies lost", func(c *cluster, s *storageVM) {
		c.objects.mu.Lock()
		c.objects.loseReplies = true
		c.objects.mu.Unlock()
		c.stopVM(s)
		c.wipeDisk(s)
		c.startVM(s)
		time.Sleep(4 * time.Second)
		c.objects.mu.Lock()
		c.objects.loseReplies = false
		c.objects.mu.Unlock()
	}},
}

func (c *cluster) setPlatformDown(down bool) {
	c.objects.mu.Lock()
	defer c.objects.mu.Unlock()
	c.objects.unavailable = down
}

// An acknowledged turn must be found after any series of faults that the cluster tolerates, even when all disks of the
// set have been replaced, and reading a turn that was never written must return ErrNotFound. Without quorums of both the
// current and the next set during a change, a turn acknowledged only by removed disks is lost.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 3, 3, seed, func(_ context.Context, t *testing.T, c *cluster) { runFaultSeries(t, c, seed) })
		})
	}
}

// The same must hold for five replicas on eleven storage VMs.
func TestNothingIsLostWithFiveReplicas(t *testing.T) {
	for seed := range *seeds / 3 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 11, 5, seed, func(_ context.Context, t *testing.T, c *cluster) { runFaultSeries(t, c, seed) })
		})
	}
}

func runFaultSeries(t *testing.T, c *cluster, seed uint64) {
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
			err := c.write(id, "")
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
		running := slices.DeleteFunc(slices.Clone(c.vms), func(s *storageVM) bool {
			return !s.running || !slices.Contains(c.memberVMs(), s.id)
		})
		s := running[r.IntN(len(running))]
		history = append(history, fmt.Sprintf("%s %s", v.name, s.id))
		v.run(c, s)
		time.Sleep(recoveryTime)
		if set := c.client.ReplicaSet(); len(set.NextDisks) > 0 {
			t.Errorf("replica set is still changing %v after faults %v", recoveryTime, history)
		}
	}
	close(stop)
	writer.Wait()
	for _, id := range written {
		if _, err := c.fetch(id); err != nil {
			t.Errorf("fetch turn %s of %d written: %v, after faults %v", id, len(written), err, history)
			break
		}
	}
	if _, err := c.fetch("never"); !errors.Is(err, chestnutcleat.ErrNotFound) {
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
			runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, c *cluster) {
				c.mu.Lock()
				c.vms[0].retiring = true
				c.mu.Unlock()
				time.Sleep(recoveryTime)
				c.stopVM(c.vms[0])
				write := func(id string) {
					if err := c.write(id, ""); err != nil {
						t.Errorf("write %s: %v", id, err)
					}
				}
				write("before")
				c.stopVM(c.vms[1])
				if v == "wiped" {
					c.wipeDisk(c.vms[1])
				} else {
					time.Sleep(recoveryTime)
					write("alone")
				}
				c.startVM(c.vms[1])
				time.Sleep(recoveryTime)
				write("after")
				c.stopVM(c.vms[2])
				c.wipeDisk(c.vms[2])
				c.startVM(c.vms[2])
				time.Sleep(recoveryTime)
				for _, id := range []string{"before", "after"} {
					if _, err := c.fetch(id); err != nil {
						t.Errorf("fetch turn %s: %v", id, err)
					}
				}
				if n := len(c.memberVMs()); n != 2 {
					t.Errorf("%d replicas, want 2", n)
				}
			})
		})
	}
}

// Draining two storage VMs one after the other must not leave a single replica: in one randomized run its disk was then lost,
// and no turn could be served until the end of the run.
func TestRetirementKeepsQuorum(t *testing.T) {
	runCluster(t, 3, 3, 1, func(_ context.Context, t *testing.T, c *cluster) {
		is := is.New(t)
		for _, s := range c.vms[:2] {
			c.mu.Lock()
			s.retiring = true
			c.mu.Unlock()
			time.Sleep(recoveryTime)
		}
		is.NoErr(c.write("before", ""))
		c.stopVM(c.vms[2])
		c.wipeDisk(c.vms[2])
		c.startVM(c.vms[2])
		time.Sleep(recoveryTime)
		is.NoErr(c.write("after", ""))
		_, err := c.fetch("before")
		is.NoErr(err)
		c.addVM()
		time.Sleep(recoveryTime)
		is.Equal(c.memberVMs(), []chestnutcleat.VMID{"s02", "s03"}) // another VM takes the place of the second one
		_, err = c.fetch("before")
		is.NoErr(err)
	})
}

// Two replicas must both hold each write, so writes wait until a lost disk is replaced: that must happen as soon as its VM is back.
func TestNewDiskReplacesOldAtOnce(t *testing.T) {
	runCluster(t, 2, 3, 1, func(_ context.Context, t *testing.T, c *cluster) {
		is := is.New(t)
		time.Sleep(recoveryTime)
		is.NoErr(c.write("before", ""))
		c.stopVM(c.vms[1])
		c.wipeDisk(c.vms[1])
		c.startVM(c.vms[1])
		back := time.Now()
		for c.write("after", "") != nil {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("written after %v", time.Since(back))
		is.True(time.Since(back) < stableChecks*checkInterval)
	})
}

// While too few replicas answer, a write must fail at once instead of at its request's deadline; once they are back, writes
// must succeed again.
func TestWriteFailsFastWithoutQuorum(t *testing.T) {
	runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, c *cluster) {
		c.setPartitioned(c.vms[0], true)
		c.setPartitioned(c.vms[1], true)
		_ = c.write("first", "") // marks the replicas as unreachable
		start := time.Now()
		if err := c.write("second", ""); !errors.Is(err, ledger.ErrNoQuorum) || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		// Asynchronous writes are retried later: a dropped settlement would leave its reservation in place for good.
		r := ledger.Record{Kind: ledger.Settle, Customer: "c", Program: "p", Attempt: "a", Tokens: 5, ExpiresAt: time.Now().Add(time.Hour).Unix()}
		c.client.WriteAsync(r)
		c.setPartitioned(c.vms[0], false)
		time.Sleep(2 * time.Second)
		if err := c.write("third", ""); err != nil {
			t.Error(err)
		}
		r.Kind, r.Attempt = ledger.Reserve, "b"
		others, err := c.client.TryWrite(ctx, r)
		if err != nil || len(others) != 1 || others[0].Tokens != 5 {
			t.Errorf("attempts %v, error %v", others, err)
		}
	})
}

// Concurrent reservations must not exceed the budget together, and sequential ones must be able to use it up.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	runCluster(t, 3, 3, 7, func(ctx context.Context, t *testing.T, c *cluster) {
		granted := make(chan chestnutcleat.Tokens, 1000)
		var g sync.WaitGroup
		for worker := range 4 {
			g.Go(func() {
				for i := range 40 {
					id := chestnutcleat.RequestID(fmt.Sprintf("%d-%d", worker, i))
					r := ledger.Record{Kind: ledger.Reserve, Customer: "c", Program: "p", Attempt: id, Tokens: 30, ExpiresAt: time.Now().Add(time.Hour).Unix()}
					writeCtx, cancel := context.WithTimeout(ctx, time.Second)
					others, err := c.client.TryWrite(writeCtx, r)
					cancel()
					if err == nil && ledger.Fits(budget, others, 30) {
						granted <- 30
					} else {
						r.Kind, r.Tokens = ledger.Settle, 0
						c.client.WriteAsync(r)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, v := range faults[:3] {
			v.run(c, c.vms[0])
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
	runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, c *cluster) {
		is := is.New(t)
		c.setPartitioned(c.vms[0], true)
		c.setPartitioned(c.vms[1], true)
		_ = c.write("first", "") // marks the replicas as unreachable
		time.AfterFunc(time.Second, func() {
			c.setPartitioned(c.vms[0], false)
		})
		writeCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		_, err := c.client.Persist(writeCtx, ledger.Record{Kind: ledger.StoreTurn, Customer: "c", Attempt: "kept", ExpiresAt: time.Now().Add(time.Hour).Unix()})
		is.NoErr(err)
		cancel()
	})
}

// When a disk is replaced, only the new replica may copy records, and each record once. When all replicas copied from all
// others, five small VMs with a minute of stored turns did not finish within the time limit, and writes were refused meanwhile.
func TestReplacementCopiesEachRecordOnce(t *testing.T) {
	runCluster(t, 5, 5, 1, func(ctx context.Context, t *testing.T, c *cluster) {
		const turns, size = 400, 8 << 10
		is := is.New(t)
		is.NoErr(c.writeLarge(ctx, turns, size))
		before := make([]int, len(c.vms))
		for i, s := range c.vms {
			before[i] = c.network.Traffic(s.address).Bytes
		}
		c.stopVM(c.vms[4])
		c.wipeDisk(c.vms[4])
		c.startVM(c.vms[4])
		time.Sleep(recoveryTime)
		for i, s := range c.vms {
			n := c.network.Traffic(s.address).Bytes - before[i]
			t.Logf("%s: %d bytes for %d of records", s.id, n, turns*size)
			is.True(n < 5*turns*size/4)
			is.True(i < 4 == (n < turns*size*3/4) || i == 0)
		}
		is.Equal(len(c.client.ReplicaSet().NextDisks), 0)
		is.True(chestnutcleat.Contains(c.client.ReplicaSet().Disks, c.vms[4].disk))
	})
}

// The records of a replaced disk must be back within the time after which further disks may be lost, on VMs whose links are slow: from
// one of the others alone they take longer.
func TestReplacementCopiesFromAllReplicas(t *testing.T) {
	runCluster(t, 5, 5, 1, func(ctx context.Context, t *testing.T, c *cluster) {
		const turns, size, catchUpTime = 400, 8 << 10, 4 * time.Second
		is := is.New(t)
		is.NoErr(c.writeLarge(ctx, turns, size))
		c.network.SetBytesPerSecond(turns * size / 5)
		c.stopVM(c.vms[4])
		c.wipeDisk(c.vms[4])
		c.startVM(c.vms[4])
		time.Sleep(catchUpTime)
		set := c.client.ReplicaSet()
		is.Equal(len(set.NextDisks), 0)
		is.True(chestnutcleat.Contains(set.Disks, c.vms[4].disk))
	})
}
