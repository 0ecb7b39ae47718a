package process

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// vmRegistrar is a platform with a list of VMs in which each VM writes its own entry.
type vmRegistrar interface {
	SetVM(ctx context.Context, v chestnutcleat.ListedVM) error
}

const (
	announceTimeout  = 5 * time.Second
	minAnnounceRetry = time.Second
	maxAnnounceRetry = 30 * time.Second
)

// announce writes this VM's entry to the platform's list of VMs. It retries with backoff until the platform answers or ctx is
// done; a leaving VM tries once.
func (p *Process) announce(ctx context.Context, leaving bool) {
	registrar, ok := p.Platform.(vmRegistrar)
	if !ok {
		return
	}
	v := chestnutcleat.ListedVM{ID: p.Settings.VM, Address: p.Settings.Addresses.VMs, Leaving: leaving}
	for wait := minAnnounceRetry; ; wait = min(2*wait, maxAnnounceRetry) {
		if p.announceOnce(ctx, registrar, v) == nil || leaving {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (p *Process) announceOnce(ctx context.Context, registrar vmRegistrar, v chestnutcleat.ListedVM) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return registrar.SetVM(ctx, v)
}
