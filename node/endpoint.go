package node

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/vm"
)

// ownership reports whether this VM may act as owner. It is used only in the control goroutine.
type ownership interface {
	// Check returns nil if this VM owns the key's slot and its lease is valid.
	Check(k chestnutcleat.Key) error
	// CheckAfterTransfer is like Check, but waits while the slot is being transferred.
	CheckAfterTransfer(k chestnutcleat.Key, done func(error))
}

// endpoint is a request that is handled by the owner of its key.
type endpoint[Req, Resp any] struct {
	method chestnutcleat.Method
	keyOf  func(Req) chestnutcleat.Key
	// handle processes a request in the control goroutine and replies immediately or later.
	handle func(Req, func(Resp))
}

// result is a reply or an error.
type result[Resp any] struct {
	value Resp
	err   error
}

// serve handles a request if this VM is the owner.
// The lease is checked again before the reply is returned, as the VM may have been paused or replaced in the meantime.
func (e *endpoint[Req, Resp]) serve(ctx context.Context, l *control.Loop, o ownership, r Req) (Resp, error) {
	out := make(chan result[Resp], 1)
	k := e.keyOf(r)
	reply := func(v Resp) {
		out <- result[Resp]{value: v, err: o.Check(k)}
	}
	l.Post(func() {
		o.CheckAfterTransfer(k, func(err error) {
			if err != nil {
				out <- result[Resp]{err: err}
				return
			}
			e.handle(r, reply)
		})
	})
	select {
	case a := <-out:
		return a.value, a.err
	case <-ctx.Done():
		var none Resp
		return none, ctx.Err()
	}
}

// register makes the endpoint available to other VMs.
func (e *endpoint[Req, Resp]) register(m *vm.Mux, l *control.Loop, o ownership) {
	vm.Handle(m, e.method, func(ctx context.Context, r Req) (Resp, error) { return e.serve(ctx, l, o, r) })
}
