package node

import (
	"context"
	"sync"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/vm"
)

// drainSignal tells the process that an operator requested its graceful shutdown.
type drainSignal struct {
	once      sync.Once
	requested chan struct{}
}

// drainRequest asks a VM for its graceful shutdown.
type drainRequest struct {
	Who string `json:"who"`
}

func (n *Node) buildDrain() {
	n.drain.requested = make(chan struct{})
	vm.Handle(n.Mux, chestnutcleat.MethodDrain, func(context.Context, drainRequest) (chestnutcleat.Ack, error) {
		n.drain.once.Do(func() { close(n.drain.requested) })
		return chestnutcleat.Ack{}, nil
	})
}

// DrainRequested returns a channel that is closed when an operator requests this VM's graceful shutdown.
func (n *Node) DrainRequested() <-chan struct{} { return n.drain.requested }

// Drain starts the graceful shutdown of a VM.
func (n *Node) Drain(ctx context.Context, id chestnutcleat.VMID, who string) error {
	for _, v := range n.members.Snapshot() {
		if v.ID != id {
			continue
		}
		var a chestnutcleat.Ack
		err := n.Peers.Call(ctx, v.Address, chestnutcleat.MethodDrain, drainRequest{Who: who}, &a)
		n.Loop.Post(func() { n.manifests.Record(who, "drain "+string(id), manifest.ResultOf(err)) })
		return err
	}
	return chestnutcleat.NewProblem(chestnutcleat.CodeVMUnknown, chestnutcleat.NotRun, "VM %q is not a member of the fleet", id)
}
