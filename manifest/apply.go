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
	// applyTimeout bounds a change; a platform with 5 s of latency per call needs several calls.
	applyTimeout = 45 * time.Second
	// partsAtOnce bounds the parts that are written at the same time.
	partsAtOnce = 16
	// partAttempts bounds the writes of one part.
	partAttempts = 10
	// settleDelay is the wait before a lost response is settled again.
	settleDelay = 500 * time.Millisecond
)

// Change is a manifest that an operator wants to put into effect.
type Change struct {
	// Raw is the manifest as JSON with comments.
	Raw []byte
	// File names the text in errors; empty means "manifest".
	File string
	// Base is the revision that the change is based on; zero for the first manifest.
	Base chestnutcleat.Revision
	Who  string
	// ID identifies the change when it is sent again after an unknown outcome; empty for a new one.
	ID chestnutcleat.ChangeID
}

// Accepted tells under which revision a change was accepted.
type Accepted struct {
	Revision chestnutcleat.Revision `json:"revision"`
	Change   chestnutcleat.ChangeID `json:"change"`
}

// Apply validates a manifest and has the platform accept it. The error is a document.Errors, a *ConflictError or an
// *UnavailableError if it was not accepted, and an *UnresolvedError if that is unknown.
func (s *Store) Apply(c Change, done func(Accepted, error)) {
	if c.ID == "" {
		c.ID = s.newChange()
	}
	if c.File == "" {
		c.File = "manifest"
	}
	a := &attempt{change: c, platform: s.Platform, view: s.Current(), local: s.root, have: maps.Clone(s.parts), now: time.Now().UTC()}
	chestnutcleat.Async(s.Loop, applyTimeout, a.run, func(l loaded, err error) {
		var unknown *UnresolvedError
		if _, ok := s.root.accepted(c.ID); ok && errors.As(err, &unknown) {
			// Another VM has shown meanwhile that the change was accepted.
			l, err = loaded{root: s.root}, nil
		}
		r := Record{Who: c.Who, What: "apply manifest", Result: ResultOf(err), Change: c.ID}
		if err != nil {
			s.refused(r, err)
			done(Accepted{Change: c.ID}, err)
			return
		}
		s.heard = true
		r.Revision, _ = l.root.accepted(c.ID)
		s.Observer.Emit(event.ManifestAccepted, "revision", r.Revision, "who", c.Who, "change", c.ID)
		delete(s.unresolved, c.ID)
		s.record(r)
		if l.view != nil {
			s.adopt(l)
			s.clean(a.local, l.root)
		} else {
			s.want(l.root, "")
		}
		// The watch may have delivered the root before; the others must be told all the same.
		s.announce()
		done(Accepted{Revision: r.Revision, Change: c.ID}, nil)
	})
}

func (s *Store) refused(r Record, err error) {
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

// attempt is one change on its way to the platform, outside the control goroutine.
type attempt struct {
	change   Change
	platform chestnutcleat.Platform
	view     *View
	local    Root
	have     map[chestnutcleat.Digest][]byte
	now      time.Time
}

func (a *attempt) run(ctx context.Context) (loaded, error) {
	m, err := a.parse()
	if err != nil {
		return loaded{}, err
	}
	base, version, err := readRoot(ctx, a.platform)
	if err != nil {
		return loaded{}, &UnavailableError{Cause: err}
	}
	if _, ok := base.accepted(a.change.ID); ok {
		return loaded{root: base}, nil
	}
	if a.local.Revision > base.Revision {
		base.Revision = a.local.Revision
		base.Past = a.local.Past
	}
	if base.Revision != a.change.Base {
		return loaded{}, a.conflict(ctx, base, m)
	}
	next, parts, err := a.next(base, m)
	if err != nil {
		return loaded{}, err
	}
	if err := a.writeParts(ctx, base, version, parts); err != nil {
		return loaded{}, err
	}
	if err := a.commit(ctx, next, version, m); err != nil {
		return loaded{}, err
	}
	return load(next, parts)
}

// parse decodes the change and checks its keys against those given since.
func (a *attempt) parse() (chestnutcleat.Manifest, error) {
	m, d := parse(a.change.File, a.change.Raw)
	for i, c := range m.Customers {
		for j, digest := range c.Keys {
			k, ok := a.view.keys[digest]
			if ok && !k.Withdrawn && k.Customer != c.ID {
				d.Add(fmt.Sprintf("customers[%d].keys[%d]", i, j), "expected a key of its own, it was given to customer %q", k.Customer)
			}
		}
	}
	return m, d.Err()
}

// next returns the root that follows base, and its parts.
func (a *attempt) next(base Root, m chestnutcleat.Manifest) (Root, map[chestnutcleat.Digest][]byte, error) {
	r := Root{Revision: base.Revision + 1, Limits: m.Limits, Who: a.change.Who, Time: a.now}
	past := base.Past[max(0, len(base.Past)-maxPast+1):]
	r.Past = append(append(r.Past, past...), Past{Revision: r.Revision, Change: a.change.ID})
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

// writeParts creates the parts that the platform's root does not have; an existing part has the same content.
func (a *attempt) writeParts(ctx context.Context, base Root, floor chestnutcleat.Version, parts map[chestnutcleat.Digest][]byte) error {
	known := make(map[chestnutcleat.Digest]bool, len(base.Parts))
	for _, d := range base.Parts {
		known[d] = true
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(partsAtOnce)
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

// putPart writes a part, or writes it again if it exists with a version not above floor: the new version keeps it from
// being cleaned. After a conflict or a lost response, the part's version tells whether anything is left to do.
func putPart(ctx context.Context, p chestnutcleat.Platform, o chestnutcleat.Object, floor chestnutcleat.Version) error {
	var err error
	for range partAttempts {
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
		if chestnutcleat.Sleep(ctx, settleDelay) != nil {
			break
		}
	}
	return fmt.Errorf("put %s: %w", o.Name, err)
}

// commit writes the root on the condition that it is unchanged. A lost response is settled by reading the root back:
// if it lists the change, the change was accepted; if its version is another one, the write can no longer succeed;
// if it is unchanged, the write is sent again under the same condition.
func (a *attempt) commit(ctx context.Context, next Root, version chestnutcleat.Version, m chestnutcleat.Manifest) error {
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
		if chestnutcleat.Sleep(ctx, settleDelay) != nil {
			return &UnresolvedError{Change: a.change.ID, Cause: err}
		}
	}
}

func hasChange(r Root, c chestnutcleat.ChangeID) bool {
	_, ok := r.accepted(c)
	return ok
}

// conflict describes the current state to the operator whose change was refused.
func (a *attempt) conflict(ctx context.Context, current Root, m chestnutcleat.Manifest) error {
	e := &ConflictError{Revision: current.Revision, Who: current.Who}
	if current.Revision == a.local.Revision {
		e.Diff = Diff(*a.view.Manifest, m)
		return e
	}
	g := &gatherer{platform: a.platform, root: current, have: a.have, platformFirst: true}
	l, err := g.run(ctx)
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
