package operator

import (
	"context"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
)

// Bind sets the functions for the manifest, keys and audit records, so that they use the store s and the platform p.
func (h *Handler) Bind(l chestnutcleat.Loop, s *manifest.Store, p chestnutcleat.Platform) {
	h.Current = s.Current
	h.Apply = func(ctx context.Context, c manifest.Change) (manifest.Accepted, error) {
		var a manifest.Accepted
		err := runInLoop(ctx, l, func(done func(error)) {
			s.Apply(c, func(r manifest.Accepted, err error) {
				a = r
				done(err)
			})
		})
		if err != nil {
			return manifest.Accepted{}, err
		}
		return a, nil
	}
	h.Give = func(ctx context.Context, d chestnutcleat.Digest, c chestnutcleat.CustomerID, who string) error {
		return runInLoop(ctx, l, func(done func(error)) { s.Give(d, c, who, done) })
	}
	h.Withdraw = func(ctx context.Context, d chestnutcleat.Digest, who string) error {
		return runInLoop(ctx, l, func(done func(error)) {
			s.Withdraw(d, who)
			done(nil)
		})
	}
	h.Audit = func(ctx context.Context, prefix string) ([]manifest.Record, error) {
		return manifest.ReadAudit(ctx, p, prefix)
	}
}

// runInLoop runs f in the control goroutine and waits until f calls done or ctx is done.
func runInLoop(ctx context.Context, l chestnutcleat.Loop, f func(done func(error))) error {
	c := make(chan error, 1)
	l.Post(func() { f(func(err error) { c <- err }) })
	select {
	case err := <-c:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
