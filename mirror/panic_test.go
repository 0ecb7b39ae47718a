package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/guard"
)

// panickingPlatform panics in the next call, as a faulty decoder of one answer would.
type panickingPlatform struct {
	*fakePlatform
	panics atomic.Bool
}

func (p *panickingPlatform) List(ctx context.Context, k chestnutcleat.ObjectKind, f chestnutcleat.Freshness) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	if p.panics.Swap(false) {
		panic("list")
	}
	return p.fakePlatform.List(ctx, k, f)
}

func (p *panickingPlatform) Watch(ctx context.Context, k chestnutcleat.ObjectKind, after chestnutcleat.Version, wait time.Duration) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	list, v, err := p.fakePlatform.Watch(ctx, k, after, wait)
	if p.panics.Swap(false) {
		panic("watch")
	}
	return list, v, err
}

// A panic over one answer of the platform must cost this answer: the process ended, and again after each start.
func TestPanicOverAnswer(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
		platform := &panickingPlatform{fakePlatform: p}
		platform.panics.Store(true)
		var panics []error
		m, seen := runMirrorWith(t, p, func(m *Mirror) {
			m.Store = platform
			m.OnPanic = func(err error) { panics = append(panics, err) }
		})
		p.set("a")
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a"}) // after the first list
		platform.panics.Store(true)
		p.set("b")
		time.Sleep(time.Second)
		is.Equal(seen(), []string{"a", "b"}) // after a watch
		platform.panics.Store(true)
		is.True(m.Refresh(t.Context()) != nil)
		is.NoErr(m.Refresh(t.Context()))
		is.Equal(len(panics), 3)
		for _, err := range panics {
			is.True(len(err.(*guard.Panic).Stack) > 0)
		}
	})
}
