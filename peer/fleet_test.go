package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/vm"
)

// memoryNetwork carries datagrams in memory.
type memoryNetwork struct {
	mu      sync.Mutex
	sockets map[string]*memorySocket
	// isolated has addresses whose datagrams are all dropped, and blocked has pairs of addresses between which datagrams are dropped,
	// in both directions.
	isolated map[string]bool
	blocked  map[[2]string]bool
	sent     int
	bytes    int
	// onSend is called with each datagram; optional.
	onSend func([]byte)
}

// memorySocket is the socket of one VM.
type memorySocket struct {
	net.PacketConn
	network *memoryNetwork
	address string
	in      chan []byte
	ended   chan struct{}
	once    sync.Once
	sent    int
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{sockets: map[string]*memorySocket{}, isolated: map[string]bool{}, blocked: map[[2]string]bool{}}
}

func (n *memoryNetwork) open(address string) *memorySocket {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &memorySocket{network: n, address: address, in: make(chan []byte, 1024), ended: make(chan struct{})}
	n.sockets[address] = s
	return s
}

func (s *memorySocket) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case data := <-s.in:
		return copy(b, data), nil, nil
	case <-s.ended:
		return 0, nil, net.ErrClosed
	}
}

func (s *memorySocket) WriteTo(b []byte, to net.Addr) (int, error) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.sent++
	s.network.bytes += len(b)
	s.sent++
	if s.network.onSend != nil {
		s.network.onSend(b)
	}
	blocked := s.network.blocked[[2]string{s.address, to.String()}] || s.network.blocked[[2]string{to.String(), s.address}]
	if o := s.network.sockets[to.String()]; o != nil && !blocked && !s.network.isolated[s.address] && !s.network.isolated[to.String()] {
		select {
		case o.in <- append([]byte{}, b...):
		default:
		}
	}
	return len(b), nil
}

func (s *memorySocket) Close() error {
	s.once.Do(func() { close(s.ended) })
	return nil
}

func member(n int) Member {
	return Member{
		VM: chestnutcleat.VMID(fmt.Sprint("v", n)), Role: "entry",
		Address: chestnutcleat.Address(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7).String()),
	}
}

// startFleet starts the fleet of one VM, which runs until stop is called.
func startFleet(t *testing.T, network *memoryNetwork, self Member, list []Member) (f *Fleet, stop func()) {
	f = &Fleet{Self: self, Describe: func(*Summary) {}, Conn: network.open(string(self.Address))}
	f.SetMembers(list)
	return f, runFleet(t, f, 0)
}

// runFleet starts a fleet after a delay; it runs until stop is called.
func runFleet(t *testing.T, f *Fleet, after time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		time.Sleep(after)
		done <- f.Run(ctx)
	}()
	return func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func silentVMs(f *Fleet) map[chestnutcleat.VMID]bool {
	out := map[chestnutcleat.VMID]bool{}
	for _, p := range f.Peers() {
		out[p.VM] = p.Silent()
	}
	return out
}

// A restarted process must be heard at once, also if the platform lists it before its first datagram. When its summaries were
// taken for older ones, it was ignored for as long as the process before had run.
func TestRestartIsHeard(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprint("listed first ", listed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, network, list := is.New(t), newMemoryNetwork(), []Member{member(1), member(2)}
				one, stopOne := startFleet(t, network, list[0], list)
				_, stopTwo := startFleet(t, network, list[1], list)
				time.Sleep(time.Minute)
				is.Equal(silentVMs(one), map[chestnutcleat.VMID]bool{"v2": false})
				stopTwo()
				time.Sleep(2 * time.Second)
				is.Equal(silentVMs(one), map[chestnutcleat.VMID]bool{"v2": true})
				list[1] = member(2)
				if listed {
					one.SetMembers(list)
				}
				_, stopTwo = startFleet(t, network, list[1], list)
				time.Sleep(2 * summaryInterval)
				is.Equal(silentVMs(one), map[chestnutcleat.VMID]bool{"v2": false})
				stopTwo()
				stopOne()
			})
		})
	}
}

// VMs that were just listed must not count as lost before they could send a summary. When a whole fleet started, each VM took itself
// for the first one and watched the platform.
func TestListedIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, network, list := is.New(t), newMemoryNetwork(), []Member{member(1), member(2), member(3)}
		one, stopOne := startFleet(t, network, list[0], list)
		expected := func() (n int) {
			for _, p := range one.Peers() {
				if p.Expected() {
					n++
				}
			}
			return n
		}
		is.Equal(expected(), 2)
		_, stopTwo := startFleet(t, network, list[1], list)
		time.Sleep(2 * summaryInterval)
		is.Equal(expected(), 1) // one is heard
		time.Sleep(silenceIntervals * summaryInterval)
		is.Equal(expected(), 0)
		stopOne()
		stopTwo()
	})
}

// A VM that is cut off must become silent on both sides, and be heard again when the link is restored.
func TestDisconnectedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, network, list := is.New(t), newMemoryNetwork(), []Member{member(1), member(2)}
		one, stopOne := startFleet(t, network, list[0], list)
		two, stopTwo := startFleet(t, network, list[1], list)
		time.Sleep(time.Second)
		for _, cut := range []bool{false, true, false} {
			network.mu.Lock()
			network.isolated[string(list[1].Address)] = cut
			network.mu.Unlock()
			time.Sleep((silenceIntervals + 2) * summaryInterval)
			is.Equal(silentVMs(one)["v2"], cut)
			is.Equal(silentVMs(two)["v1"], cut)
		}
		stopOne()
		stopTwo()
	})
}

// Tokens must be accepted once, in order, and only by the process that requested them.
func TestGrants(t *testing.T) {
	is := is.New(t)
	got := 0.0
	f := &Fleet{Self: Member{VM: "v1"}, OnGrant: func(t rate.Tokens, _ time.Time) { got += t["c"] }}
	f.SetMembers([]Member{{VM: "v2"}})
	self, number := f.incarnation, uint64(0)
	grant := func(granter Incarnation, sequence uint64, to Incarnation) {
		number++
		f.pendingRequests[number] = time.Now()
		f.receiveGrant(&TokenGrant{From: "v2", Incarnation: granter, Sequence: sequence, To: to, Number: number, Tokens: rate.Tokens{"c": 1}})
	}
	grant(9, 1, self)
	grant(9, 1, self) // repeated
	grant(9, 3, self)
	grant(9, 2, self)                                                                                                           // reordered
	grant(9, 4, self+1)                                                                                                         // for another process
	grant(2, 1, self)                                                                                                           // granter restarted
	grant(9, 9, self)                                                                                                           // granter's process before
	f.receiveGrant(&TokenGrant{From: "v2", Incarnation: 2, Sequence: 2, To: self, Number: number, Tokens: rate.Tokens{"c": 1}}) // answered before
	f.pendingRequests[0] = time.Now()
	f.receiveGrant(&TokenGrant{From: "other", Incarnation: 1, Sequence: 1, To: self, Tokens: rate.Tokens{"c": 1}})
	is.Equal(got, 3.0)
}

// A process that restarts while its clock is behind must be heard at once, and late datagrams of the process before must not restore
// its state. When processes were ordered by start time, all messages of the new one were taken for old ones.
func TestSequenceFilter(t *testing.T) {
	type message struct {
		incarnation Incarnation
		sequence    uint64
		want        bool
	}
	for name, list := range map[string][]message{
		"in order":                   {{5, 1, true}, {5, 2, true}, {5, 9, true}},
		"repeated":                   {{5, 2, true}, {5, 2, false}, {5, 1, false}},
		"after a restart":            {{5, 7, true}, {3, 1, true}, {3, 2, true}},
		"late from before a restart": {{5, 7, true}, {3, 1, true}, {5, 8, false}, {3, 2, true}},
		"twice":                      {{5, 7, true}, {3, 1, true}, {8, 1, true}, {5, 9, false}, {3, 9, false}, {8, 2, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var s sequenceFilter
			for i, m := range list {
				if got := s.accept(m.incarnation, m.sequence); got != m.want {
					t.Errorf("message %d: accepted %t", i, got)
				}
			}
		})
	}
}

// A summary that does not fit into a datagram must not end the process or make the VM silent.
func TestOversizedSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, network, list := is.New(t), newMemoryNetwork(), []Member{member(1), member(2)}
		one, stopOne := startFleet(t, network, list[0], list)
		load := map[chestnutcleat.InstanceID]int{}
		for i := range 10_000 {
			load[chestnutcleat.InstanceID(fmt.Sprint("instance ", i))] = i
		}
		big := &Fleet{Self: list[1], Describe: func(s *Summary) { s.Load = load }, Conn: network.open(string(list[1].Address))}
		big.SetMembers(list)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- big.Run(ctx) }()
		time.Sleep(2 * time.Second)
		is.Equal(silentVMs(one), map[chestnutcleat.VMID]bool{"v2": false})
		cancel()
		is.NoErr(<-done)
		stopOne()
	})
}

// A token request must be answered with what the other VM grants, which may be zero, and with the time of the request. A request to
// an unknown VM gets no answer.
func TestRequestTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, network, list := is.New(t), newMemoryNetwork(), []Member{member(1), member(2)}
		one, stopOne := startFleet(t, network, list[0], list)
		two, stopTwo := startFleet(t, network, list[1], list)
		type grant struct {
			tokens    rate.Tokens
			requested time.Time
		}
		grants := make(chan grant, 1)
		one.OnGrant = func(t rate.Tokens, requested time.Time) { grants <- grant{t, requested} }
		left := 2.0
		two.GrantTokens = func(needs rate.Tokens) rate.Tokens {
			n := min(needs["c"], left)
			left -= n
			return rate.Tokens{"c": n}
		}
		time.Sleep(time.Second)
		for _, want := range []float64{2, 0} {
			requested := time.Now()
			one.RequestTokens("v2", rate.Tokens{"c": 3})
			g := <-grants
			is.Equal(g.tokens, rate.Tokens{"c": want})
			is.True(g.requested.Equal(requested))
		}
		one.RequestTokens("v9", rate.Tokens{"c": 3})
		synctest.Wait()
		is.Equal(len(grants), 0)
		stopOne()
		stopTwo()
	})
}

// Foreign and malformed datagrams must not cause a panic anywhere in their handling.
func FuzzReceive(f *testing.F) {
	for _, m := range []message{
		{Summary: &Summary{Member: Member{VM: "v2"}, Incarnation: 1, Sequence: 1, Load: map[chestnutcleat.InstanceID]int{"i": 1}}},
		{Digest: &Digest{From: "v2", Incarnation: 1, Sequence: 1, Group: "d/1", States: []vmState{packState(7, time.Millisecond, 0)}, Load: map[uint32]int{7: 1}}},
		{Digest: &Digest{From: "v2", Incarnation: 1, Sequence: 2, States: []vmState{packState(7, 0, flagLeaving)}}},
		{Request: &TokenRequest{From: "v2", Incarnation: 1, Number: 1, Tokens: rate.Tokens{"c": 1}}},
		{Grant: &TokenGrant{From: "v2", Incarnation: 1, Sequence: 1, Number: 1, Tokens: rate.Tokens{"c": 1}}},
	} {
		data, err := vm.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	var list []Member
	for i := range 2 * maxSingleGroup {
		list = append(list, member(i))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet := &Fleet{Self: list[0], Describe: func(*Summary) {}, Conn: newMemoryNetwork().open("10.0.0.0:7"), GrantTokens: func(n rate.Tokens) rate.Tokens { return n }}
		fleet.SetMembers(list)
		// Data that is not a message is rejected with an error; both results are fine here.
		_ = fleet.handleDatagram(data)
		fleet.sendOnce()
		fleet.Totals()
	})
}

// A datagram that is foreign or whose handler panics must affect nothing else. Such a panic once ended the process, and with it all
// VMs that received the same datagram.
func TestBadDatagramIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, network, list := is.New(t), newMemoryNetwork(), []Member{member(1), member(2)}
		one, stopOne := startFleet(t, network, list[0], list)
		var unread atomic.Int32
		one.OnError = func(error) { unread.Add(1) }
		one.OnSummary = func(s Summary) {
			if s.Leaving {
				panic("summary of a leaving VM")
			}
		}
		other := network.open("10.0.0.9:7")
		to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(list[0].Address)))
		panicking, err := vm.Encode(message{Summary: &Summary{Member: Member{VM: "v9"}, Incarnation: 1, Sequence: 1, Leaving: true}})
		is.NoErr(err)
		for _, data := range [][]byte{{0xff, 0}, {}, panicking} {
			_, err := other.WriteTo(data, to)
			is.NoErr(err)
		}
		_, stopTwo := startFleet(t, network, list[1], list)
		time.Sleep(time.Second)
		is.Equal(int(unread.Load()), 3)
		is.Equal(silentVMs(one)["v2"], false)
		stopOne()
		stopTwo()
	})
}
