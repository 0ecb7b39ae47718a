package manifest

import (
	"context"
	"errors"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// gatherer fetches the missing parts of a root, outside the control goroutine.
type gatherer struct {
	peers    chestnutcleat.Peers
	platform chestnutcleat.Platform
	root     Root
	sources  []chestnutcleat.Address
	// platformFirst is set when the platform announced the root; otherwise the peers are asked first.
	platformFirst bool
	have          map[chestnutcleat.Digest][]byte
}

func (g *gatherer) run(ctx context.Context) (loaded, error) {
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
		return loaded{}, errors.Join(append(errs, fmt.Errorf("%d of %d parts are missing", n, len(g.root.Parts)))...)
	}
	return load(g.root, g.have)
}

func (g *gatherer) missing() []chestnutcleat.Digest {
	var list []chestnutcleat.Digest
	for _, d := range g.root.Parts {
		if g.have[d] == nil {
			list = append(list, d)
		}
	}
	return list
}

// keep stores a part under the digest of its content, so that a wrong part is never used.
func (g *gatherer) keep(data []byte) { g.have[chestnutcleat.DigestOf(data)] = data }

func (g *gatherer) fromPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout/2)
	defer cancel()
	for _, d := range g.missing() {
		o, err := g.platform.Get(ctx, partName(d))
		if err != nil {
			return fmt.Errorf("get %s: %w", partName(d), err)
		}
		g.keep(o.Data)
	}
	return nil
}

func (g *gatherer) fromPeers(ctx context.Context) error {
	var errs []error
	for _, a := range g.sources {
		for len(g.missing()) > 0 {
			r, err := fetch(ctx, g.peers, a, FetchRequest{Parts: g.missing()})
			if err != nil {
				errs = append(errs, err)
				break
			}
			before := len(g.have)
			for _, p := range r.Parts {
				g.keep(p)
			}
			if len(g.have) == before {
				break
			}
		}
	}
	return errors.Join(errs...)
}
