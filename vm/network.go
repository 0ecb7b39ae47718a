package vm

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ErrUnreachable is the error of a request that the in-memory network lost.
var ErrUnreachable = errors.New("VM is unreachable")

// link is a direction between two addresses.
type link struct {
	from, to chestnutcleat.Address
}

// Network connects VMs in memory, with delay, loss and partitions.
type Network struct {
	// Delay is the one-way delay of a message.
	Delay time.Duration
	// Rand decides which messages are lost.
	Rand *rand.Rand

	mu sync.Mutex
	// loss is the share of messages that are lost, in each direction.
	loss  float64
	muxes map[chestnutcleat.Address]*Mux
	// ends are closed when the process at an address ends.
	ends     map[chestnutcleat.Address]chan struct{}
	cuts     map[link]bool
	messages map[chestnutcleat.Address]Traffic
}

// Traffic counts what a VM sent and received.
type Traffic struct {
	Messages int
	Bytes    int
}

// NewNetwork returns a network without VMs.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Rand:     rand.New(rand.NewPCG(seed, seed)),
		muxes:    map[chestnutcleat.Address]*Mux{},
		ends:     map[chestnutcleat.Address]chan struct{}{},
		cuts:     map[link]bool{},
		messages: map[chestnutcleat.Address]Traffic{},
	}
}

// SetLoss changes the share of messages that are lost, in each direction.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// Attach connects a VM.
func (n *Network) Attach(a chestnutcleat.Address, m *Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muxes[a] = m
	n.ends[a] = make(chan struct{})
}

// Close ends the process at an address while its VM lives on, as after a graceful shutdown:
// its connections are reset, so requests to it fail at once, also those that it has received.
func (n *Network) Close(a chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.muxes[a] != nil {
		close(n.ends[a])
		delete(n.muxes, a)
	}
}

// Detach removes a VM, as if its process had died.
func (n *Network) Detach(a chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.muxes, a)
}

// Cut loses the messages from one VM to another until they are joined again.
func (n *Network) Cut(from, to chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
}

// Join ends a cut.
func (n *Network) Join(from, to chestnutcleat.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
}

// Traffic returns what a VM has sent and received.
func (n *Network) Traffic(a chestnutcleat.Address) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[a]
}

// From returns the Peers of the VM at an address.
func (n *Network) From(a chestnutcleat.Address) chestnutcleat.Peers {
	return &port{network: n, address: a}
}

// pass sends one message and reports whether it arrived.
func (n *Network) pass(from, to chestnutcleat.Address, bytes int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count(from, bytes)
	if n.cuts[link{from, to}] || (n.loss > 0 && n.Rand.Float64() < n.loss) {
		return false
	}
	n.count(to, bytes)
	return true
}

// mux returns the handlers at an address and the channel that is closed when their process ends.
func (n *Network) mux(a chestnutcleat.Address) (*Mux, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[a], n.ends[a]
}

func (n *Network) count(a chestnutcleat.Address, bytes int) {
	t := n.messages[a]
	t.Messages++
	t.Bytes += bytes
	n.messages[a] = t
}

// port is one VM's end of a network.
type port struct {
	network *Network
	address chestnutcleat.Address
}

// Call implements chestnutcleat.Peers; a lost message leaves the sender waiting until ctx is done.
func (p *port) Call(ctx context.Context, to chestnutcleat.Address, method chestnutcleat.Method, request, answer any) error {
	data, err := Encoding{}.Marshal(request)
	if err != nil {
		return err
	}
	n := p.network
	if err := chestnutcleat.Sleep(ctx, n.Delay); err != nil {
		return err
	}
	m, end := n.mux(to)
	if !n.pass(p.address, to, len(data)) || (m == nil && !closed(end)) {
		<-ctx.Done()
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	if m == nil {
		return errors.Join(ErrUnreachable, chestnutcleat.Sleep(ctx, n.Delay))
	}
	r, err := serveAway(ctx, m, end, method, data)
	if err != nil {
		return err
	}
	if err := chestnutcleat.Sleep(ctx, n.Delay); err != nil {
		return err
	}
	if !n.pass(to, p.address, len(r.Body)) {
		<-ctx.Done()
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	return r.open(answer)
}

// serveAway runs the handler in a goroutine, so that a sender may give up before the handler ends.
func serveAway(ctx context.Context, m *Mux, end <-chan struct{}, method chestnutcleat.Method, data []byte) (reply, error) {
	done := make(chan reply, 1)
	go func() { done <- m.serve(ctx, method, data) }()
	select {
	case r := <-done:
		return r, nil
	case <-end:
		return reply{}, ErrUnreachable
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

func closed(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}
