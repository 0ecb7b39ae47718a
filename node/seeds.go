package node

import (
	"context"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// listInterval is the time between reads of the platform's list of VMs.
	listInterval = 30 * time.Second
	// listRetry is the time between reads until the first one succeeds.
	listRetry = time.Second
	// listTimeout bounds one read.
	listTimeout = 10 * time.Second
)

// seeds are the addresses of VMs from the settings and the platform's lagging list.
type seeds struct {
	current atomic.Pointer[[]chestnutcleat.Address]
}

func (s *seeds) list() []chestnutcleat.Address {
	if p := s.current.Load(); p != nil {
		return *p
	}
	return nil
}

func (s *seeds) run(ctx context.Context, p chestnutcleat.Platform, fixed []chestnutcleat.Address) error {
	s.current.Store(&fixed)
	for wait := time.Duration(0); chestnutcleat.Sleep(ctx, wait) == nil; {
		if s.read(ctx, p, fixed) {
			wait = listInterval
		} else {
			wait = min(max(listRetry, 2*wait), listInterval)
		}
	}
	return nil
}

func (s *seeds) read(ctx context.Context, p chestnutcleat.Platform, fixed []chestnutcleat.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := p.VMs(ctx)
	if err != nil {
		return false
	}
	all := append([]chestnutcleat.Address(nil), fixed...)
	for _, v := range vms {
		all = append(all, v.Address)
	}
	s.current.Store(&all)
	return true
}
