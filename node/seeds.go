package node

import (
	"context"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// seedRefreshInterval is the time between reads of the platform's list of VMs.
	seedRefreshInterval = 30 * time.Second
	// seedRetryDelay is the delay after a failed first read; it doubles with each failure up to seedRefreshInterval.
	seedRetryDelay = time.Second
	// seedReadTimeout limits the duration of a read.
	seedReadTimeout = 10 * time.Second
)

// seeds are the addresses of VMs from the settings and from the platform's list, which lags behind.
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
		if s.refresh(ctx, p, fixed) {
			wait = seedRefreshInterval
		} else {
			wait = min(max(seedRetryDelay, 2*wait), seedRefreshInterval)
		}
	}
	return nil
}

func (s *seeds) refresh(ctx context.Context, p chestnutcleat.Platform, fixed []chestnutcleat.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, seedReadTimeout)
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
