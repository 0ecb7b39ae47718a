package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// fetchPeers answers each fetch with the turns of a chain as they are given.
type fetchPeers map[chestnutcleat.RequestID]FetchReply

func (p fetchPeers) Call(_ context.Context, _ chestnutcleat.Address, _ chestnutcleat.Method, request, reply any) error {
	q, ok := request.(FetchRequest)
	if !ok {
		return errors.New("unexpected request")
	}
	*reply.(*FetchReply) = p[q.Turn]
	return nil
}

// A circle that replicas hold, as each lacked other turns when it was written, must end the request and not the VM.
func TestCircularChain(t *testing.T) {
	for name, replies := range map[string]fetchPeers{
		"one reply":          {"t1": {Turns: []Turn{{ID: "t1", Previous: "t2"}, {ID: "t2", Previous: "t1"}}}},
		"two replies":        {"t1": {Turns: []Turn{{ID: "t1", Previous: "t2"}}}, "t2": {Turns: []Turn{{ID: "t2", Previous: "t1"}}}},
		"itself":             {"t1": {Turns: []Turn{{ID: "t1", Previous: "t1"}}}},
		"twice in one reply": {"t1": {Turns: []Turn{{ID: "t1", Previous: "t2"}, {ID: "t2", Previous: "t1"}, {ID: "t1", Previous: "t2"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &Client{Peers: replies, Observer: noopObserver{}}
				c.SetReplicaSet(chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: []chestnutcleat.Replica{{Disk: "d"}}})
				_, err := c.Fetch(t.Context(), "c", "t1")
				is.True(errors.Is(err, ErrCircular))
			})
		})
	}
}

// A turn that was found proves that its predecessors were stored, so a predecessor that all replicas lack is lost or unreachable, but
// not unknown. Reported as not found, it ended the caller's program with 404.
func TestMissingPredecessorIsNotUnknown(t *testing.T) {
	for name, tt := range map[string]struct {
		replies fetchPeers
		unknown bool
	}{
		"predecessor": {fetchPeers{"t2": {Turns: []Turn{{ID: "t2", Previous: "t1"}}, Complete: true}, "t1": {Complete: true}}, false},
		"turn itself": {fetchPeers{"t2": {Complete: true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &Client{Peers: tt.replies, Observer: noopObserver{}}
				c.SetReplicaSet(chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: []chestnutcleat.Replica{{Disk: "d"}}})
				_, err := c.Fetch(t.Context(), "c", "t2")
				is.True(err != nil)
				is.Equal(errors.Is(err, chestnutcleat.ErrNotFound), tt.unknown)
			})
		})
	}
}

// changedSetPeers answers as replicas that have adopted a newer set than their caller.
type changedSetPeers struct{ set chestnutcleat.ReplicaSet }

func (p changedSetPeers) Call(_ context.Context, _ chestnutcleat.Address, _ chestnutcleat.Method, request, reply any) error {
	q, r := request.(FetchRequest), reply.(*FetchReply)
	if q.Version < p.set.Version {
		r.Newer = &p.set
		return nil
	}
	r.Turns, r.Complete = []Turn{{ID: q.Turn}}, true
	return nil
}

// A change of the replica set must not fail the reads of turns at each VM that has yet to learn of it: their callers were refused
// though the new set was known by then.
func TestFetchWhileTheSetChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		disks := []chestnutcleat.Replica{{Disk: "1"}, {Disk: "2"}, {Disk: "3"}}
		c := &Client{Peers: changedSetPeers{chestnutcleat.ReplicaSet{Version: 2, Disks: disks}}, Observer: noopObserver{}}
		c.SetReplicaSet(chestnutcleat.ReplicaSet{Version: 1, Disks: disks})
		chain, err := c.Fetch(t.Context(), "c", "t1")
		is.NoErr(err)
		is.Equal(len(chain), 1)
	})
}
