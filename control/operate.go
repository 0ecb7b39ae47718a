package control

import (
	"context"

	"chestnutcleat.example/chestnutcleat/manifest"
)

// Apply puts a manifest into effect.
func (n *Node) Apply(ctx context.Context, c manifest.Change) (manifest.Accepted, error) {
	out := make(chan result[manifest.Accepted], 1)
	n.Loop.Post(func() {
		n.manifests.Apply(c, func(a manifest.Accepted, err error) { out <- result[manifest.Accepted]{value: a, err: err} })
	})
	select {
	case r := <-out:
		return r.value, r.err
	case <-ctx.Done():
		return manifest.Accepted{}, ctx.Err()
	}
}
