package manifest

import (
	"context"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// partRetention is how long unused parts stay on the platform; it is far longer than a change takes.
	partRetention = time.Hour
	// cleanupTimeout bounds the calls that read the versions of unused parts or delete them.
	cleanupTimeout = time.Minute
)

// scheduleCleanup deletes the parts of an old root that its successor does not use, after partRetention. Each delete is
// conditional on the version read now: a change that uses such a part again writes a new version, so the part stays.
// If this VM stops before the deletion, the parts remain on the platform.
func (s *Store) scheduleCleanup(old, next Root) {
	var names []chestnutcleat.ObjectName
	for _, d := range old.Parts {
		if !slices.Contains(next.Parts, d) {
			names = append(names, partName(d))
		}
	}
	if len(names) == 0 {
		return
	}
	work := func(ctx context.Context) ([]chestnutcleat.Object, error) { return readVersions(ctx, s.Platform, names) }
	chestnutcleat.Async(s.Loop, cleanupTimeout, work, func(list []chestnutcleat.Object, _ error) {
		s.Loop.After(partRetention, func() { s.deleteUnused(list) })
	})
}

func readVersions(ctx context.Context, p chestnutcleat.Platform, names []chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	var list []chestnutcleat.Object
	for _, n := range names {
		o, err := p.Get(ctx, n)
		if err != nil {
			return list, err
		}
		list = append(list, chestnutcleat.Object{Name: n, Version: o.Version})
	}
	return list, nil
}

func (s *Store) deleteUnused(list []chestnutcleat.Object) {
	inUse := map[chestnutcleat.ObjectName]bool{}
	for _, d := range s.root.Parts {
		inUse[partName(d)] = true
	}
	work := func(ctx context.Context) (struct{}, error) {
		for _, o := range list {
			if inUse[o.Name] {
				continue
			}
			if err := s.Platform.Delete(ctx, o.Name, o.Version); err != nil && ctx.Err() != nil {
				return struct{}{}, err
			}
		}
		return struct{}{}, nil
	}
	chestnutcleat.Async(s.Loop, cleanupTimeout, work, func(struct{}, error) {})
}
