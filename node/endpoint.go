package node

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/vm"
)

// ownership tells whether this VM may act as owner; it is used only in the control goroutine.
type ownership interface {
	// Check returns nil if this VM owns the key's slot and its lease is valid.
	Check(k chestnutcleat.Key) error
	// Wait is Check that waits while the slot is in transfer.
	Wait(k chestnutcleat.Key, done func(error))
}

// endpoint is a request that the owner of a key answers.
type endpoint[Req, Resp any] struct {
	method chestnutcleat.Method
	key    func(Req) chestnutcleat.Key
	// run answers a request in the control goroutine, now or later.
	run func(Req, func(Resp))
}

// result is an answer or the error that takes its place.
type result[Resp any] struct {
	value Resp
	err   error
}

// serve answers a request if this VM is the owner.
// The lease is checked again before the answer leaves, as the VM may have been paused or replaced while the request waited.
func (e *endpoint[Req, Resp]) serve(ctx context.Context, l *control.Loop, o ownership, r Req) (Resp, error) {
	out := make(chan result[Resp], 1)
	k := e.key(r)
	answer := func(v Resp) {
		out <- result[Resp]{value: v, err: o.Check(k)}
	}
	l.Post(func() {
		o.Wait(k, func(err error) {
			if err != nil {
				out <- result[Resp]{err: err}
				return
			}
			e.run(r, answer)
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

// register lets other VMs send the request.
func (e *endpoint[Req, Resp]) register(m *vm.Mux, l *control.Loop, o ownership) {
	vm.Handle(m, e.method, func(ctx context.Context, r Req) (Resp, error) { return e.serve(ctx, l, o, r) })
}
