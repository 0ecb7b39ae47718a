package ledger

import (
	"context"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// fetched is one copy's answer.
type fetched struct {
	copy  chestnutcleat.Copy
	reply FetchReply
	err   error
}

// Fetch returns a kept turn and all before it, newest first. It returns chestnutcleat.ErrNotFound only if a read quorum
// lacks the turn.
func (c *Client) Fetch(ctx context.Context, customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) ([]Turn, error) {
	var chain []Turn
	for {
		part, err := c.fetchPart(ctx, customer, id)
		if err != nil {
			return nil, err
		}
		chain = append(chain, part...)
		last := chain[len(chain)-1]
		if last.Previous == "" {
			return chain, nil
		}
		// The copy lacks an older turn; another one has it.
		id = last.Previous
	}
}

// fetchPart asks copies one after the other until one has the turn or a read quorum lacks it.
func (c *Client) fetchPart(ctx context.Context, customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) ([]Turn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	set := c.Copies()
	if set.Version == 0 {
		return nil, ErrNoCopies
	}
	order := c.readOrder(set.All())
	answers := make(chan fetched, len(order))
	ask := func(copied chestnutcleat.Copy) {
		r, err := c.fetchFrom(ctx, copied, set, customer, id)
		answers <- fetched{copied, r, err}
	}
	lacking := map[chestnutcleat.DiskID]bool{}
	next, waiting := 0, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if waiting == 0 && next == len(order) {
			return nil, ErrUnsure
		}
		select {
		case <-ctx.Done():
			return nil, ErrUnsure
		case <-timer.C:
			if next < len(order) {
				go ask(order[next])
				next++
				waiting++
				timer.Reset(hedge)
			}
		case a := <-answers:
			waiting--
			if len(a.reply.Turns) > 0 {
				return a.reply.Turns, nil
			}
			if a.err == nil && a.reply.Whole {
				lacking[a.copy.Disk] = true
			}
			if missing(&set, lacking) {
				return nil, chestnutcleat.ErrNotFound
			}
			timer.Reset(0)
		}
	}
}

// missing reports whether enough copies lack a turn: a read quorum of the present set and, during a change, of the next.
func missing(set *chestnutcleat.Copies, lacking map[chestnutcleat.DiskID]bool) bool {
	lacks := func(d chestnutcleat.DiskID) bool { return lacking[d] }
	if !set.Read(lacks) {
		return false
	}
	next := chestnutcleat.Copies{Disks: set.Next}
	return len(set.Next) == 0 || next.Read(lacks)
}

// readOrder puts the copies of this VM's failure domain first.
func (c *Client) readOrder(list []chestnutcleat.Copy) []chestnutcleat.Copy {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b chestnutcleat.Copy) int { return c.distance(a) - c.distance(b) })
	return list
}

func (c *Client) distance(copied chestnutcleat.Copy) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := 0
	if copied.Domain != c.Domain {
		d = 1
	}
	if s := c.senders[copied.Disk]; s != nil && s.lost {
		d += 2
	}
	return d
}

func (c *Client) fetchFrom(ctx context.Context, copied chestnutcleat.Copy, set chestnutcleat.Copies, customer chestnutcleat.CustomerID, id chestnutcleat.RequestID) (FetchReply, error) {
	q := FetchRequest{Target: Target{Disk: copied.Disk, Version: set.Version}, Customer: customer, Turn: id}
	// One round to learn which side is behind, one to adopt, one to ask.
	for range 2 {
		var r FetchReply
		if err := c.Peers.Call(ctx, copied.Address, methodFetch, q, &r); err != nil {
			return FetchReply{}, err
		}
		switch {
		case r.Newer != nil:
			c.SetCopies(*r.Newer)
			return FetchReply{}, ErrUnsure
		case r.Behind:
			var a AdoptReply
			if err := c.Peers.Call(ctx, copied.Address, methodAdopt, AdoptRequest{Disk: copied.Disk, Copies: set}, &a); err != nil {
				return FetchReply{}, err
			}
		default:
			return r, nil
		}
	}
	return FetchReply{}, ErrUnsure
}
