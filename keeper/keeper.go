package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/ledger"
)

const (
	// checkInterval is the time between checks of the replica set.
	checkInterval = 300 * time.Millisecond
	// stableChecks is the number of consecutive checks that must want the same change, so that a VM that was suspended
	// does not act on stale data.
	stableChecks = 4
	// bootstrapTimeout is how long creation of the first set waits for enough disks.
	bootstrapTimeout = 5 * time.Second
	// changeTimeout is how long a change begun by another VM may take before this one completes it or rolls it back.
	changeTimeout = 4 * time.Second
	// joinTimeout bounds one attempt to join the next replicas; the next attempt goes on from what was copied.
	joinTimeout = 12 * time.Second
	// maxJoinAttempts is the number of such attempts after which a change is rolled back.
	maxJoinAttempts = 3
)

// Reconciler maintains the replica set from one storage VM. Every storage VM runs one; conditional writes of the platform's
// object decide between them.
type Reconciler struct {
	VM       chestnutcleat.VMID
	Store    *ledger.Store
	Objects  chestnutcleat.ObjectStore
	Observer chestnutcleat.Observer
	// Kind and Name identify the set's object on the platform.
	Kind chestnutcleat.ObjectKind
	Name string
	// ReplicaCount is the desired number of replicas.
	ReplicaCount int
	// Candidates returns all announced disks.
	Candidates func() []Candidate
	// Rank is this VM's position among the live storage VMs; the first one acts first.
	Rank func() int

	mu            sync.Mutex
	set           chestnutcleat.ReplicaSet
	objectVersion chestnutcleat.Version
	// setSince is when this VM first saw the current set.
	setSince time.Time

	proposed  []chestnutcleat.Replica
	checks    int
	startedAt time.Time
}

// Observe applies a newer version of the set's object from the platform.
func (k *Reconciler) Observe(ctx context.Context, o chestnutcleat.StoredObject) error {
	var set chestnutcleat.ReplicaSet
	if err := decode(o, &set); err != nil {
		return err
	}
	k.mu.Lock()
	if o.Version <= k.objectVersion {
		k.mu.Unlock()
		return nil
	}
	k.set, k.objectVersion, k.setSince = set, o.Version, time.Now()
	k.mu.Unlock()
	return k.Store.Adopt(ctx, set)
}

func decode(o chestnutcleat.StoredObject, set *chestnutcleat.ReplicaSet) error {
	if err := json.Unmarshal(o.Data, set); err != nil {
		return fmt.Errorf("decode replica set: %w", err)
	}
	return nil
}

// ReplicaSet returns the replica set as this VM last saw it.
func (k *Reconciler) ReplicaSet() chestnutcleat.ReplicaSet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set
}

// Run checks the replica set periodically until ctx is done.
func (k *Reconciler) Run(ctx context.Context) error {
	k.startedAt = time.Now()
	for chestnutcleat.Sleep(ctx, checkInterval) == nil {
		if err := k.check(ctx); err != nil && ctx.Err() == nil {
			k.Observer.Emit(event.SetFailed, "error", err)
		}
	}
	return nil
}

func (k *Reconciler) check(ctx context.Context) error {
	k.mu.Lock()
	set, objectVersion, since := k.set, k.objectVersion, k.setSince
	k.mu.Unlock()
	switch {
	case objectVersion == 0:
		return k.bootstrap(ctx)
	case len(set.NextDisks) > 0:
		if set.ProposedBy == k.VM || time.Since(since) > changeTimeout*time.Duration(1+k.Rank()) {
			return k.completeChange(ctx, set, objectVersion)
		}
		return nil
	}
	return k.proposeChange(ctx, set, objectVersion)
}

// bootstrap creates the first set once there are enough disks, or after bootstrapTimeout with those available.
func (k *Reconciler) bootstrap(ctx context.Context) error {
	list := SelectDisks(nil, k.Candidates(), k.ReplicaCount)
	if !chestnutcleat.Contains(list, k.Store.Disk()) || time.Since(k.startedAt) < time.Duration(k.Rank())*checkInterval {
		return nil
	}
	if len(list) < k.ReplicaCount && time.Since(k.startedAt) < bootstrapTimeout {
		return nil
	}
	return k.writeSet(ctx, event.SetFinished, chestnutcleat.ReplicaSet{Version: ledger.FirstVersion, Disks: list, ProposedBy: k.VM}, 0)
}

// proposeChange begins a change if the disks that should hold replicas differ from the current ones.
func (k *Reconciler) proposeChange(ctx context.Context, set chestnutcleat.ReplicaSet, objectVersion chestnutcleat.Version) error {
	wanted := SelectDisks(set.Disks, k.Candidates(), k.ReplicaCount)
	if sameDisks(wanted, set.Disks) || len(wanted) == 0 {
		k.checks = 0
		return nil
	}
	if !sameDisks(wanted, k.proposed) {
		k.proposed, k.checks = wanted, 0
	}
	k.checks++
	required := stableChecks
	if sameVMs(set.Disks, wanted) {
		// A VM that announces another disk has lost the previous one for good.
		required = 1
	}
	if k.checks < required*(1+k.Rank()) || !k.readQuorumAlive(set) {
		return nil
	}
	k.checks = 0
	next := chestnutcleat.ReplicaSet{Version: set.Version + 1, Disks: set.Disks, NextDisks: wanted, ProposedBy: k.VM}
	return k.writeSet(ctx, event.SetProposed, next, objectVersion)
}

// readQuorumAlive reports whether enough current replicas are alive to carry out a change: all written records must be
// readable, and no more may be written without these replicas.
func (k *Reconciler) readQuorumAlive(set chestnutcleat.ReplicaSet) bool {
	alive := map[chestnutcleat.DiskID]bool{k.Store.Disk(): true}
	for _, c := range k.Candidates() {
		if c.Alive {
			alive[c.Disk] = true
		}
	}
	return set.HasReadQuorum(func(d chestnutcleat.DiskID) bool { return alive[d] })
}

// completeChange joins all next replicas and makes them the current ones; if that fails for too long, it rolls the change back.
func (k *Reconciler) completeChange(ctx context.Context, set chestnutcleat.ReplicaSet, objectVersion chestnutcleat.Version) error {
	err := k.joinAll(ctx, set)
	if err == nil {
		return k.writeSet(ctx, event.SetFinished, chestnutcleat.ReplicaSet{Version: set.Version + 1, Disks: set.NextDisks, ProposedBy: k.VM}, objectVersion)
	}
	limit := 2 * changeTimeout
	if errors.Is(err, context.DeadlineExceeded) {
		limit = maxJoinAttempts * joinTimeout
	}
	k.mu.Lock()
	timedOut := k.objectVersion == objectVersion && time.Since(k.setSince) > limit
	k.mu.Unlock()
	if !timedOut {
		return err
	}
	rollback := chestnutcleat.ReplicaSet{Version: set.Version + 1, Disks: set.Disks, ProposedBy: k.VM}
	return errors.Join(err, k.writeSet(ctx, event.SetCancelled, rollback, objectVersion))
}

// joinAll joins the next replicas. A current one that does not answer may be skipped if the others are a write quorum,
// as each of them then has all records.
func (k *Reconciler) joinAll(ctx context.Context, set chestnutcleat.ReplicaSet) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	failed := make([]error, len(set.NextDisks))
	var g sync.WaitGroup
	for i, c := range set.NextDisks {
		g.Go(func() {
			if err := k.Store.Join(ctx, c, set); err != nil {
				failed[i] = fmt.Errorf("replica %s of VM %s: %w", c.Disk, c.VM, err)
			}
		})
	}
	g.Wait()
	joined := 0
	for i, c := range set.NextDisks {
		switch {
		case failed[i] == nil:
			joined++
		case !chestnutcleat.Contains(set.Disks, c.Disk):
			return failed[i]
		}
	}
	if joined < chestnutcleat.WriteQuorum(len(set.NextDisks)) {
		return errors.Join(failed...)
	}
	return nil
}

// writeSet replaces the set's object. On a conflict another VM's change has won, which is not an error.
func (k *Reconciler) writeSet(ctx context.Context, id chestnutcleat.EventID, set chestnutcleat.ReplicaSet, objectVersion chestnutcleat.Version) error {
	data, err := json.Marshal(set)
	if err != nil {
		return err
	}
	version, err := k.Objects.Write(ctx, k.Kind, chestnutcleat.StoredObject{Name: k.Name, Version: objectVersion, Data: data})
	if errors.Is(err, chestnutcleat.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	k.Observer.Emit(id, "version", set.Version, "object", version, "disks", vmIDs(set.Disks), "next", vmIDs(set.NextDisks))
	return k.Observe(ctx, chestnutcleat.StoredObject{Name: k.Name, Version: version, Data: data})
}

func vmIDs(list []chestnutcleat.Replica) []chestnutcleat.VMID {
	out := make([]chestnutcleat.VMID, 0, len(list))
	for _, c := range list {
		out = append(out, c.VM)
	}
	return out
}
