package manifest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// applyTimeout bounds one change, which takes several platform calls of up to 5 s each.
	applyTimeout = 45 * time.Second
	// maxConcurrentParts bounds the number of parts written concurrently.
	maxConcurrentParts = 16
	// maxPartAttempts bounds the attempts to write one part.
	maxPartAttempts = 10
	// writeRetryDelay is the wait before a write whose outcome is unknown is checked or sent again.
	writeRetryDelay = 500 * time.Millisecond
)

// Change is a request of an operator to replace the manifest.
type Change struct {
	// Raw is the manifest as JSON with comments.
	Raw []byte
	// File is the file name in validation errors; empty means "manifest".
	File string
	// Base is the revision that the change is based on; zero for the first manifest.
	Base chestnutcleat.Revision
	Who  string
	// ID identifies the change if it is sent again after an unknown outcome; empty for a new one.
	ID chestnutcleat.ChangeID
}

// Accepted holds the revision that was assigned to an accepted change.
type Accepted struct {
	Revision chestnutcleat.Revision `json:"revision"`
	Change   chestnutcleat.ChangeID `json:"change"`
}

// Apply validates a manifest and writes it to the platform. The error passed to done is a document.Errors,
// a *ConflictError, an *UnavailableError or an *InvalidError if the change was not accepted, and an *UnresolvedError
// if its outcome is unknown.
func (s *Store) Apply(c Change, done func(Accepted, error)) {
	if c.ID == "" {
		c.ID = s.newChangeID()
	}
	if c.File == "" {
		c.File = "manifest"
	}
	a := &applier{change: c, platform: s.Platform, view: s.Current(), localRoot: s.root, localParts: maps.Clone(s.parts), now: time.Now().UTC()}
	chestnutcleat.Async(s.Loop, applyTimeout, a.run, func(l loadedManifest, err error) {
		var unknown *UnresolvedError
		if _, ok := s.root.accepted(c.ID); ok && errors.As(err, &unknown) {
			// Meanwhile another VM delivered a root that lists the change.
			l, err = loadedManifest{root: s.root}, nil
		}
		r := Record{Who: c.Who, What: "apply manifest", Result: ResultOf(err), Change: c.ID}
		if err != nil {
			s.reportFailure(r, err)
			done(Accepted{Change: c.ID}, err)
			return
		}
		s.confirmed = true
		r.Revision, _ = l.root.accepted(c.ID)
		s.Observer.Emit(event.ManifestAccepted, "revision", r.Revision, "who", c.Who, "change", c.ID)
		delete(s.unresolved, c.ID)
		s.record(r)
		if l.view != nil {
			s.activate(l)
			s.scheduleCleanup(a.localRoot, l.root)
		} else {
			s.advanceTo(l.root, "")
		}
		// Announce it even if the platform's watch has already delivered the root to this VM.
		s.announce()
		done(Accepted{Revision: r.Revision, Change: c.ID}, nil)
	})
}

// reportFailure emits an event and an audit record for a change that was not accepted or whose outcome is unknown.
func (s *Store) reportFailure(r Record, err error) {
	id := event.ManifestRejected
	switch r.Result {
	case ResultConflict:
		id = event.ManifestConflict
	case ResultUnknown:
		id = event.ManifestUnresolved
		s.unresolved[r.Change] = r
	}
	s.Observer.Emit(id, "who", r.Who, "change", r.Change, "error", err)
	s.record(r)
}

// applier validates one change and writes it to the platform, outside the control goroutine.
type applier struct {
	change     Change
	platform   chestnutcleat.Platform
	view       *View
	localRoot  Root
	localParts map[chestnutcleat.Digest][]byte
	now        time.Time
}

func (a *applier) run(ctx context.Context) (loadedManifest, error) {
	m, err := a.parse()
	if err != nil {
		return loadedManifest{}, err
	}
	base, version, err := readRoot(ctx, a.platform)
	if err != nil {
		return loadedManifest{}, &UnavailableError{Cause: err}
	}
	if _, ok := base.accepted(a.change.ID); ok {
		return loadedManifest{root: base}, nil
	}
	if a.localRoot.Revision > base.Revision {
		base.Revision = a.localRoot.Revision
		base.Past = a.localRoot.Past
	}
	if base.Revision != a.change.Base {
		return loadedManifest{}, a.conflict(ctx, base, m)
	}
	next, parts, err := a.nextRoot(base, m)
	if err != nil {
		return loadedManifest{}, err
	}
	if err := a.writeParts(ctx, base, version, parts); err != nil {
		return loadedManifest{}, err
	}
	if err := a.commit(ctx, next, version, m); err != nil {
		return loadedManifest{}, err
	}
	return load(next, parts)
}

// parse decodes the change and checks that its keys were not given to other customers since.
func (a *applier) parse() (chestnutcleat.Manifest, error) {
	m, d := parse(a.change.File, a.change.Raw)
	for i, c := range m.Customers {
		for j, digest := range c.Keys {
			k, ok := a.view.keys[digest]
			if ok && !k.Withdrawn && k.Customer != c.ID {
				d.Add(fmt.Sprintf("customers[%d].keys[%d]", i, j), "expected a unique key, it was given to customer %q", k.Customer)
			}
		}
	}
	return m, d.Err()
}

// nextRoot returns the root that follows base, and its parts by digest.
func (a *applier) nextRoot(base Root, m chestnutcleat.Manifest) (Root, map[chestnutcleat.Digest][]byte, error) {
	r := Root{Revision: base.Revision + 1, Limits: m.Limits, Who: a.change.Who, Time: a.now}
	past := base.Past[max(0, len(base.Past)-maxPastChanges+1):]
	r.Past = append(append(r.Past, past...), PastChange{Revision: r.Revision, Change: a.change.ID})
	list, err := split(m)
	if err != nil {
		return r, nil, &InvalidError{Text: err.Error()}
	}
	parts := make(map[chestnutcleat.Digest][]byte, len(list))
	for _, p := range list {
		d := chestnutcleat.DigestOf(p)
		r.Parts = append(r.Parts, d)
		parts[d] = p
	}
	return r, parts, nil
}

// writeParts writes the parts that the platform's current root does not list; floor is that root's version.
func (a *applier) writeParts(ctx context.Context, base Root, floor chestnutcleat.Version, parts map[chestnutcleat.Digest][]byte) error {
	known := make(map[chestnutcleat.Digest]bool, len(base.Parts))
	for _, d := range base.Parts {
		known[d] = true
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentParts)
	for d, p := range parts {
		if !known[d] {
			g.Go(func() error { return putPart(ctx, a.platform, chestnutcleat.Object{Name: partName(d), Data: p}, floor) })
		}
	}
	if err := g.Wait(); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// putPart writes a part. An existing part with a version of at most floor is written again with the same content, as
// the new version prevents its deletion by a concurrent cleanup. After a conflict or a lost response, the part's
// current version tells whether it must be written again.
func putPart(ctx context.Context, p chestnutcleat.Platform, o chestnutcleat.Object, floor chestnutcleat.Version) error {
	var err error
	for range maxPartAttempts {
		if _, err = p.Put(ctx, o); err == nil {
			return nil
		}
		have, errRead := p.Get(ctx, o.Name)
		switch {
		case errRead == nil && have.Version > floor:
			return nil
		case errRead == nil || errors.Is(errRead, chestnutcleat.ErrNotFound):
			o.Version = have.Version
			continue
		}
		if chestnutcleat.Sleep(ctx, writeRetryDelay) != nil {
			break
		}
	}
	return fmt.Errorf("put %s: %w", o.Name, err)
}

// commit writes the root under the condition that it is unchanged. After a failed or lost response it reads the root:
// if it lists the change, the change was accepted; if its version has changed, the write can no longer succeed;
// if it is unchanged, the write is sent again under the same condition.
func (a *applier) commit(ctx context.Context, next Root, version chestnutcleat.Version, m chestnutcleat.Manifest) error {
	o, err := rootObject(next, version)
	if err != nil {
		return err
	}
	for {
		_, err := a.platform.Put(ctx, o)
		if err == nil {
			return nil
		}
		have, v, errRead := readRoot(ctx, a.platform)
		switch {
		case errRead != nil:
			err = errRead
		case hasChange(have, a.change.ID):
			return nil
		case v != version:
			return a.conflict(ctx, have, m)
		}
		if chestnutcleat.Sleep(ctx, writeRetryDelay) != nil {
			return &UnresolvedError{Change: a.change.ID, Cause: err}
		}
	}
}

func hasChange(r Root, c chestnutcleat.ChangeID) bool {
	_, ok := r.accepted(c)
	return ok
}

// conflict returns the error for a change with an outdated base, with its differences from the current manifest.
func (a *applier) conflict(ctx context.Context, current Root, m chestnutcleat.Manifest) error {
	e := &ConflictError{Revision: current.Revision, Who: current.Who}
	if current.Revision == a.localRoot.Revision {
		e.Diff = Diff(*a.view.Manifest, m)
		return e
	}
	f := &partFetcher{platform: a.platform, root: current, parts: a.localParts, platformFirst: true}
	l, err := f.run(ctx)
	if err != nil {
		e.Diff = []string{"the current revision cannot be read: " + err.Error()}
		return e
	}
	e.Diff = Diff(*l.view.Manifest, m)
	return e
}

func readRoot(ctx context.Context, p chestnutcleat.Platform) (Root, chestnutcleat.Version, error) {
	o, err := p.Get(ctx, rootName)
	if errors.Is(err, chestnutcleat.ErrNotFound) {
		return Root{}, 0, nil
	}
	if err != nil {
		return Root{}, 0, fmt.Errorf("get %s: %w", rootName, err)
	}
	r, err := decodeRoot(o.Data)
	return r, o.Version, err
}
