package platform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

var (
	errOutage       = errors.New("platform outage")
	errResponseLost = errors.New("response lost")
)

// rateLimitError is the error of a call above the rate limit. The call had no effect.
type rateLimitError struct {
	retry time.Duration
}

// Error implements error.
func (e *rateLimitError) Error() string { return fmt.Sprintf("rate limit, retry in %s", e.retry) }

// vmRevision is a VM's entry in the list of VMs and the time at which it was set.
type vmRevision struct {
	vm      chestnutcleat.ListedVM
	changed time.Time
}

// Store holds objects in memory; all of them share one version counter.
type Store struct {
	mu      sync.Mutex
	rand    *rand.Rand
	version chestnutcleat.Version
	objects map[chestnutcleat.ObjectName]chestnutcleat.Object
	vms     map[chestnutcleat.VMID][]vmRevision
	counts  map[string]Count
	faults  Faults
	changed chan struct{}
	// tokens and refilled are the token bucket of the rate limit.
	tokens   float64
	refilled time.Time
}

// NewStore returns an empty store; the seed determines which responses are lost.
func NewStore(seed uint64) *Store {
	return &Store{
		rand:    rand.New(rand.NewPCG(seed, seed)),
		objects: map[chestnutcleat.ObjectName]chestnutcleat.Object{},
		vms:     map[chestnutcleat.VMID][]vmRevision{},
		counts:  map[string]Count{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.tokens = f.RateLimit
	s.refilled = time.Now()
	s.notifyWatches()
}

// Counts returns the numbers of calls by client name.
func (s *Store) Counts() map[string]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]Count{}
	for k, v := range s.counts {
		m[k] = v
	}
	return m
}

// SetVM sets an entry of the list of VMs; the change becomes visible after Faults.VMListDelay.
func (s *Store) SetVM(v chestnutcleat.ListedVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[v.ID] = append(s.vms[v.ID], vmRevision{vm: v, changed: time.Now()})
}

func (s *Store) listVMs() []chestnutcleat.ListedVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(s.faults.VMListDelay))
	list := []chestnutcleat.ListedVM{}
	for _, revisions := range s.vms {
		for _, r := range slices.Backward(revisions) {
			if !r.changed.After(cutoff) {
				list = append(list, r.vm)
				break
			}
		}
	}
	slices.SortFunc(list, func(a, b chestnutcleat.ListedVM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// admit counts a call and applies the rate limit. It returns the current faults.
func (s *Store) admit(client string, k callKind) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[client]
	c.add(k)
	defer func() { s.counts[client] = c }()
	if s.faults.RateLimit <= 0 {
		return s.faults, nil
	}
	now := time.Now()
	s.tokens = min(s.faults.RateLimit, s.tokens+now.Sub(s.refilled).Seconds()*s.faults.RateLimit)
	s.refilled = now
	if s.tokens < 1 {
		c.Refused++
		return s.faults, &rateLimitError{retry: time.Duration((1 - s.tokens) / s.faults.RateLimit * float64(time.Second))}
	}
	s.tokens--
	return s.faults, nil
}

// inOutage reports whether the injected faults include an outage.
func (s *Store) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

// losesResponse decides at random whether the response of a write is lost.
func (s *Store) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.ResponseLossRate > 0 && s.rand.Float64() < s.faults.ResponseLossRate
}

func (s *Store) get(name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok || o.Deleted {
		return chestnutcleat.Object{}, chestnutcleat.ErrNotFound
	}
	return o, nil
}

// put writes an object if its version is the current one; anyVersion skips this check.
func (s *Store) put(o chestnutcleat.Object, anyVersion bool) (chestnutcleat.Version, error) {
	if len(o.Data) > chestnutcleat.MaxObjectBytes {
		return 0, chestnutcleat.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !anyVersion && s.currentVersion(o.Name) != o.Version {
		return 0, chestnutcleat.ErrConflict
	}
	o.Data = slices.Clone(o.Data)
	return s.write(o), nil
}

func (s *Store) remove(name chestnutcleat.ObjectName, v chestnutcleat.Version, anyVersion bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentVersion(name)
	switch {
	case current == 0:
		return chestnutcleat.ErrNotFound
	case !anyVersion && current != v:
		return chestnutcleat.ErrConflict
	}
	s.write(chestnutcleat.Object{Name: name, Deleted: true})
	return nil
}

// currentVersion returns the version of an object, or zero if it does not exist.
func (s *Store) currentVersion(name chestnutcleat.ObjectName) chestnutcleat.Version {
	if o := s.objects[name]; !o.Deleted {
		return o.Version
	}
	return 0
}

func (s *Store) write(o chestnutcleat.Object) chestnutcleat.Version {
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	s.notifyWatches()
	return o.Version
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changedSince returns the objects with one of the prefixes that changed after a version, and a channel that is closed at the
// next change.
func (s *Store) changedSince(prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []chestnutcleat.Object{}
	for name, o := range s.objects {
		if o.Version > after && (after > 0 || !o.Deleted) && hasAnyPrefix(name, prefixes) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b chestnutcleat.Object) int { return int(a.Version) - int(b.Version) })
	return list, s.changed
}

func hasAnyPrefix(name chestnutcleat.ObjectName, prefixes []chestnutcleat.ObjectName) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(string(name), string(p)) {
			return true
		}
	}
	return false
}
