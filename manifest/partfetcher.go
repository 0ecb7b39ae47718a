package manifest

import (
	"context"
	"errors"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// partFetcher fetches the missing parts of a root, outside the control goroutine.
type partFetcher struct {
	peers    chestnutcleat.Peers
	platform chestnutcleat.Platform
	root     Root
	sources  []chestnutcleat.Address
	// platformFirst is set if the root came from the platform; otherwise peers are asked first.
	platformFirst bool
	parts         map[chestnutcleat.Digest][]byte
}

func (g *partFetcher) run(ctx context.Context) (loadedManifest, error) {
	var errs []error
	steps := []func(context.Context) error{g.fromPeers, g.fromPlatform}
	if g.platformFirst {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, f := range steps {
		if len(g.missing()) == 0 {
			break
		}
		errs = append(errs, f(ctx))
	}
	if n := len(g.missing()); n > 0 {
		return loadedManifest{}, errors.Join(append(errs, fmt.Errorf("%d of %d parts are missing", n, len(g.root.Parts)))...)
	}
	return load(g.root, g.parts)
}

func (g *partFetcher) missing() []chestnutcleat.Digest {
	var list []chestnutcleat.Digest
	for _, d := range g.root.Parts {
		if g.parts[d] == nil {
			list = append(list, d)
		}
	}
	return list
}

// add stores a part under the digest of its content, so that a corrupt part is never used.
func (g *partFetcher) add(data []byte) { g.parts[chestnutcleat.DigestOf(data)] = data }

func (g *partFetcher) fromPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, partsTimeout/2)
	defer cancel()
	for _, d := range g.missing() {
		o, err := g.platform.Get(ctx, partName(d))
		if err != nil {
			return fmt.Errorf("get %s: %w", partName(d), err)
		}
		g.add(o.Data)
	}
	return nil
}

func (g *partFetcher) fromPeers(ctx context.Context) error {
	var errs []error
	for _, a := range g.sources {
		for len(g.missing()) > 0 {
			r, err := fetchFromPeer(ctx, g.peers, a, FetchRequest{Parts: g.missing()})
			if err != nil {
				errs = append(errs, err)
				break
			}
			before := len(g.parts)
			for _, p := range r.Parts {
				g.add(p)
			}
			if len(g.parts) == before {
				break
			}
		}
	}
	return errors.Join(errs...)
}
