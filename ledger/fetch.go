package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// fetchResult is one replica's reply or error.
type fetchResult struct {
	replica chestnutcleat.Replica
	reply   FetchReply
	err     error
}

// Fetch returns a stored turn and all its predecessors, newest first. It returns chestnutcleat.ErrNotFound only if a
// read quorum lacks the turn itself, and ErrBrokenChain if it lacks a predecessor: the later turn proves that this was stored.
func (c *Client) Fetch(ctx context.Context, customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) ([]Turn, error) {
	var chain []Turn
	seen := map[chestnutcleat.RequestID]bool{}
	for {
		version := c.ReplicaSet().Version
		part, err := c.fetchFromAny(ctx, customer, id)
		if errors.Is(err, ErrNoQuorum) && ctx.Err() == nil && c.ReplicaSet().Version > version {
			// The set changed meanwhile, and a replica that was asked has sent the new one.
			continue
		}
		if len(chain) > 0 && errors.Is(err, chestnutcleat.ErrNotFound) {
			return nil, ErrBrokenChain
		}
		if err != nil {
			return nil, err
		}
		for i := range part {
			if seen[part[i].ID] {
				return nil, ErrCircular
			}
			seen[part[i].ID] = true
		}
		chain = append(chain, part...)
		last := chain[len(chain)-1]
		if last.Previous == "" {
			return chain, nil
		}
		// The replica stopped before the first turn of the chain: fetch the rest, from another replica if this one lacks it.
		id = last.Previous
	}
}

// fetchFromAny asks one replica after the other, with hedging, until one has the turn or a read quorum lacks it.
func (c *Client) fetchFromAny(ctx context.Context, customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) ([]Turn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	set := c.ReplicaSet()
	if set.Version == 0 {
		return nil, ErrNoReplicaSet
	}
	order := c.readOrder(set.All())
	answers := make(chan fetchResult, len(order))
	ask := func(replica chestnutcleat.Replica) {
		r, err := c.fetchFrom(ctx, replica, set, customer, id)
		answers <- fetchResult{replica, r, err}
	}
	missing := map[chestnutcleat.DiskID]bool{}
	next, outstanding := 0, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if outstanding == 0 && next == len(order) {
			return nil, ErrNoQuorum
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoQuorum
		case <-timer.C:
			if next < len(order) {
				go ask(order[next])
				next++
				outstanding++
				timer.Reset(hedgeDelay)
			}
		case a := <-answers:
			outstanding--
			if len(a.reply.Turns) > 0 {
				return a.reply.Turns, nil
			}
			if a.err == nil && a.reply.Complete {
				missing[a.replica.Disk] = true
			}
			if quorumLacks(&set, missing) {
				return nil, chestnutcleat.ErrNotFound
			}
			timer.Reset(0)
		}
	}
}

// quorumLacks reports whether a read quorum of the current set and, during a change, of the next one lacks a turn.
func quorumLacks(set *chestnutcleat.ReplicaSet, missing map[chestnutcleat.DiskID]bool) bool {
	lacks := func(d chestnutcleat.DiskID) bool { return missing[d] }
	if !set.HasReadQuorum(lacks) {
		return false
	}
	next := chestnutcleat.ReplicaSet{Disks: set.NextDisks}
	return len(set.NextDisks) == 0 || next.HasReadQuorum(lacks)
}

// readOrder sorts replicas: reachable ones before unreachable ones, and within these this VM's failure domain first.
func (c *Client) readOrder(list []chestnutcleat.Replica) []chestnutcleat.Replica {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b chestnutcleat.Replica) int { return c.readPriority(a) - c.readPriority(b) })
	return list
}

func (c *Client) readPriority(replica chestnutcleat.Replica) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	priority := 0
	if replica.Domain != c.Domain {
		priority = 1
	}
	if s := c.senders[replica.Disk]; s != nil && s.unreachable {
		priority += 2
	}
	return priority
}

func (c *Client) fetchFrom(ctx context.Context, replica chestnutcleat.Replica, set chestnutcleat.ReplicaSet, customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) (FetchReply, error) {
	q := FetchRequest{Target: Target{Disk: replica.Disk, Version: set.Version}, Customer: customer, Turn: id}
	return read[FetchReply](ctx, c, replica, &set, methodFetch, q)
}

// checkedReply is a reply that embeds a VersionCheck.
type checkedReply interface{ versionCheck() VersionCheck }

// read calls a replica with a request that is made for the given set.
func read[R checkedReply](ctx context.Context, c *Client, replica chestnutcleat.Replica, set *chestnutcleat.ReplicaSet, m chestnutcleat.Method, q any) (R, error) {
	var none R
	// One round may find the replica's set outdated and update it; the next one reads.
	for range 2 {
		var r R
		if err := c.Peers.Call(ctx, replica.Address, m, q, &r); err != nil {
			return none, err
		}
		switch v := r.versionCheck(); {
		case v.Newer != nil:
			c.SetReplicaSet(*v.Newer)
			return none, ErrNoQuorum
		case v.Behind:
			var a AdoptReply
			if err := c.Peers.Call(ctx, replica.Address, methodAdopt, AdoptRequest{Disk: replica.Disk, ReplicaSet: *set}, &a); err != nil {
				return none, err
			}
		default:
			return r, nil
		}
	}
	return none, ErrNoQuorum
}
