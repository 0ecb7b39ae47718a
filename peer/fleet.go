package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/guard"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// interval is the time between the summaries of a VM, and between those of the relays of a group together.
	interval = 200 * time.Millisecond
	// soonSpacing is the least time between summaries that are sent early.
	soonSpacing = 20 * time.Millisecond
	// silentIntervals is the number of missed summaries after which a VM's state is not known; a few datagrams get lost.
	silentIntervals = 6
	// relayIntervals is added where VMs are heard of through relays.
	relayIntervals = 6
	maxDatagram    = 60 << 10
)

// Fleet sends this VM's summary and keeps the state of others.
type Fleet struct {
	Self Member
	// Describe fills in the changing part of this VM's summary.
	Describe func(*Summary)
	// Received runs for each newer summary; nil ignores it.
	Received func(Summary)
	// Digested runs for each newer digest; nil ignores it.
	Digested func(Digest)
	// Asked returns what another VM gets of the tokens that it asks for; nil gives nothing.
	Asked func(rate.Tokens) rate.Tokens
	// Granted runs for the tokens that another VM gives; nil ignores them.
	Granted func(t rate.Tokens, asked time.Time)
	// Heard and Silenced report that a VM is heard again or no longer; nil ignores it.
	Heard, Silenced func(chestnutcleat.VMID)
	// Unread receives why a datagram could not be taken, or made; nil ignores it.
	Unread func(error)
	// Conn is the socket for datagrams.
	Conn net.PacketConn

	mu     sync.Mutex
	roster roster
	groups *groups
	// told has the last digest of each other group, and views the sums over the other groups that relays of this one sent.
	told     map[Group]*received
	views    map[chestnutcleat.VMID]*received
	sequence uint64
	// toldOthers and toldGroup are when this VM, as a relay, last told the other groups of its own and its own of them.
	toldOthers, toldGroup time.Time
	// urgent is set while a change waits to be told.
	urgent bool
	grants uint64
	// incarnation names this process.
	incarnation Incarnation
	// questions has when those that have no answer yet were sent, by number, and question is the last number.
	questions map[uint64]time.Time
	question  uint64
	now       chan struct{}
	once      sync.Once
}

func (f *Fleet) init() {
	f.once.Do(func() {
		f.roster = newRoster()
		f.questions = map[uint64]time.Time{}
		f.groups = newGroups(f.Self, nil)
		f.told, f.views = map[Group]*received{}, map[chestnutcleat.VMID]*received{}
		// Zero is that of a VM that was not heard yet.
		f.incarnation = Incarnation(rand.Uint64() | 1)
		f.now = make(chan struct{}, 1)
	})
}

// SetMembers replaces the VMs that the platform lists.
func (f *Fleet) SetMembers(list []Member) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	others := make(map[chestnutcleat.VMID]Member, len(list))
	for _, m := range list {
		if m.VM == f.Self.VM || m.Role != f.Self.Role {
			continue
		}
		others[m.VM] = m
		if f.roster.peers[m.VM] == nil {
			f.roster.peers[m.VM] = newPeer(m)
		}
	}
	f.groups = newGroups(f.Self, slices.Collect(maps.Values(others)))
	f.roster.arrange(f.groups)
}

// Soon sends a summary at once instead of at the next interval.
func (f *Fleet) Soon() {
	f.init()
	f.mu.Lock()
	f.urgent = true
	f.mu.Unlock()
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
	var sending sync.WaitGroup
	sending.Go(func() { f.send(ctx) })
	defer sending.Wait()
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
		// What one datagram breaks must not keep the others from being heard.
		var unread error
		if err := guard.Call(func() { unread = f.take(buffer[:n]) }); err != nil {
			unread = err
		}
		if unread != nil && f.Unread != nil {
			f.Unread(unread)
		}
	}
}

// take passes the parts of a datagram on.
func (f *Fleet) take(data []byte) error {
	m, err := vm.Decode[message](data)
	if err != nil {
		return fmt.Errorf("datagram of %d bytes: %w", len(data), err)
	}
	if m.Summary != nil && m.Summary.VM != "" && m.Summary.VM != f.Self.VM {
		f.tell(*m.Summary, f.note(m.Summary, m.Part))
	}
	for i := range m.Forwarded {
		v := &m.Forwarded[i]
		n := f.noteForwarded(v)
		f.tell(v.Summary, n)
	}
	if m.Digest != nil {
		f.receiveDigest(m.Digest)
	}
	if m.Question != nil {
		f.answer(m.Question)
	}
	if m.Grant != nil {
		f.receiveGrant(m.Grant)
	}
	return nil
}

// Relays reports whether this VM tells its group of others.
func (f *Fleet) Relays() bool {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isRelay()
}

// Address returns where a VM gets datagrams and calls.
func (f *Fleet) Address(id chestnutcleat.VMID) (chestnutcleat.Address, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.roster.peers[id]
	if p == nil {
		return "", false
	}
	return p.Address, true
}

// write sends a datagram and reports whether it was small enough.
func (f *Fleet) write(m message, to ...chestnutcleat.Address) bool {
	data, err := vm.Encode(m)
	if err != nil || len(data) > maxDatagram {
		return false
	}
	for _, v := range to {
		a, err := netip.ParseAddrPort(string(v))
		if err != nil {
			continue
		}
		// A lost datagram is made up for by the next one.
		_, _ = f.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
	return true
}

// tell passes on a summary and what it changed.
func (f *Fleet) tell(s Summary, n noted) {
	if n.old {
		return
	}
	if n.silent && f.Heard != nil {
		f.Heard(s.VM)
	}
	if f.Received != nil {
		f.Received(s)
	}
	if n.relays && (n.silent || n.changed) {
		f.Soon()
	}
}

// noted tells what a summary changed.
type noted struct {
	// old is set for a summary that is not newer than what is known, silent if the VM had not been heard before.
	old, silent bool
	// changed is set if a flag of the VM changed, relays if this VM is a relay.
	changed, relays bool
}

// note takes over a summary that came from the VM itself.
func (f *Fleet) note(s *Summary, as part) noted {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.roster.peers[s.VM]
	first := p == nil
	if first {
		p = newPeer(s.Member)
	}
	p.direct, p.part = time.Now(), as
	if !p.summaries.accept(s.Incarnation, s.Sequence) {
		return noted{old: true}
	}
	n := noted{silent: p.Silent(), changed: p.flags() != s.flags(), relays: f.isRelay()}
	p.Summary, p.Heard = *s, time.Now()
	if first {
		f.roster.peers[s.VM] = p
		f.roster.arrange(f.groups)
	}
	return n
}

func (f *Fleet) send(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.now:
			if early := soonSpacing - time.Since(last); early > 0 {
				t.Reset(early)
				continue
			}
		}
		last = time.Now()
		if err := guard.Call(f.sendOnce); err != nil && f.Unread != nil {
			f.Unread(err)
		}
		f.reportSilent()
		t.Reset(interval)
	}
}

// sendOnce tells this VM's group, or its relays, of it and, if this VM is a relay, of the others, and the other groups of its own.
func (f *Fleet) sendOnce() {
	var s Summary
	f.Describe(&s)
	urgent := f.sign(&s)
	r := f.newRound(urgent)
	m := message{Summary: &s, Forwarded: r.forwarded}
	if r.relays && len(r.to) > 0 {
		m.Part, m.Digest = asRelay, f.digestOthers(s.Versions)
	}
	f.sendTo(m, r.to)
	f.sendTo(message{Part: asHelper, Summary: &s, Forwarded: r.group, Digest: r.view}, r.asking)
	if r.relays {
		f.tellOthers(&s, urgent)
	}
}

// sign completes a summary, and reports whether a change waits to be told.
func (f *Fleet) sign(s *Summary) (urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	s.Member, s.Incarnation, s.Sequence = f.Self, f.incarnation, f.sequence
	urgent, f.urgent = f.urgent, false
	return urgent
}

// sendTo sends a message, if it is too long in part: that VMs live must be heard.
func (f *Fleet) sendTo(m message, to []chestnutcleat.Address) {
	if len(to) == 0 || f.write(m, to...) {
		return
	}
	short := m.brief()
	if !f.write(short, to...) {
		short.Digest = nil
		f.write(short, to...)
	}
}

// reportSilent tells which VMs are no longer heard.
func (f *Fleet) reportSilent() {
	f.mu.Lock()
	lost := f.roster.missed()
	f.mu.Unlock()
	for _, id := range lost {
		if f.Silenced != nil {
			f.Silenced(id)
		}
	}
}
