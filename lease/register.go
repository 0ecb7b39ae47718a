package lease

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// Register adds the handlers of requests between keepers; do runs a function in the control goroutine.
func (k *Keeper) Register(mux *vm.Mux, do func(func())) {
	handle(mux, chestnutcleat.MethodRenew, do, func(r RenewRequest, done func(RenewReply)) { done(k.onRenew(r)) })
	handle(mux, chestnutcleat.MethodAppend, do, func(r AppendRequest, done func(AppendReply)) { done(k.onAppend(r)) })
	handle(mux, chestnutcleat.MethodPromise, do, func(r PromiseRequest, done func(PromiseReply)) { done(k.onPromise(r)) })
	handle(mux, chestnutcleat.MethodHandover, do, k.onHandover)
	handle(mux, MethodJoin, do, k.onJoin)
}

// handle registers a handler that runs in the control goroutine and replies through a callback.
func handle[Req, Resp any](mux *vm.Mux, method chestnutcleat.Method, do func(func()), f func(Req, func(Resp))) {
	vm.Handle(mux, method, func(ctx context.Context, r Req) (Resp, error) {
		done := make(chan Resp, 1)
		do(func() { f(r, func(a Resp) { done <- a }) })
		select {
		case a := <-done:
			return a, nil
		case <-ctx.Done():
			var none Resp
			return none, ctx.Err()
		}
	})
}
