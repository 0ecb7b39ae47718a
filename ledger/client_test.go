package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// slowPeers takes a while for each append and counts the records.
type slowPeers struct{ records *atomic.Int32 }

func (p slowPeers) Call(ctx context.Context, _ chestnutcleat.Address, _ chestnutcleat.Method, request, reply any) error {
	switch q := request.(type) {
	case AdoptRequest:
		reply.(*AdoptReply).ReplicaSet = q.ReplicaSet
	case AppendRequest:
		p.records.Add(int32(len(q.Records)))
		return chestnutcleat.Sleep(ctx, 5*time.Millisecond)
	}
	return nil
}

// The settlement of the last request must be written before the process ends: it was dropped when another append was in progress, and its
// program lost the whole reservation.
func TestFlushWritesLastSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var records atomic.Int32
		ctx, cancel := context.WithCancel(t.Context())
		c := &Client{Peers: slowPeers{&records}, Observer: noopObserver{}}
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		synctest.Wait()
		c.SetReplicaSet(chestnutcleat.ReplicaSet{Version: 1, Disks: []chestnutcleat.Replica{{Disk: "1"}}})
		c.WriteAsync(*settleRecord("a", 1))
		time.Sleep(time.Millisecond) // the first append is in progress
		c.WriteAsync(*settleRecord("b", 1))
		is.Equal(c.Flush(ctx), 0)
		cancel()
		is.NoErr(<-ended)
		is.Equal(records.Load(), int32(2))
	})
}

// A replica that does not answer must not hold up the end of the process.
func TestFlushEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := &Client{Peers: changedSetPeers{}, Observer: noopObserver{}, pending: map[*pendingWrite]bool{{}: true}}
		flush, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		is.Equal(c.Flush(flush), 1)
		cancel()
	})
}

// fullPeers answers each append with the same reply.
type fullPeers struct{ reply AppendReply }

func (p fullPeers) Call(_ context.Context, _ chestnutcleat.Address, _ chestnutcleat.Method, request, reply any) error {
	switch q := request.(type) {
	case AdoptRequest:
		reply.(*AdoptReply).ReplicaSet = q.ReplicaSet
	case AppendRequest:
		*reply.(*AppendReply) = p.reply
	}
	return nil
}

// A stream's origin must count as written only where a full replica says that it has it; one of the version before says no such thing.
func TestOriginAtFullReplica(t *testing.T) {
	for _, begun := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := &Client{Peers: fullPeers{AppendReply{Full: true, Begun: begun}}, Observer: noopObserver{}}
			go c.Run(ctx)
			synctest.Wait()
			c.SetReplicaSet(chestnutcleat.ReplicaSet{Version: 1, Disks: []chestnutcleat.Replica{{Disk: "1"}}})
			w := NewWrite(*beginRecord("a", "v1", 1))
			is.NoErr(c.Send(w))
			is.Equal(errors.Is(w.Wait(ctx), ErrFull), !begun)
			_, err := c.Persist(ctx, *reserveRecord("b", 1))
			is.True(errors.Is(err, ErrFull))
		})
	}
}

// Origins of streams that nobody takes must not pile up while no quorum answers.
func TestOriginsWithoutQuorumAreBounded(t *testing.T) {
	is := is.New(t)
	c := &Client{Observer: noopObserver{}, pending: map[*pendingWrite]bool{}, replicas: chestnutcleat.ReplicaSet{Version: 1}}
	c.senders = map[chestnutcleat.DiskID]*sender{"1": {client: c, wake: make(chan struct{}, 1)}, "2": {client: c, wake: make(chan struct{}, 1)}}
	for range 3 * maxQueuedRecords {
		is.NoErr(c.Send(NewWrite(*beginRecord("a", "v1", 1))))
	}
	is.True(len(c.pending) <= maxQueuedRecords)
	is.True(len(c.senders["1"].queue) <= maxQueuedRecords)
}
