package vm

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ErrUnreachable is returned for a request if it or its reply was lost in a Network.
var ErrUnreachable = errors.New("VM is unreachable")

// link is one direction of the connection between two addresses.
type link struct {
	from, to chestnutcleat.Address
}

// Network simulates a network between VMs in memory, with delay, message loss and partitions.
type Network struct {
	// Delay is the one-way delay of a message.
	Delay time.Duration
	// Rand determines which messages are lost.
	Rand *rand.Rand

	mu sync.Mutex
	// lossRate is the fraction of messages that are lost, in each direction.
	lossRate float64
	// bytesPerSecond is the rate at which each VM can send replies; zero means no limit.
	bytesPerSecond int
	muxes          map[chestnutcleat.Address]*Mux
	// stopped holds a channel per address that is closed when the process there stops.
	stopped map[chestnutcleat.Address]chan struct{}
	blocked map[link]bool
	// sendingUntil is when each VM will have sent its replies.
	sendingUntil map[chestnutcleat.Address]time.Time
	traffic      map[chestnutcleat.Address]Traffic
}

// Traffic counts the messages that a VM sent and received.
type Traffic struct {
	Messages int
	Bytes    int
}

// NewNetwork returns a network without VMs.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Rand:    rand.New(rand.NewPCG(seed, seed)),
		muxes:   map[chestnutcleat.Address]*Mux{},
		stopped: map[chestnutcleat.Address]chan struct{}{},
		blocked: map[link]bool{},

		sendingUntil: map[chestnutcleat.Address]time.Time{},
		traffic:      map[chestnutcleat.Address]Traffic{},
	}
}

// SetLoss sets the fraction of messages that are lost, in each direction.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = share
}

// SetBytesPerSecond sets the rate at which each VM can send replies; zero means no limit.
func (n *Network) SetBytesPerSecond(rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesPerSecond = rate
}

// Attach connects a VM, whose requests m handles, at an address.
func (n *Network) Attach(a chestnutcleat.Address, m *Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muxes[a] = m
	n.stopped[a] = make(chan struct{})
}

// StopProcess stops the process at an address while its VM keeps running, as after a graceful shutdown:
// its connections are reset, so requests to it fail at once, including those that it has received.
func (n *Network) StopProcess(a chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.muxes[a] != nil {
		close(n.stopped[a])
		delete(n.muxes, a)
	}
}

// Detach removes a VM, as if it had crashed: new requests to it get no reply.
func (n *Network) Detach(a chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.muxes, a)
}

// Block drops all messages from one address to another until Unblock is called.
func (n *Network) Block(from, to chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = true
}

// Unblock reverts Block.
func (n *Network) Unblock(from, to chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, link{from, to})
}

// Traffic returns the traffic counts of the VM at an address.
func (n *Network) Traffic(a chestnutcleat.Address) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[a]
}

// From returns the RPC client of the VM at an address.
func (n *Network) From(a chestnutcleat.Address) chestnutcleat.Peers {
	return &endpoint{network: n, address: a}
}

// deliver counts one message and reports whether it arrives.
func (n *Network) deliver(from, to chestnutcleat.Address, size int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countMessage(from, size)
	if n.blocked[link{from, to}] || (n.lossRate > 0 && n.Rand.Float64() < n.lossRate) {
		return false
	}
	n.countMessage(to, size)
	return true
}

// mux returns the mux at an address and the channel that is closed when its process stops.
func (n *Network) mux(a chestnutcleat.Address) (*Mux, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[a], n.stopped[a]
}

func (n *Network) countMessage(a chestnutcleat.Address, size int) {
	t := n.traffic[a]
	t.Messages++
	t.Bytes += size
	n.traffic[a] = t
}

// queueReply returns the time until a VM has sent a reply of some bytes after those that it sends already.
func (n *Network) queueReply(from chestnutcleat.Address, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytesPerSecond == 0 {
		return 0
	}
	now := time.Now()
	until := n.sendingUntil[from]
	if until.Before(now) {
		until = now
	}
	until = until.Add(time.Duration(float64(size) / float64(n.bytesPerSecond) * float64(time.Second)))
	n.sendingUntil[from] = until
	return until.Sub(now)
}

// endpoint is the RPC client of one VM in a Network.
type endpoint struct {
	network *Network
	address chestnutcleat.Address
}

// Call implements chestnutcleat.Peers; if a message is lost, the sender waits until ctx is done.
func (e *endpoint) Call(ctx context.Context, to chestnutcleat.Address, method chestnutcleat.Method, request, answer any) error {
	data, err := Encoding{}.Marshal(request)
	if err != nil {
		return err
	}
	n := e.network
	if err := chestnutcleat.Sleep(ctx, n.Delay); err != nil {
		return err
	}
	m, stopped := n.mux(to)
	if !n.deliver(e.address, to, len(data)) || (m == nil && !isClosed(stopped)) {
		<-ctx.Done()
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	if m == nil {
		return errors.Join(ErrUnreachable, chestnutcleat.Sleep(ctx, n.Delay))
	}
	r, err := serveAsync(ctx, m, stopped, method, data)
	if err != nil {
		return err
	}
	if err := chestnutcleat.Sleep(ctx, n.Delay+n.queueReply(to, len(r.Body))); err != nil {
		return err
	}
	if !n.deliver(to, e.address, len(r.Body)) {
		<-ctx.Done()
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	return r.decode(answer)
}

// serveAsync runs the handler in a goroutine, so that the sender can give up before the handler returns.
func serveAsync(ctx context.Context, m *Mux, stopped <-chan struct{}, method chestnutcleat.Method, data []byte) (reply, error) {
	done := make(chan reply, 1)
	go func() { done <- m.serve(ctx, method, data) }()
	select {
	case r := <-done:
		return r, nil
	case <-stopped:
		return reply{}, ErrUnreachable
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
