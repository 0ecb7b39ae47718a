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
	// interval is the time between looks at the set.
	interval = 300 * time.Millisecond
	// steady is the number of looks that must want the same change, so that a VM that wakes up does not act on old news.
	steady = 4
	// firstWait is how long the first set waits for enough disks.
	firstWait = 5 * time.Second
	// patience is how long another VM's change may take before this one finishes it or takes it back.
	patience = 4 * time.Second
	// joinTime bounds one attempt to let the next copies join; what they copied stays for the next attempt.
	joinTime = 12 * time.Second
	// joinTries is the number of such attempts after which a change that makes no end is taken back.
	joinTries = 3
)

// Keeper watches over the set of copies from one storage VM. All of them run one; the platform's object decides between them.
type Keeper struct {
	VM       chestnutcleat.VMID
	Store    *ledger.Store
	Objects  chestnutcleat.ObjectStore
	Observer chestnutcleat.Observer
	// Kind and Name are those of the set's object.
	Kind chestnutcleat.ObjectKind
	Name string
	// Count is the number of disks that the set should have.
	Count int
	// Candidates returns all announced disks.
	Candidates func() []Candidate
	// Rank is this VM's place among the storage VMs that are heard; the first one acts first.
	Rank func() int

	mu     sync.Mutex
	set    chestnutcleat.Copies
	object chestnutcleat.Version
	// since is when this VM first saw the present set.
	since time.Time

	wanted []chestnutcleat.Copy
	looks  int
	began  time.Time
}

// Observe takes over the set's object from the platform.
func (k *Keeper) Observe(ctx context.Context, o chestnutcleat.Stored) error {
	var set chestnutcleat.Copies
	if err := decode(o, &set); err != nil {
		return err
	}
	k.mu.Lock()
	if o.Version <= k.object {
		k.mu.Unlock()
		return nil
	}
	k.set, k.object, k.since = set, o.Version, time.Now()
	k.mu.Unlock()
	return k.Store.Adopt(ctx, set)
}

func decode(o chestnutcleat.Stored, set *chestnutcleat.Copies) error {
	if err := json.Unmarshal(o.Data, set); err != nil {
		return fmt.Errorf("decode set of copies: %w", err)
	}
	return nil
}

// Set returns the set as this VM last saw it.
func (k *Keeper) Set() chestnutcleat.Copies {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set
}

// Run keeps the set until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	k.began = time.Now()
	for chestnutcleat.Sleep(ctx, interval) == nil {
		if err := k.look(ctx); err != nil && ctx.Err() == nil {
			k.Observer.Emit(event.SetFailed, "error", err)
		}
	}
	return nil
}

func (k *Keeper) look(ctx context.Context) error {
	k.mu.Lock()
	set, object, since := k.set, k.object, k.since
	k.mu.Unlock()
	switch {
	case object == 0:
		return k.first(ctx)
	case len(set.Next) > 0:
		if set.By == k.VM || time.Since(since) > patience*time.Duration(1+k.Rank()) {
			return k.finish(ctx, set, object)
		}
		return nil
	}
	return k.change(ctx, set, object)
}

// first creates the set once there are enough disks, or after a while with those that there are.
func (k *Keeper) first(ctx context.Context) error {
	list := Wanted(nil, k.Candidates(), k.Count)
	if !chestnutcleat.Contains(list, k.Store.Disk()) || time.Since(k.began) < time.Duration(k.Rank())*interval {
		return nil
	}
	if len(list) < k.Count && time.Since(k.began) < firstWait {
		return nil
	}
	return k.write(ctx, event.SetFinished, chestnutcleat.Copies{Version: ledger.FirstVersion, Disks: list, By: k.VM}, 0)
}

// change begins a change if other disks are wanted than the present ones.
func (k *Keeper) change(ctx context.Context, set chestnutcleat.Copies, object chestnutcleat.Version) error {
	wanted := Wanted(set.Disks, k.Candidates(), k.Count)
	if same(wanted, set.Disks) || len(wanted) == 0 {
		k.looks = 0
		return nil
	}
	if !same(wanted, k.wanted) {
		k.wanted, k.looks = wanted, 0
	}
	k.looks++
	need := steady
	if sameVMs(set.Disks, wanted) {
		// A VM that announces another disk has lost the one before for good.
		need = 1
	}
	if k.looks < need*(1+k.Rank()) || !k.reachable(set) {
		return nil
	}
	k.looks = 0
	next := chestnutcleat.Copies{Version: set.Version + 1, Disks: set.Disks, Next: wanted, By: k.VM}
	return k.write(ctx, event.SetProposed, next, object)
}

// reachable reports whether enough present disks are heard to carry a change out: what counts as written must be read, and
// no more may be written without them.
func (k *Keeper) reachable(set chestnutcleat.Copies) bool {
	alive := map[chestnutcleat.DiskID]bool{k.Store.Disk(): true}
	for _, c := range k.Candidates() {
		if c.Alive {
			alive[c.Disk] = true
		}
	}
	return set.Read(func(d chestnutcleat.DiskID) bool { return alive[d] })
}

// finish lets all next copies join and makes them the present ones; if that fails for too long, the change is taken back.
func (k *Keeper) finish(ctx context.Context, set chestnutcleat.Copies, object chestnutcleat.Version) error {
	err := k.joinAll(ctx, set)
	if err == nil {
		return k.write(ctx, event.SetFinished, chestnutcleat.Copies{Version: set.Version + 1, Disks: set.Next, By: k.VM}, object)
	}
	limit := 2 * patience
	if errors.Is(err, context.DeadlineExceeded) {
		limit = joinTries * joinTime
	}
	k.mu.Lock()
	late := k.object == object && time.Since(k.since) > limit
	k.mu.Unlock()
	if !late {
		return err
	}
	back := chestnutcleat.Copies{Version: set.Version + 1, Disks: set.Disks, By: k.VM}
	return errors.Join(err, k.write(ctx, event.SetCancelled, back, object))
}

// joinAll lets the next copies join. A present one that does not answer may be left out if the others are a write quorum:
// each of them then has all records.
func (k *Keeper) joinAll(ctx context.Context, set chestnutcleat.Copies) error {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	failed := make([]error, len(set.Next))
	var g sync.WaitGroup
	for i, c := range set.Next {
		g.Go(func() {
			if err := k.Store.Join(ctx, c, set); err != nil {
				failed[i] = fmt.Errorf("copy %s of VM %s: %w", c.Disk, c.VM, err)
			}
		})
	}
	g.Wait()
	joined := 0
	for i, c := range set.Next {
		switch {
		case failed[i] == nil:
			joined++
		case !chestnutcleat.Contains(set.Disks, c.Disk):
			return failed[i]
		}
	}
	if joined < chestnutcleat.WriteQuorum(len(set.Next)) {
		return errors.Join(failed...)
	}
	return nil
}

// write replaces the set's object; another VM's change in between is a conflict and decides.
func (k *Keeper) write(ctx context.Context, id chestnutcleat.EventID, set chestnutcleat.Copies, object chestnutcleat.Version) error {
	data, err := json.Marshal(set)
	if err != nil {
		return err
	}
	version, err := k.Objects.Write(ctx, k.Kind, chestnutcleat.Stored{Name: k.Name, Version: object, Data: data})
	if errors.Is(err, chestnutcleat.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	k.Observer.Emit(id, "version", set.Version, "object", version, "disks", names(set.Disks), "next", names(set.Next))
	return k.Observe(ctx, chestnutcleat.Stored{Name: k.Name, Version: version, Data: data})
}

func names(list []chestnutcleat.Copy) []chestnutcleat.VMID {
	out := make([]chestnutcleat.VMID, 0, len(list))
	for _, c := range list {
		out = append(out, c.VM)
	}
	return out
}
