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
