package process

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// lister is a platform that lets a VM write its entry of the list of VMs.
type lister interface {
	SetVM(ctx context.Context, v chestnutcleat.ListedVM) error
}

const (
	announceTimeout = 5 * time.Second
	announceRetry   = time.Second
	maxRetry        = 30 * time.Second
)

// announce writes this VM's entry of the platform's list; it repeats until the platform answers or ctx is done.
func (p *Process) announce(ctx context.Context, leaving bool) {
	l, ok := p.Platform.(lister)
	if !ok {
		return
	}
	v := chestnutcleat.ListedVM{ID: p.Settings.VM, Address: p.Settings.Addresses.VMs, Leaving: leaving}
	for wait := announceRetry; ; wait = min(2*wait, maxRetry) {
		if p.announceOnce(ctx, l, v) == nil || leaving {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (p *Process) announceOnce(ctx context.Context, l lister, v chestnutcleat.ListedVM) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return l.SetVM(ctx, v)
}
