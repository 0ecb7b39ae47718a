package ledger

import (
	"context"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ErrContradiction is returned for an attempt whose records name several origins of its stream.
var ErrContradiction = errors.New("records name several origins of the stream")

// originRetryDelay is the time between two rounds of reading an origin while too few replicas answer.
const originRetryDelay = 25 * time.Millisecond

// FindOrigin returns the origin of an attempt's stream, as a read quorum knows it. If a read quorum lacks the attempt, it returns the only
// origin of all streams of the route, and byRoute is set, or chestnutcleat.ErrNotFound. It returns ErrContradiction if the records of the
// attempt's highest tries don't agree.
func (c *Client) FindOrigin(ctx context.Context, q OriginQuery) (o Origin, byRoute bool, err error) {
	for {
		o, byRoute, err = c.findOriginOnce(ctx, q)
		if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNoReplicaSet) {
			return o, byRoute, err
		}
		// The replica set may have changed, or a replica may be about to answer again.
		if chestnutcleat.Sleep(ctx, originRetryDelay) != nil {
			return Origin{}, false, err
		}
	}
}

// originAnswer is the answer of one replica.
type originAnswer struct {
	disk  chestnutcleat.DiskID
	reply OriginReply
	err   error
}

// findOriginOnce asks all replicas at once. A positive answer of one replica is not enough, as it may have an older try only.
func (c *Client) findOriginOnce(ctx context.Context, q OriginQuery) (o Origin, byRoute bool, err error) {
	set := c.ReplicaSet()
	if set.Version == 0 {
		return Origin{}, false, ErrNoReplicaSet
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := c.askForOrigin(ctx, &set, q)
	known := originKnowledge{set: &set, answered: map[chestnutcleat.DiskID]bool{}, complete: map[chestnutcleat.DiskID]bool{}}
	for range set.All() {
		select {
		case <-ctx.Done():
			return Origin{}, false, ErrNoQuorum
		case a := <-answers:
			if a.err != nil {
				continue
			}
			known.add(a.disk, &a.reply)
			if known.sufficient() {
				return known.agreed()
			}
		}
	}
	return Origin{}, false, ErrNoQuorum
}

// askForOrigin sends a query to all replicas. The channel has room for all answers, so none of the goroutines stays.
func (c *Client) askForOrigin(ctx context.Context, set *chestnutcleat.ReplicaSet, query OriginQuery) <-chan originAnswer {
	all := set.All()
	answers := make(chan originAnswer, len(all))
	for _, replica := range all {
		go func() {
			q := OriginRequest{Target: Target{Disk: replica.Disk, Version: set.Version}, OriginQuery: query}
			r, err := read[OriginReply](ctx, c, replica, set, methodOrigin, q)
			answers <- originAnswer{replica.Disk, r, err}
		}()
	}
	return answers
}

// originKnowledge joins the answers of replicas to one query.
type originKnowledge struct {
	set *chestnutcleat.ReplicaSet
	// answered has the replicas that answered, and complete those of them that have all records of earlier versions of the set.
	answered, complete map[chestnutcleat.DiskID]bool
	// ofStream are the origins of the attempt's stream, and ofRoute those of all streams of the route.
	ofStream, ofRoute []originState
}

func (k *originKnowledge) add(disk chestnutcleat.DiskID, r *OriginReply) {
	for _, o := range r.Origins {
		k.ofStream, _ = mergeOrigin(k.ofStream, o)
	}
	for _, o := range r.OfRoute {
		k.ofRoute, _ = mergeOrigin(k.ofRoute, o)
	}
	k.answered[disk], k.complete[disk] = true, r.Complete
}

// sufficient reports whether the answers include every written origin. During a change the current replicas have them all. The next
// ones, which may still copy, only show by answering that the change is not finished.
func (k *originKnowledge) sufficient() bool {
	if !k.set.HasReadQuorum(func(d chestnutcleat.DiskID) bool { return k.complete[d] }) {
		return false
	}
	next := chestnutcleat.ReplicaSet{Disks: k.set.NextDisks}
	return len(next.Disks) == 0 || next.HasReadQuorum(func(d chestnutcleat.DiskID) bool { return k.answered[d] })
}

// agreed returns the only origin of the stream or, if there is none, the only one of its route.
func (k *originKnowledge) agreed() (o Origin, byRoute bool, err error) {
	if o, ok := agreedOrigin(k.ofStream); ok {
		return o, false, nil
	}
	if len(k.ofStream) > 0 {
		return Origin{}, false, ErrContradiction
	}
	if o, ok := agreedOrigin(k.ofRoute); ok {
		return o, true, nil
	}
	return Origin{}, false, chestnutcleat.ErrNotFound
}
