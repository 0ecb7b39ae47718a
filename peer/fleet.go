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
	// summaryInterval is the time between the summaries of a VM, and between the forwarded summaries of a group's relays together.
	summaryInterval = 200 * time.Millisecond
	// minSendSpacing is the minimum time between summaries.
	minSendSpacing = 20 * time.Millisecond
	// silenceIntervals is the number of missed summaries after which a VM is silent. It allows for the loss of a few datagrams.
	silenceIntervals = 6
	// extraRelayIntervals is added to silenceIntervals in a fleet with relays, through which summaries take longer.
	extraRelayIntervals = 6
	maxDatagramBytes    = 60 << 10
)

// Fleet sends this VM's summary and keeps the state of the other VMs.
type Fleet struct {
	Self Member
	// Describe fills in the fields of this VM's summary that change.
	Describe func(*Summary)
	// OnSummary is called for each new summary; optional.
	OnSummary func(Summary)
	// OnDigest is called for each new digest; optional.
	OnDigest func(Digest)
	// GrantTokens returns the tokens to grant to a VM that requests some; nil grants none.
	GrantTokens func(rate.Tokens) rate.Tokens
	// OnGrant is called with the tokens that another VM granted and the time of the request; optional.
	OnGrant func(t rate.Tokens, requested time.Time)
	// OnHeard is called when a silent VM is heard, and OnSilent when a VM becomes silent; optional.
	OnHeard, OnSilent func(chestnutcleat.VMID)
	// OnError is called with the error if a datagram can't be handled or sending fails; optional.
	OnError func(error)
	// Conn is the socket for datagrams.
	Conn net.PacketConn

	mu     sync.Mutex
	peers  peerTable
	groups *groups
	// groupDigests has the last digest of each other group, and relayViews the sums over other groups from relays of this group.
	groupDigests map[Group]*receivedDigest
	relayViews   map[chestnutcleat.VMID]*receivedDigest
	sequence     uint64
	// lastRemoteDigest is when this VM, as a relay, last sent to other groups, and lastForward when it last forwarded summaries to its
	// own.
	lastRemoteDigest, lastForward time.Time
	// leaving is set once this VM's summaries say that it leaves.
	leaving bool
	// urgent is set while a change waits to be sent.
	urgent    bool
	lastGrant uint64
	// incarnation identifies this process.
	incarnation Incarnation
	// pendingRequests has the times at which unanswered token requests were sent, by number; lastRequest is the last number.
	pendingRequests map[uint64]time.Time
	lastRequest     uint64
	sendNow         chan struct{}
	once            sync.Once
}

func (f *Fleet) init() {
	f.once.Do(func() {
		f.peers = newPeerTable()
		f.pendingRequests = map[uint64]time.Time{}
		f.groups = newGroups(f.Self, nil)
		f.groupDigests, f.relayViews = map[Group]*receivedDigest{}, map[chestnutcleat.VMID]*receivedDigest{}
		// Zero is the incarnation of a VM that was not heard yet.
		f.incarnation = Incarnation(rand.Uint64() | 1)
		f.sendNow = make(chan struct{}, 1)
	})
}

// SetMembers replaces the VMs that the platform lists. VMs of other roles are ignored.
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
		if f.peers.byID[m.VM] == nil {
			f.peers.byID[m.VM] = newPeer(m)
		}
	}
	f.groups = newGroups(f.Self, slices.Collect(maps.Values(others)))
	f.peers.rebuild(f.groups)
}

// SendSoon marks the next summary as urgent and sends it as soon as minSendSpacing permits.
func (f *Fleet) SendSoon() {
	f.init()
	f.mu.Lock()
	f.urgent = true
	f.mu.Unlock()
	select {
	case f.sendNow <- struct{}{}:
	default:
	}
}

// Run sends and receives datagrams until ctx is done.
func (f *Fleet) Run(ctx context.Context) error {
	f.init()
	stop := context.AfterFunc(ctx, func() { f.Conn.Close() })
	defer stop()
	var sender sync.WaitGroup
	sender.Go(func() { f.sendLoop(ctx) })
	defer sender.Wait()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.Conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("receive summaries: %w", err)
		case err != nil:
			// An ICMP error for an earlier datagram; the socket remains usable.
			continue
		}
		// A panic in the handling of one datagram must not stop the others.
		var handleErr error
		if err := guard.Call(func() { handleErr = f.handleDatagram(buffer[:n]) }); err != nil {
			handleErr = err
		}
		if handleErr != nil && f.OnError != nil {
			f.OnError(handleErr)
		}
	}
}

// handleDatagram decodes a datagram and handles its parts.
func (f *Fleet) handleDatagram(data []byte) error {
	m, err := vm.Decode[message](data)
	if err != nil {
		return fmt.Errorf("datagram of %d bytes: %w", len(data), err)
	}
	if m.Summary != nil && m.Summary.VM != "" && m.Summary.VM != f.Self.VM {
		f.notify(*m.Summary, f.applySummary(m.Summary, m.GroupRole))
	}
	for i := range m.Forwarded {
		forwarded := &m.Forwarded[i]
		update := f.applyForwarded(forwarded)
		f.notify(forwarded.Summary, update)
	}
	if m.Digest != nil {
		f.receiveDigest(m.Digest)
	}
	if m.Request != nil {
		f.answerRequest(m.Request)
	}
	if m.Grant != nil {
		f.receiveGrant(m.Grant)
	}
	return nil
}

// IsRelay reports whether this VM is a relay of its group.
func (f *Fleet) IsRelay() bool {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isRelay()
}

// Address returns the address at which a VM receives datagrams and calls.
func (f *Fleet) Address(id chestnutcleat.VMID) (chestnutcleat.Address, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers.byID[id]
	if p == nil {
		return "", false
	}
	return p.Address, true
}

// sendDatagram sends a message in one datagram, and returns false if it does not fit.
func (f *Fleet) sendDatagram(m message, to ...chestnutcleat.Address) bool {
	data, err := vm.Encode(m)
	if err != nil || len(data) > maxDatagramBytes {
		return false
	}
	for _, v := range to {
		a, err := netip.ParseAddrPort(string(v))
		if err != nil {
			continue
		}
		// The next summary makes up for a lost one.
		_, _ = f.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
	return true
}

// notify calls the callbacks for a summary. A relay then sends early if the VM was silent or a flag changed.
func (f *Fleet) notify(s Summary, update summaryUpdate) {
	if update.stale {
		return
	}
	if update.wasSilent && f.OnHeard != nil {
		f.OnHeard(s.VM)
	}
	if f.OnSummary != nil {
		f.OnSummary(s)
	}
	if update.isRelay && (update.wasSilent || update.flagsChanged) {
		f.SendSoon()
	}
}

// summaryUpdate describes what a summary changed.
type summaryUpdate struct {
	// stale is set for a summary that is not newer than the known one, and wasSilent if the VM was silent before.
	stale, wasSilent bool
	// flagsChanged is set if a flag of the VM changed, and isRelay if this VM is a relay.
	flagsChanged, isRelay bool
}

// applySummary stores a summary that was sent by the VM itself.
func (f *Fleet) applySummary(s *Summary, senderRole groupRole) summaryUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers.byID[s.VM]
	first := p == nil
	if first {
		p = newPeer(s.Member)
	}
	p.lastDirect, p.groupRole = time.Now(), senderRole
	if !p.summaries.accept(s.Incarnation, s.Sequence) {
		return summaryUpdate{stale: true}
	}
	update := summaryUpdate{wasSilent: p.Silent(), flagsChanged: p.flags() != s.flags(), isRelay: f.isRelay()}
	p.Summary, p.LastHeard = *s, time.Now()
	if first {
		f.peers.byID[s.VM] = p
		f.peers.rebuild(f.groups)
	}
	return update
}

func (f *Fleet) sendLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.sendNow:
			if remaining := minSendSpacing - time.Since(last); remaining > 0 {
				t.Reset(remaining)
				continue
			}
		}
		last = time.Now()
		if err := guard.Call(f.sendOnce); err != nil && f.OnError != nil {
			f.OnError(err)
		}
		f.reportSilent()
		t.Reset(summaryInterval)
	}
}

// sendOnce sends what planSend has planned and, if this VM is a relay, digests to the other groups.
func (f *Fleet) sendOnce() {
	var s Summary
	f.Describe(&s)
	urgent := f.stamp(&s)
	plan := f.planSend(urgent)
	m := message{Summary: &s, Forwarded: plan.forwarded}
	if plan.isRelay && len(plan.to) > 0 {
		m.GroupRole, m.Digest = roleRelay, f.digestOtherGroups(&s)
	}
	f.sendOrTrim(m, plan.to)
	f.sendOrTrim(message{GroupRole: roleFallback, Summary: &s, Forwarded: plan.group, Digest: plan.view}, plan.withoutRelay)
	if plan.isRelay {
		f.sendToOtherGroups(&s, urgent)
	}
}

// stamp completes a summary and reports whether it is urgent.
func (f *Fleet) stamp(s *Summary) (urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	s.Member, s.Incarnation, s.Sequence = f.Self, f.incarnation, f.sequence
	f.leaving = s.Leaving
	urgent, f.urgent = f.urgent, false
	return urgent
}

// sendOrTrim sends a message. If it is too long, its counts, and if need be its digest, are left out: the VMs in it must be heard.
func (f *Fleet) sendOrTrim(m message, to []chestnutcleat.Address) {
	if len(to) == 0 || f.sendDatagram(m, to...) {
		return
	}
	trimmed := m.withoutCounts()
	if !f.sendDatagram(trimmed, to...) {
		trimmed.Digest = nil
		f.sendDatagram(trimmed, to...)
	}
}

// reportSilent reports the VMs that became silent.
func (f *Fleet) reportSilent() {
	f.mu.Lock()
	lost := f.peers.newlySilent()
	f.mu.Unlock()
	for _, id := range lost {
		if f.OnSilent != nil {
			f.OnSilent(id)
		}
	}
}
