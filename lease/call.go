package lease

import (
	"context"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// call sends a request to a VM of the fleet.
func call[Req, Resp any](k *Keeper, to chestnutcleat.VMID, method chestnutcleat.Method, r Req, done func(Resp, error)) {
	m := k.fleet.member(to)
	if m == nil {
		var none Resp
		k.Loop.Post(func() { done(none, fmt.Errorf("VM %q is not in the fleet", to)) })
		return
	}
	address := m.Address
	chestnutcleat.Async(k.Loop, callTimeout, func(ctx context.Context) (Resp, error) {
		var a Resp
		err := k.Peers.Call(ctx, address, method, r, &a)
		return a, err
	}, done)
}
