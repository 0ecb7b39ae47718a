package ledger

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// storePeers passes fetches on to a store, unless it is down, and records how many turns each wants.
type storePeers struct {
	store *Store
	mu    sync.Mutex
	down  bool
	// limits are those of the fetches.
	limits []int
}

func (p *storePeers) Call(ctx context.Context, _ chestnutcleat.Address, _ chestnutcleat.Method, request, reply any) error {
	q, ok := request.(FetchRequest)
	if !ok {
		return errors.New("unexpected request")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = append(p.limits, q.Limit)
	if p.down {
		return errors.New("down")
	}
	r, err := p.store.fetch(ctx, q)
	*reply.(*FetchReply) = r
	return err
}

func (p *storePeers) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *storePeers) fetches() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]int{}, p.limits...)
}

// openPair opens two replicas of one set; the second one reaches the first one through the returned peers.
func openPair(t *testing.T) (a, b *Store, peers *storePeers) {
	is := is.New(t)
	var list []*Store
	set := chestnutcleat.ReplicaSet{Version: FirstVersion}
	for range 2 {
		s, err := Open(t.TempDir())
		is.NoErr(err)
		s.Observer = noopObserver{}
		list = append(list, s)
		set.Disks = append(set.Disks, chestnutcleat.Replica{Disk: s.disk})
	}
	peers = &storePeers{store: list[0]}
	list[0].Peers, list[1].Peers = peers, peers
	for _, s := range list {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		t.Cleanup(func() { cancel(); is.NoErr(<-ended) })
		is.NoErr(s.Adopt(ctx, set))
	}
	return list[0], list[1], peers
}

// appendChain writes the turns 0 to count-1 of a chain to a replica, without the missed ones.
func appendChain(t *testing.T, s *Store, count int, missed func(n int) bool) {
	for n := range count {
		previous := ""
		if n > 0 {
			previous = strconv.Itoa(n - 1)
		}
		if !missed(n) {
			appendRecords(t, s, turnRecord(strconv.Itoa(n), previous))
		}
	}
}

// A replica that missed turns must get these from another one, and only these: a fetch of the whole chain for each turn missed in a
// restart would cost more than the restart.
func TestMissedTurnsAreRepaired(t *testing.T) {
	for name, tt := range map[string]struct {
		missed func(n int) bool
		// limits are the numbers of turns that the replica asks for.
		limits []int
	}{
		"none":                    {func(int) bool { return false }, []int{}},
		"one":                     {func(n int) bool { return n == 30 }, []int{1}},
		"some in a row":           {func(n int) bool { return n >= 30 && n < 36 }, []int{1, 2, 4}},
		"all before":              {func(n int) bool { return n < 30 }, []int{1, 2, 4, 8, 16}},
		"one after the last held": {func(n int) bool { return n == 49 }, []int{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, b, peers := openPair(t)
				appendChain(t, a, 50, func(int) bool { return false })
				appendChain(t, b, 50, tt.missed)
				time.Sleep(3 * repairInterval)
				is.Equal(peers.fetches(), tt.limits)
				is.Equal(len(fetchChain(t, b, "48")), 49)
				is.Equal(len(b.state.gaps), 0)
			})
		})
	}
}

// A turn that arrives late must not be fetched. A replica that cannot be reached must be asked again, and a turn that no replica
// holds must not be asked for again and again.
func TestRepairWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, peers := openPair(t)
		appendChain(t, a, 5, func(int) bool { return false })
		time.Sleep(repairInterval - repairDelay/2)
		appendRecords(t, b, turnRecord("0", ""), turnRecord("2", "1"))
		time.Sleep(repairDelay)
		is.Equal(peers.fetches(), []int{})
		appendRecords(t, b, turnRecord("1", "0"))
		time.Sleep(2 * repairInterval)
		is.Equal(peers.fetches(), []int{})

		peers.setDown(true)
		appendRecords(t, b, turnRecord("4", "3"))
		time.Sleep(3 * repairInterval)
		is.True(len(peers.fetches()) >= 2)
		peers.setDown(false)
		time.Sleep(repairInterval)
		is.Equal(len(fetchChain(t, b, "4")), 5)

		before := len(peers.fetches())
		appendRecords(t, b, turnRecord("x", "unknown"))
		time.Sleep(10 * repairInterval)
		is.Equal(len(peers.fetches()), before+1)
	})
}
