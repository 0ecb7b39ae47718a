package node_test

import (
	"context"
	"errors"
	"sync/atomic"

	"chestnutcleat.example/chestnutcleat"
)

var errCutOff = errors.New("platform is unreachable from this VM")

// platformLink is one VM's connection to the platform, which can be cut for this VM alone.
type platformLink struct {
	chestnutcleat.Platform
	cut atomic.Bool
}

func (l *platformLink) check(err error) error {
	if l.cut.Load() {
		return errCutOff
	}
	return err
}

// Get implements chestnutcleat.Platform.
func (l *platformLink) Get(ctx context.Context, name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	if err := l.check(nil); err != nil {
		return chestnutcleat.Object{}, err
	}
	return l.Platform.Get(ctx, name)
}

// Put implements chestnutcleat.Platform.
func (l *platformLink) Put(ctx context.Context, o chestnutcleat.Object) (chestnutcleat.Version, error) {
	if err := l.check(nil); err != nil {
		return 0, err
	}
	return l.Platform.Put(ctx, o)
}

// Delete implements chestnutcleat.Platform.
func (l *platformLink) Delete(ctx context.Context, name chestnutcleat.ObjectName, v chestnutcleat.Version) error {
	if err := l.check(nil); err != nil {
		return err
	}
	return l.Platform.Delete(ctx, name, v)
}

// List implements chestnutcleat.Platform.
func (l *platformLink) List(ctx context.Context, prefix chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	if err := l.check(nil); err != nil {
		return nil, err
	}
	return l.Platform.List(ctx, prefix)
}

// Watch implements chestnutcleat.Platform. A watch that was pending when the connection was cut fails, too.
func (l *platformLink) Watch(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	if err := l.check(nil); err != nil {
		return nil, err
	}
	list, err := l.Platform.Watch(ctx, prefixes, after)
	if err := l.check(err); err != nil {
		return nil, err
	}
	return list, nil
}

// VMs implements chestnutcleat.Platform.
func (l *platformLink) VMs(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
	if err := l.check(nil); err != nil {
		return nil, err
	}
	return l.Platform.VMs(ctx)
}

// isolate disconnects node i from all VMs and from the platform, or reconnects it.
func (f *fleet) isolate(i int, cut bool) {
	change := f.network.Unblock
	if cut {
		change = f.network.Block
	}
	for k := range f.nodes {
		if k != i {
			change(address(i), address(k))
			change(address(k), address(i))
		}
	}
	f.platformLinks[i].cut.Store(cut)
}
