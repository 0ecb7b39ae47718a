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

func (f *partFetcher) run(ctx context.Context) (loadedManifest, error) {
	var errs []error
	steps := []func(context.Context) error{f.fromPeers, f.fromPlatform}
	if f.platformFirst {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if len(f.missing()) == 0 {
			break
		}
		errs = append(errs, step(ctx))
	}
	if n := len(f.missing()); n > 0 {
		return loadedManifest{}, errors.Join(append(errs, fmt.Errorf("%d of %d parts are missing", n, len(f.root.Parts)))...)
	}
	return load(f.root, f.parts)
}

func (f *partFetcher) missing() []chestnutcleat.Digest {
	var list []chestnutcleat.Digest
	for _, d := range f.root.Parts {
		if f.parts[d] == nil {
			list = append(list, d)
		}
	}
	return list
}

// add stores a part under the digest of its content, so that a corrupt part is never used.
func (f *partFetcher) add(data []byte) { f.parts[chestnutcleat.DigestOf(data)] = data }

func (f *partFetcher) fromPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, partsTimeout/2)
	defer cancel()
	for _, d := range f.missing() {
		o, err := f.platform.Get(ctx, partName(d))
		if err != nil {
			return fmt.Errorf("get %s: %w", partName(d), err)
		}
		f.add(o.Data)
	}
	return nil
}

func (f *partFetcher) fromPeers(ctx context.Context) error {
	var errs []error
	for _, a := range f.sources {
		for len(f.missing()) > 0 {
			r, err := fetchFromPeer(ctx, f.peers, a, FetchRequest{Parts: f.missing()})
			if err != nil {
				errs = append(errs, err)
				break
			}
			before := len(f.parts)
			for _, p := range r.Parts {
				f.add(p)
			}
			if len(f.parts) == before {
				break
			}
		}
	}
	return errors.Join(errs...)
}
