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
	loss     float64
	muxes    map[chestnutcleat.Address]*Mux
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

func (n *Network) mux(a chestnutcleat.Address) *Mux {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[a]
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
	if err := wait(ctx, n.Delay); err != nil {
		return err
	}
	m := n.mux(to)
	if !n.pass(p.address, to, len(data)) || m == nil {
		<-ctx.Done()
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	r, err := serveAway(ctx, m, method, data)
	if err != nil {
		return err
	}
	if err := wait(ctx, n.Delay); err != nil {
		return err
	}
	if !n.pass(to, p.address, len(r.Body)) {
		<-ctx.Done()
		return errors.Join(ErrUnreachable, ctx.Err())
	}
	return r.open(answer)
}

// serveAway runs the handler in a goroutine, so that a sender may give up before the handler ends.
func serveAway(ctx context.Context, m *Mux, method chestnutcleat.Method, data []byte) (reply, error) {
	done := make(chan reply, 1)
	go func() { done <- m.serve(ctx, method, data) }()
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
