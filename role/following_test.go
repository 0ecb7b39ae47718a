package role

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/mirror"
)

// listStore is a platform whose lists can fail.
type listStore struct {
	chestnutcleat.ObjectStore
	err   error
	lists int
}

// List implements chestnutcleat.ObjectStore.
func (s *listStore) List(context.Context, chestnutcleat.ObjectKind, chestnutcleat.Freshness) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	s.lists++
	return nil, 1, s.err
}

// A VM that was cut off from the others or stood still must know that it may have missed registrations, though no call of its own failed: a
// VM of a large fleet that doesn't watch makes none, and a VM that goes on after a pause may be asked before its next check.
func TestInstancesAreFollowedWithoutGap(t *testing.T) {
	errDown := errors.New("down")
	for name, tt := range map[string]struct {
		pass      func(f *instanceFollower, s *listStore)
		checked   error
		confirmed error
		lists     int
	}{
		"others confirm the list": {func(*instanceFollower, *listStore) {}, nil, nil, 1},
		"no news of others": {func(f *instanceFollower, _ *listStore) {
			for range 20 {
				time.Sleep(fleetCheckInterval)
				f.check()
			}
		}, errNotConfirmed, errNotConfirmed, 0},
		"stood still":       {func(*instanceFollower, *listStore) { time.Sleep(2 * time.Second) }, errPaused, errPaused, 0},
		"platform is away":  {func(_ *instanceFollower, s *listStore) { s.err = errDown }, nil, errDown, 1},
		"list takes longer": {func(_ *instanceFollower, s *listStore) { s.err = context.DeadlineExceeded }, nil, context.DeadlineExceeded, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &listStore{}
				m := &mirror.Mirror{Store: s, Kind: "servers", ConfirmInterval: 667 * time.Millisecond}
				f := &instanceFollower{mirror: m}
				is.True(errors.Is(f.check(), errPaused)) // nothing is known before the first check
				for range 20 {
					time.Sleep(fleetCheckInterval)
					m.Confirm(0, 100*time.Millisecond)
					f.check()
				}
				tt.pass(f, s)
				is.True(errors.Is(f.confirm(t.Context()), tt.confirmed))
				is.Equal(s.lists, tt.lists)
				is.True(errors.Is(f.check(), tt.checked))
			})
		})
	}
}
