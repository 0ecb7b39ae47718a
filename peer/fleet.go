package peer

import (
	"cmp"
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
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// interval is the time between summaries of a small fleet.
	interval = 200 * time.Millisecond
	// perSecond bounds the datagrams that a VM of a large fleet sends.
	perSecond = 150
	// silentIntervals is the number of missed summaries after which a VM's state is not known; a few datagrams get lost.
	silentIntervals = 6
	maxDatagram     = 60 << 10
	// questionTime is how long an answer to a question is waited for; tokens are worth nothing after it.
	questionTime = time.Second
)

// Peer is another VM and its last summary.
type Peer struct {
	Summary
	// Heard is when the last summary arrived; zero if none did.
	Heard time.Time
	// known is when this VM first knew of the other one.
	known time.Time
	// patience is the age from which the last summary says nothing about the present.
	patience time.Duration
	// summaries and grants order the VM's messages.
	summaries, grants series
}

// Silent reports whether the VM's state is not known at the moment.
func (p *Peer) Silent() bool { return p.Heard.IsZero() || time.Since(p.Heard) > p.patience }

// Expected reports whether the VM was not heard yet, but may be soon.
func (p *Peer) Expected() bool { return p.Heard.IsZero() && time.Since(p.known) < p.patience }

// Quiet returns how long the VM has not been heard.
func (p *Peer) Quiet() time.Duration {
	if p.Heard.IsZero() {
		return time.Since(p.known)
	}
	return time.Since(p.Heard)
}

// intervalOf is the time between the summaries of a VM that has n peers.
func intervalOf(n int) time.Duration {
	return max(interval, time.Duration(n)*time.Second/perSecond)
}

// Fleet sends this VM's summary and keeps those of others.
type Fleet struct {
	Self Member
	// Describe fills in the changing part of this VM's summary.
	Describe func(*Summary)
	// Received runs for each newer summary; nil ignores it.
	Received func(Summary)
	// Asked returns what another VM gets of the tokens that it asks for; nil gives nothing.
	Asked func(rate.Tokens) rate.Tokens
	// Granted runs for the tokens that another VM gives; nil ignores them.
	Granted func(t rate.Tokens, asked time.Time)
	// Heard and Silenced report that a VM is heard again or no longer; nil ignores it.
	Heard, Silenced func(chestnutcleat.VMID)
	// Unread receives why a datagram could not be taken; nil ignores it.
	Unread func(error)
	// Conn is the socket for datagrams.
	Conn net.PacketConn

	mu       sync.Mutex
	peers    map[chestnutcleat.VMID]*Peer
	listed   map[chestnutcleat.VMID]Member
	sequence uint64
	grants   uint64
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
		f.peers = map[chestnutcleat.VMID]*Peer{}
		f.questions = map[uint64]time.Time{}
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
	f.listed = make(map[chestnutcleat.VMID]Member, len(list))
	for _, m := range list {
		if m.VM == f.Self.VM || m.Role != f.Self.Role {
			continue
		}
		f.listed[m.VM] = m
		if f.peers[m.VM] == nil {
			f.peers[m.VM] = &Peer{Summary: Summary{Member: m}, known: time.Now(), patience: silentIntervals * interval}
		}
	}
	patience := silentIntervals * intervalOf(len(f.listed))
	for id, p := range f.peers {
		p.patience = patience
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
		f.receive(*m.Summary)
	}
	if m.Question != nil {
		f.answer(m.Question)
	}
	if m.Grant != nil {
		f.receiveGrant(m.Grant)
	}
	return nil
}

// receiveGrant takes tokens once: a repeated or overtaken datagram gives nothing.
func (f *Fleet) receiveGrant(g *Grant) {
	f.mu.Lock()
	p := f.peers[g.From]
	ok := p != nil && g.To == f.incarnation && p.grants.accept(g.Incarnation, g.Sequence)
	asked, open := f.questions[g.Number]
	delete(f.questions, g.Number)
	f.mu.Unlock()
	if ok && open && f.Granted != nil {
		f.Granted(g.Tokens, asked)
	}
}

// Ask asks a VM for tokens; a lost datagram is made up for by the next question.
func (f *Fleet) Ask(to chestnutcleat.VMID, t rate.Tokens) {
	a, ok := f.address(to)
	if !ok {
		return
	}
	f.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(f.questions, func(_ uint64, sent time.Time) bool { return now.Sub(sent) > questionTime })
	f.question++
	q := Question{From: f.Self.VM, Incarnation: f.incarnation, Number: f.question, Tokens: t}
	f.questions[q.Number] = now
	f.mu.Unlock()
	f.write(message{Question: &q}, a)
}

// answer gives tokens to the VM that asked for them; a lost datagram loses them.
func (f *Fleet) answer(q *Question) {
	a, ok := f.address(q.From)
	if !ok || f.Asked == nil {
		return
	}
	t := f.Asked(q.Tokens)
	if len(t) == 0 {
		return
	}
	f.mu.Lock()
	f.grants++
	g := Grant{From: f.Self.VM, Incarnation: f.incarnation, Sequence: f.grants, To: q.Incarnation, Number: q.Number, Tokens: t}
	f.mu.Unlock()
	f.write(message{Grant: &g}, a)
}

// address returns where a VM gets datagrams.
func (f *Fleet) address(id chestnutcleat.VMID) (chestnutcleat.Address, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[id]
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

func (f *Fleet) receive(s Summary) {
	f.mu.Lock()
	p := f.peers[s.VM]
	if p == nil {
		p = &Peer{known: time.Now(), patience: silentIntervals * interval}
		f.peers[s.VM] = p
	}
	if !p.summaries.accept(s.Incarnation, s.Sequence) {
		f.mu.Unlock()
		return
	}
	silent := p.Silent()
	p.Summary, p.Heard = s, time.Now()
	f.mu.Unlock()
	if silent && f.Heard != nil {
		f.Heard(s.VM)
	}
	if f.Received != nil {
		f.Received(s)
	}
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
		t.Reset(intervalOf(len(peers)))
	}
}

func (f *Fleet) sendTo(peers []Peer) {
	f.mu.Lock()
	f.sequence++
	s := Summary{Member: f.Self, Incarnation: f.incarnation, Sequence: f.sequence}
	f.mu.Unlock()
	f.Describe(&s)
	to := make([]chestnutcleat.Address, 0, len(peers))
	for i := range peers {
		to = append(to, peers[i].Address)
	}
	if !f.write(message{Summary: &s}, to...) {
		// With very many customers and instances the details are left out; that the VM lives must still be heard.
		s.Load, s.Breaks, s.Tally = nil, nil, place.Tally{}
		f.write(message{Summary: &s}, to...)
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
