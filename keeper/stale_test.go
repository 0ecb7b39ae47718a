package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

// actAs runs a second reconciler of a storage VM that knows only the given version of the set's object, as a process does that woke
// from a freeze.
func (c *cluster) actAs(s *storageVM, o chestnutcleat.StoredObject) error {
	r := &Reconciler{
		VM: s.id, Store: s.reconciler.Store, Objects: c.objects, Observer: noopObserver{}, Kind: setKind, Name: setName, ReplicaCount: c.replicas,
		Candidates: c.candidates, Rank: func() int { return 0 },
	}
	if err := r.Observe(c.ctx, o); err != nil {
		return err
	}
	go func() { _ = r.Run(c.ctx) }()
	return nil
}

// withSet returns a version of the set's object that holds the given set.
func withSet(o chestnutcleat.StoredObject, set chestnutcleat.ReplicaSet) (chestnutcleat.StoredObject, error) {
	data, err := json.Marshal(set)
	o.Data = data
	return o, err
}

// waitForChange returns the set's object while a change is in progress.
func (c *cluster) waitForChange() (chestnutcleat.StoredObject, error) {
	for range 1000 {
		o, _ := c.objects.get()
		set, err := DecodeReplicaSet(o)
		if err != nil {
			return o, err
		}
		if len(set.NextDisks) > 0 {
			return o, nil
		}
		time.Sleep(time.Millisecond)
	}
	return chestnutcleat.StoredObject{}, fmt.Errorf("no change began")
}

// A storage VM that acts on an old version of the replica set, as after a freeze, must change nothing: neither with a change that
// it finds necessary, nor with one that it had begun and others finished.
func TestStaleVMChangesNothing(t *testing.T) {
	for _, name := range []string{"before the change", "within the change"} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 4, 3, 1, func(_ context.Context, t *testing.T, c *cluster) {
				is := is.New(t)
				is.NoErr(c.write("t1", ""))
				stale, _ := c.objects.get()
				c.stopVM(c.vms[2])
				if name == "within the change" {
					time.Sleep(time.Second)
					var err error
					stale, err = c.waitForChange()
					is.NoErr(err)
				}
				time.Sleep(recoveryTime)
				now, _ := c.objects.get()
				is.True(now.Version > stale.Version)
				is.NoErr(c.actAs(c.vms[0], stale))
				time.Sleep(maxJoinAttempts * joinTimeout)
				after, _ := c.objects.get()
				is.Equal(after, now)
				is.Equal(c.memberVMs(), []chestnutcleat.VMID{"s00", "s01", "s03"})
				_, err := c.fetch("t1")
				is.NoErr(err)
				is.NoErr(c.write("t2", "t1"))
			})
		})
	}
}

// Two storage VMs that carry out the same change at once must finish it once, and lose nothing that is written meanwhile.
func TestTwoVMsFinishOneChange(t *testing.T) {
	runCluster(t, 4, 3, 1, func(_ context.Context, t *testing.T, c *cluster) {
		is := is.New(t)
		for n := range 20 {
			is.NoErr(c.write(fmt.Sprint("a", n), ""))
		}
		c.stopVM(c.vms[2])
		time.Sleep(time.Second)
		o, err := c.waitForChange()
		is.NoErr(err)
		set, err := DecodeReplicaSet(o)
		is.NoErr(err)
		for _, s := range c.vms {
			if s.running && s.id != set.ProposedBy {
				// Each VM takes the change for its own, so that none waits.
				own := set
				own.ProposedBy = s.id
				ownObject, err := withSet(o, own)
				is.NoErr(err)
				is.NoErr(c.actAs(s, ownObject))
			}
		}
		for n := range 20 {
			is.NoErr(c.write(fmt.Sprint("b", n), ""))
		}
		time.Sleep(recoveryTime)
		now, _ := c.objects.get()
		is.Equal(now.Version, o.Version+1)
		is.Equal(c.client.ReplicaSet().Version, set.Version+1)
		for n := range 20 {
			_, err := c.fetch(fmt.Sprint("a", n))
			is.NoErr(err)
			_, err = c.fetch(fmt.Sprint("b", n))
			is.NoErr(err)
		}
	})
}

// A storage VM that is silent for a moment must keep its place, as copying its records costs more than waiting. One that is replaced after
// a longer silence must not get its place back when it returns: the records would be copied once more, and again with its next silence.
func TestSilentVMReturns(t *testing.T) {
	for name, tt := range map[string]struct {
		silence time.Duration
		want    []chestnutcleat.VMID
	}{
		"brief":                {checkInterval * (stableChecks - 1), []chestnutcleat.VMID{"s00", "s01", "s02"}},
		"longer":               {5 * time.Second, []chestnutcleat.VMID{"s00", "s01", "s03"}},
		"while it is replaced": {checkInterval * (stableChecks + 1), []chestnutcleat.VMID{"s00", "s01", "s03"}},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 4, 3, 1, func(_ context.Context, t *testing.T, c *cluster) {
				is := is.New(t)
				var written []string
				write := func(n int) {
					id := fmt.Sprint("t", n)
					is.NoErr(c.write(id, ""))
					written = append(written, id)
				}
				write(0)
				c.setPartitioned(c.vms[2], true)
				time.Sleep(tt.silence / 2)
				write(1)
				time.Sleep(tt.silence / 2)
				c.setPartitioned(c.vms[2], false)
				write(2)
				time.Sleep(recoveryTime)
				is.Equal(c.memberVMs(), tt.want)
				settled, _ := c.objects.get()
				time.Sleep(2 * recoveryTime)
				after, _ := c.objects.get()
				is.Equal(after, settled)
				write(3)
				for _, id := range written {
					_, err := c.fetch(id)
					is.NoErr(err)
				}
			})
		})
	}
}

// An entry VM that was frozen while two disks of the set were replaced still knows the old set, and so do the storage VMs of these disks
// when they return. What these would acknowledge together must be refused, or be written to the present set.
func TestStaleEntryVMLosesNothing(t *testing.T) {
	runCluster(t, 5, 3, 1, func(ctx context.Context, t *testing.T, c *cluster) {
		is := is.New(t)
		old := c.client.ReplicaSet()
		is.Equal(vmIDs(old.Disks), []chestnutcleat.VMID{"s00", "s01", "s02"})
		for _, n := range []int{2, 1} {
			c.stopVM(c.vms[n])
			time.Sleep(recoveryTime)
		}
		is.Equal(c.memberVMs(), []chestnutcleat.VMID{"s00", "s03", "s04"})
		for _, n := range []int{1, 2} {
			c.startVM(c.vms[n]) // reads the present set from the platform after pollInterval
		}
		// The disk that is in both sets would give the write away to the present one.
		c.network.Block("woken entry", c.vms[0].address)
		woken := &ledger.Client{Peers: c.network.From("woken entry"), Observer: noopObserver{}}
		go func() { _ = woken.Run(ctx) }()
		time.Sleep(time.Millisecond)
		woken.SetReplicaSet(old)
		started := time.Now()
		_, err := woken.Persist(ctx, ledger.Record{
			Kind: ledger.StoreTurn, Customer: "c", Attempt: "t", ExpiresAt: time.Now().Add(time.Hour).Unix(),
		})
		t.Log("written after", time.Since(started), err)
		is.NoErr(err)
		is.True(time.Since(started) < pollInterval) // the storage VMs were stale too
		chain, err := c.fetch("t")
		is.NoErr(err)
		is.Equal(len(chain), 1)
		is.Equal(woken.ReplicaSet().Version, c.client.ReplicaSet().Version)
	})
}
