package member

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Register adds the handlers of probes; do runs a function in the control goroutine and waits for its end,
// or returns an error without running it.
func (l *List) Register(mux *vm.Mux, do func(func()) error) {
	vm.Handle(mux, chestnutcleat.MethodProbe, func(_ context.Context, r probeRequest) (probeReply, error) {
		var a probeReply
		err := do(func() { a = l.answer(r) })
		return a, err
	})
	vm.Handle(mux, chestnutcleat.MethodRelay, func(ctx context.Context, r relayRequest) (relayReply, error) {
		var g gossip
		step := func() {
			l.init()
			l.absorb(r.Gossip)
			g = l.gossip(r.About)
			l.notify()
		}
		if err := do(step); err != nil {
			return relayReply{}, err
		}
		var a probeReply
		if err := l.Peers.Call(ctx, r.Target, chestnutcleat.MethodProbe, probeRequest{Gossip: g}, &a); err != nil {
			return relayReply{}, err
		}
		out := relayReply{Answered: a.Gossip.Self.VM.ID == r.About.VM.ID}
		err := do(func() {
			l.absorb(a.Gossip)
			out.Gossip = l.gossip(update{})
			out.Gossip.Updates = append(out.Gossip.Updates, a.Gossip.Self)
			l.notify()
		})
		return out, err
	})
}

// answer handles a probe.
func (l *List) answer(r probeRequest) probeReply {
	l.init()
	l.absorb(r.Gossip)
	var a probeReply
	if r.Sync {
		l.answerSync(r, &a)
	}
	about := update{}
	if p := l.peers[r.Gossip.Self.VM.ID]; p != nil {
		about = p.update
	}
	a.Gossip = l.gossip(about)
	l.notify()
	return a
}
