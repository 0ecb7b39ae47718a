package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

var errOutage = errors.New("platform is unavailable")

// fakePlatform is an in-memory platform with fault injection.
type fakePlatform struct {
	mu      sync.Mutex
	objects map[chestnutcleat.ObjectName]chestnutcleat.Object
	version chestnutcleat.Version
	changed chan struct{}
	rand    *rand.Rand
	// outage fails all calls, latency delays them, lostResponses is the share of writes whose response is lost.
	outage        bool
	latency       time.Duration
	lostResponses float64
	listed        []chestnutcleat.ListedVM
	calls         int
}

func newFakePlatform(seed uint64) *fakePlatform {
	return &fakePlatform{
		objects: map[chestnutcleat.ObjectName]chestnutcleat.Object{},
		changed: make(chan struct{}),
		rand:    rand.New(rand.NewPCG(seed, 3)),
		latency: 3 * time.Millisecond,
	}
}

func (p *fakePlatform) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// delayCall waits for half of the latency and returns an error during an outage.
func (p *fakePlatform) delayCall(ctx context.Context) error {
	p.mu.Lock()
	d, down := p.latency, p.outage
	p.calls++
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d / 2):
	}
	if down {
		return errOutage
	}
	return nil
}

// delayResponse waits for the other half of the latency and returns an error during an outage.
func (p *fakePlatform) delayResponse(ctx context.Context) error { return p.delayCall(ctx) }

func (p *fakePlatform) Get(ctx context.Context, name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	if err := p.delayCall(ctx); err != nil {
		return chestnutcleat.Object{}, err
	}
	p.mu.Lock()
	o, ok := p.objects[name]
	p.mu.Unlock()
	if err := p.delayResponse(ctx); err != nil {
		return chestnutcleat.Object{}, err
	}
	if !ok {
		return o, chestnutcleat.ErrNotFound
	}
	return o, nil
}

func (p *fakePlatform) Put(ctx context.Context, o chestnutcleat.Object) (chestnutcleat.Version, error) {
	if err := p.delayCall(ctx); err != nil {
		return 0, err
	}
	p.mu.Lock()
	if p.objects[o.Name].Version != o.Version {
		p.mu.Unlock()
		return 0, errors.Join(chestnutcleat.ErrConflict, p.delayResponse(ctx))
	}
	p.version++
	o.Version = p.version
	p.objects[o.Name] = o
	close(p.changed)
	p.changed = make(chan struct{})
	lost := p.rand.Float64() < p.lostResponses
	p.mu.Unlock()
	if err := p.delayResponse(ctx); err != nil {
		return 0, err
	}
	if lost {
		return 0, errOutage
	}
	return o.Version, nil
}

func (p *fakePlatform) Delete(context.Context, chestnutcleat.ObjectName, chestnutcleat.Version) error {
	return errOutage
}

func (p *fakePlatform) List(context.Context, chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	return nil, errOutage
}

func (p *fakePlatform) Watch(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	for {
		if err := p.delayCall(ctx); err != nil {
			return nil, err
		}
		p.mu.Lock()
		var list []chestnutcleat.Object
		for _, o := range p.objects {
			if o.Version > after && strings.HasPrefix(string(o.Name), string(prefixes[0])) {
				list = append(list, o)
			}
		}
		changed := p.changed
		p.mu.Unlock()
		if len(list) > 0 {
			return list, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *fakePlatform) VMs(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
	err := p.delayCall(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed, err
}

// platformLink is one VM's connection to the platform.
type platformLink struct {
	*fakePlatform
	node *node
}

func (l *platformLink) check(err error) error {
	if l.node.offline.Load() {
		return errOutage
	}
	return err
}

func (l *platformLink) Get(ctx context.Context, name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	o, err := l.fakePlatform.Get(ctx, name)
	return o, l.check(err)
}

func (l *platformLink) Put(ctx context.Context, o chestnutcleat.Object) (chestnutcleat.Version, error) {
	if err := l.check(nil); err != nil {
		return 0, err
	}
	v, err := l.fakePlatform.Put(ctx, o)
	return v, l.check(err)
}

func (l *platformLink) Watch(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	list, err := l.fakePlatform.Watch(ctx, prefixes, after)
	return list, l.check(err)
}
