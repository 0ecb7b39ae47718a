package manifest

import (
	"context"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// keepParts is how long the platform keeps parts that no root names, far longer than a change takes.
	keepParts = time.Hour
	// cleanTimeout bounds the calls that remove them.
	cleanTimeout = time.Minute
)

// clean removes the parts of an older root that its successor does not name, after keepParts. The delete is
// conditional on the version seen now, and a change that uses such a part again writes it again, so a part that
// came back into use stays. If this VM ends before, the parts remain.
func (s *Store) clean(old, next Root) {
	var names []chestnutcleat.ObjectName
	for _, d := range old.Parts {
		if !slices.Contains(next.Parts, d) {
			names = append(names, partName(d))
		}
	}
	if len(names) == 0 {
		return
	}
	work := func(ctx context.Context) ([]chestnutcleat.Object, error) { return versions(ctx, s.Platform, names) }
	chestnutcleat.Async(s.Loop, cleanTimeout, work, func(list []chestnutcleat.Object, _ error) {
		s.Loop.After(keepParts, func() { s.remove(list) })
	})
}

func versions(ctx context.Context, p chestnutcleat.Platform, names []chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
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

func (s *Store) remove(list []chestnutcleat.Object) {
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
	chestnutcleat.Async(s.Loop, cleanTimeout, work, func(struct{}, error) {})
}
