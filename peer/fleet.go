package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// interval is the time between summaries of a small fleet.
	interval = 200 * time.Millisecond
	// perSecond bounds the datagrams that a VM of a large fleet sends.
	perSecond = 150
	// SilentAfter is the age from which a VM's last summary says nothing about the present.
	SilentAfter = 1200 * time.Millisecond
	maxDatagram = 60 << 10
)

// Peer is another VM and its last summary.
type Peer struct {
	Summary
	// Heard is when the last summary arrived; zero if none did.
	Heard time.Time
}

// Silent reports whether the VM's state is not known at the moment.
func (p *Peer) Silent() bool { return p.Heard.IsZero() || time.Since(p.Heard) > SilentAfter }

// Fleet sends this VM's summary and keeps those of others.
type Fleet struct {
	Self Member
	// Describe fills in the changing part of this VM's summary.
	Describe func(*Summary)
	// Received runs for each newer summary with the one before; nil ignores it.
	Received func(before, now Summary)
	// Heard and Silenced report that a VM is heard again or no longer; nil ignores it.
	Heard, Silenced func(chestnutcleat.VMID)
	// Conn is the socket for datagrams.
	Conn net.PacketConn

	mu       sync.Mutex
	peers    map[chestnutcleat.VMID]*Peer
	listed   map[chestnutcleat.VMID]Member
	sequence uint64
	now      chan struct{}
	once     sync.Once
}

func (f *Fleet) init() {
	f.once.Do(func() {
		f.peers = map[chestnutcleat.VMID]*Peer{}
		f.now = make(chan struct{}, 1)
	})
}

// SetMembers replaces the VMs that the platform lists.
func (f *Fleet) SetMembers(list []Member) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = make(map[chestnutcleat.VMID]Member, len(list))
	for _, m := range list {
		if m.VM == f.Self.VM || m.Role != f.Self.Role {
			continue
		}
		f.listed[m.VM] = m
		if p := f.peers[m.VM]; p == nil {
			f.peers[m.VM] = &Peer{Summary: Summary{Member: m}}
		} else if m.Started > p.Started {
			p.Member = m
		}
	}
	for id, p := range f.peers {
		if _, ok := f.listed[id]; !ok && p.Silent() {
			delete(f.peers, id)
		}
	}
}

// Peers returns the other VMs in the order of their ids.
func (f *Fleet) Peers() []Peer {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Peer, 0, len(f.peers))
	for _, p := range f.peers {
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Soon sends a summary at once instead of at the next interval.
func (f *Fleet) Soon() {
	f.init()
	select {
	case f.now <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx is done.
func (f *Fleet) Run(ctx context.Context) error {
	f.init()
	stop := context.AfterFunc(ctx, func() { f.Conn.Close() })
	defer stop()
	go f.send(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.Conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("receive summaries: %w", err)
		case err != nil:
			// An ICMP error of an earlier datagram; the socket goes on.
			continue
		}
		s, err := vm.Decode[Summary](buffer[:n])
		if err != nil || s.VM == "" || s.VM == f.Self.VM {
			continue
		}
		f.receive(s)
	}
}

func (f *Fleet) receive(s Summary) {
	f.mu.Lock()
	p := f.peers[s.VM]
	if p == nil {
		p = &Peer{}
		f.peers[s.VM] = p
	}
	if !newer(&s, p) {
		f.mu.Unlock()
		return
	}
	before, silent := p.Summary, p.Silent()
	p.Summary, p.Heard = s, time.Now()
	f.mu.Unlock()
	if silent && f.Heard != nil {
		f.Heard(s.VM)
	}
	if f.Received != nil {
		f.Received(before, s)
	}
}

func newer(s *Summary, p *Peer) bool {
	if p.Heard.IsZero() {
		return true
	}
	if s.Started != p.Started {
		return s.Started > p.Started
	}
	return s.Sequence > p.Sequence
}

func (f *Fleet) send(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	silent := map[chestnutcleat.VMID]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.now:
		}
		peers := f.Peers()
		f.sendTo(peers)
		f.reportSilent(peers, silent)
		t.Reset(max(interval, time.Duration(len(peers))*time.Second/perSecond))
	}
}

func (f *Fleet) sendTo(peers []Peer) {
	f.mu.Lock()
	f.sequence++
	s := Summary{Member: f.Self, Sequence: f.sequence}
	f.mu.Unlock()
	f.Describe(&s)
	data, err := vm.Encode(s)
	if err != nil || len(data) > maxDatagram {
		// The encoding of our own type does not fail; a summary that is too large is a fault of Describe.
		panic(fmt.Sprintf("summary of %d bytes: %v", len(data), err))
	}
	for i := range peers {
		a, err := netip.ParseAddrPort(string(peers[i].Address))
		if err != nil {
			continue
		}
		// A lost datagram is made up for by the next one.
		_, _ = f.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

func (f *Fleet) reportSilent(peers []Peer, silent map[chestnutcleat.VMID]bool) {
	for i := range peers {
		p := &peers[i]
		was := silent[p.VM]
		silent[p.VM] = p.Silent()
		if silent[p.VM] && !was && !p.Heard.IsZero() && f.Silenced != nil {
			f.Silenced(p.VM)
		}
	}
}
