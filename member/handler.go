package member

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Register adds the handlers of direct and relayed probes; do runs a function in the control goroutine and waits until it
// returns, or returns an error without running it.
func (l *List) Register(mux *vm.Mux, do func(func()) error) {
	vm.Handle(mux, chestnutcleat.MethodProbe, func(_ context.Context, r probeRequest) (probeReply, error) {
		var a probeReply
		err := do(func() { a = l.handleProbe(r) })
		return a, err
	})
	vm.Handle(mux, chestnutcleat.MethodRelay, func(ctx context.Context, r relayRequest) (relayReply, error) {
		var g gossip
		step := func() {
			l.init()
			l.mergeGossip(r.Gossip)
			g = l.nextGossip(r.About)
			l.notify()
		}
		if err := do(step); err != nil {
			return relayReply{}, err
		}
		var a probeReply
		if err := l.Peers.Call(ctx, r.Target, chestnutcleat.MethodProbe, probeRequest{Gossip: g}, &a); err != nil {
			return relayReply{}, err
		}
		reply := relayReply{Answered: a.Gossip.Self.VM.ID == r.About.VM.ID}
		err := do(func() {
			l.mergeGossip(a.Gossip)
			reply.Gossip = l.nextGossip(update{})
			reply.Gossip.Updates = append(reply.Gossip.Updates, a.Gossip.Self)
			l.notify()
		})
		return reply, err
	})
}

// handleProbe merges a probe's gossip and returns the reply.
func (l *List) handleProbe(r probeRequest) probeReply {
	l.init()
	l.mergeGossip(r.Gossip)
	var a probeReply
	if r.Sync {
		l.answerSync(r, &a)
	}
	sender := update{}
	if p := l.peers[r.Gossip.Self.VM.ID]; p != nil {
		sender = p.update
	}
	a.Gossip = l.nextGossip(sender)
	l.notify()
	return a
}
