package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// attemptTimeout bounds one attempt, so that a frozen owner is asked again after its slots have moved.
	attemptTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause between attempts while the owner is unknown or gone.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// asker finds the owners of keys and sends them requests.
type asker struct {
	self  chestnutcleat.VMID
	loop  *control.Loop
	owner ownership
	peers chestnutcleat.Peers
	place func(chestnutcleat.Slot) chestnutcleat.Place
}

// ask sends a request to the owner of its key and repeats it, within ctx, until the owner answers.
// Requests are idempotent, so a repeat after a lost answer has no second effect.
func ask[Req, Resp any](ctx context.Context, a *asker, e *endpoint[Req, Resp], r Req) (Resp, error) {
	k := e.key(r)
	p := a.place(k.Slot())
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		v, err := attempt(ctx, a, e, p, r)
		if err == nil || !worthRepeating(err) {
			return v, err
		}
		if chestnutcleat.Sleep(ctx, pause) != nil {
			return v, fmt.Errorf("owner of %s %q did not answer: %w", k.Kind, k.ID, err)
		}
		p = next(a.place(k.Slot()), err)
	}
}

func attempt[Req, Resp any](ctx context.Context, a *asker, e *endpoint[Req, Resp], p chestnutcleat.Place, r Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if p.VM == a.self {
		return e.serve(ctx, a.loop, a.owner, r)
	}
	var v Resp
	if p.Address == "" {
		return v, &chestnutcleat.NotOwner{Key: e.key(r)}
	}
	err := a.peers.Call(ctx, p.Address, e.method, r, &v)
	return v, err
}

// worthRepeating tells whether another attempt may succeed: a problem or an error of the handler is final.
func worthRepeating(err error) bool {
	var problem *chestnutcleat.Problem
	var remote *vm.RemoteError
	if errors.As(err, &problem) {
		return false
	}
	if errors.As(err, &remote) {
		return false
	}
	return true
}

// next returns the place that the last answer named, else the one known here.
// Each failure reads the table again, so a wrong hint costs one attempt.
func next(known chestnutcleat.Place, err error) chestnutcleat.Place {
	var moved *chestnutcleat.NotOwner
	if errors.As(err, &moved) && moved.Place.Address != "" && moved.Place.VM != known.VM {
		return moved.Place
	}
	return known
}
