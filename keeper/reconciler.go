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

	// proposed is the set of disks that the latest checks wanted, and checks the number of these. Only Run uses them.
	proposed  []chestnutcleat.Replica
	checks    int
	startedAt time.Time
}

// Observe applies a newer version of the set's object from the platform.
func (r *Reconciler) Observe(ctx context.Context, o chestnutcleat.StoredObject) error {
	set, err := DecodeReplicaSet(o)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if o.Version <= r.objectVersion {
		r.mu.Unlock()
		return nil
	}
	r.set, r.objectVersion, r.setSince = set, o.Version, time.Now()
	r.mu.Unlock()
	return r.Store.Adopt(ctx, set)
}

// DecodeReplicaSet decodes the object that holds the replica set; a set without replicas gives an error.
func DecodeReplicaSet(o chestnutcleat.StoredObject) (chestnutcleat.ReplicaSet, error) {
	if err := o.Err(); err != nil {
		return chestnutcleat.ReplicaSet{}, fmt.Errorf("decode replica set: %w", err)
	}
	var set chestnutcleat.ReplicaSet
	if err := json.Unmarshal(o.Data, &set); err != nil {
		return chestnutcleat.ReplicaSet{}, fmt.Errorf("decode replica set: %w", err)
	}
	if set.Version < ledger.FirstVersion || len(set.Disks) == 0 {
		return chestnutcleat.ReplicaSet{}, fmt.Errorf("decode replica set: version %d with %d replicas", set.Version, len(set.Disks))
	}
	return set, nil
}

// ReplicaSet returns the replica set as this VM last saw it.
func (r *Reconciler) ReplicaSet() chestnutcleat.ReplicaSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set
}

// Run checks the replica set periodically until ctx is done.
func (r *Reconciler) Run(ctx context.Context) error {
	r.startedAt = time.Now()
	for chestnutcleat.Sleep(ctx, checkInterval) == nil {
		if err := r.check(ctx); err != nil && ctx.Err() == nil {
			r.Observer.Emit(event.ReplicaSetChangeFailed, "error", err)
		}
	}
	return nil
}

func (r *Reconciler) check(ctx context.Context) error {
	r.mu.Lock()
	set, objectVersion, since := r.set, r.objectVersion, r.setSince
	r.mu.Unlock()
	switch {
	case objectVersion == 0:
		return r.bootstrap(ctx)
	case len(set.NextDisks) > 0:
		if set.ProposedBy == r.VM || time.Since(since) > changeTimeout*time.Duration(1+r.Rank()) {
			return r.completeChange(ctx, set, objectVersion)
		}
		return nil
	}
	return r.proposeChange(ctx, set, objectVersion)
}

// bootstrap creates the first set once there are enough disks, or after bootstrapTimeout with those available.
func (r *Reconciler) bootstrap(ctx context.Context) error {
	list := SelectDisks(nil, r.Candidates(), r.ReplicaCount)
	if !chestnutcleat.Contains(list, r.Store.Disk()) || time.Since(r.startedAt) < time.Duration(r.Rank())*checkInterval {
		return nil
	}
	if len(list) < r.ReplicaCount && time.Since(r.startedAt) < bootstrapTimeout {
		return nil
	}
	return r.writeSet(ctx, event.ReplicaSetChangeFinished, chestnutcleat.ReplicaSet{Version: ledger.FirstVersion, Disks: list, ProposedBy: r.VM}, 0)
}

// proposeChange begins a change if the disks that should hold replicas differ from the current ones.
func (r *Reconciler) proposeChange(ctx context.Context, set chestnutcleat.ReplicaSet, objectVersion chestnutcleat.Version) error {
	wanted := SelectDisks(set.Disks, r.Candidates(), r.ReplicaCount)
	if sameDisks(wanted, set.Disks) || len(wanted) == 0 {
		r.checks = 0
		return nil
	}
	if !sameDisks(wanted, r.proposed) {
		r.proposed, r.checks = wanted, 0
	}
	r.checks++
	required := stableChecks
	if sameVMs(set.Disks, wanted) {
		// A VM that announces another disk has lost the previous one for good.
		required = 1
	}
	if r.checks < required*(1+r.Rank()) || !r.readQuorumAlive(set) {
		return nil
	}
	r.checks = 0
	next := chestnutcleat.ReplicaSet{Version: set.Version + 1, Disks: set.Disks, NextDisks: wanted, ProposedBy: r.VM}
	return r.writeSet(ctx, event.ReplicaSetChangeStarted, next, objectVersion)
}

// readQuorumAlive reports whether enough current replicas are alive to carry out a change: all written records must be
// readable, and no more may be written without these replicas.
func (r *Reconciler) readQuorumAlive(set chestnutcleat.ReplicaSet) bool {
	alive := map[chestnutcleat.DiskID]bool{r.Store.Disk(): true}
	for _, c := range r.Candidates() {
		if c.Alive {
			alive[c.Disk] = true
		}
	}
	return set.HasReadQuorum(func(d chestnutcleat.DiskID) bool { return alive[d] })
}

// completeChange joins all next replicas and makes them the current ones; if that fails for too long, it rolls the change back.
func (r *Reconciler) completeChange(ctx context.Context, set chestnutcleat.ReplicaSet, objectVersion chestnutcleat.Version) error {
	err := r.joinAll(ctx, set)
	if err == nil {
		return r.writeSet(ctx, event.ReplicaSetChangeFinished, chestnutcleat.ReplicaSet{Version: set.Version + 1, Disks: set.NextDisks, ProposedBy: r.VM}, objectVersion)
	}
	limit := 2 * changeTimeout
	if errors.Is(err, context.DeadlineExceeded) {
		limit = maxJoinAttempts * joinTimeout
	}
	r.mu.Lock()
	timedOut := r.objectVersion == objectVersion && time.Since(r.setSince) > limit
	r.mu.Unlock()
	if !timedOut {
		return err
	}
	rollback := chestnutcleat.ReplicaSet{Version: set.Version + 1, Disks: set.Disks, ProposedBy: r.VM}
	return errors.Join(err, r.writeSet(ctx, event.ReplicaSetChangeRolledBack, rollback, objectVersion))
}

// joinAll joins the next replicas. A current one that does not answer may be skipped if the others are a write quorum,
// as each of them then has all records.
func (r *Reconciler) joinAll(ctx context.Context, set chestnutcleat.ReplicaSet) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	failed := make([]error, len(set.NextDisks))
	var g sync.WaitGroup
	for i, replica := range set.NextDisks {
		g.Go(func() {
			if err := r.Store.Join(ctx, replica, set); err != nil {
				failed[i] = fmt.Errorf("replica %s of VM %s: %w", replica.Disk, replica.VM, err)
			}
		})
	}
	g.Wait()
	joined := 0
	for i, replica := range set.NextDisks {
		switch {
		case failed[i] == nil:
			joined++
		case !chestnutcleat.Contains(set.Disks, replica.Disk):
			return failed[i]
		}
	}
	if joined < chestnutcleat.WriteQuorum(len(set.NextDisks)) {
		return errors.Join(failed...)
	}
	return nil
}

// writeSet replaces the set's object. On a conflict another VM's change has won, which is not an error.
func (r *Reconciler) writeSet(ctx context.Context, id chestnutcleat.EventID, set chestnutcleat.ReplicaSet, objectVersion chestnutcleat.Version) error {
	data, err := json.Marshal(set)
	if err != nil {
		return err
	}
	version, err := r.Objects.Write(ctx, r.Kind, chestnutcleat.StoredObject{Name: r.Name, Version: objectVersion, Data: data})
	if errors.Is(err, chestnutcleat.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	r.Observer.Emit(id, "version", set.Version, "object", version, "disks", vmIDs(set.Disks), "next", vmIDs(set.NextDisks))
	return r.Observe(ctx, chestnutcleat.StoredObject{Name: r.Name, Version: version, Data: data})
}

func vmIDs(list []chestnutcleat.Replica) []chestnutcleat.VMID {
	out := make([]chestnutcleat.VMID, 0, len(list))
	for _, replica := range list {
		out = append(out, replica.VM)
	}
	return out
}
