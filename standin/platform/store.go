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
	errOutage = errors.New("platform outage")
	errLost   = errors.New("response lost")
)

// limited is the error of a call above the rate limit; it had no effect.
type limited struct {
	retry time.Duration
}

// Error implements error.
func (e *limited) Error() string { return fmt.Sprintf("rate limit, retry in %s", e.retry) }

// listed is a version of a VM's entry in the lagging list.
type listed struct {
	vm    chestnutcleat.ListedVM
	since time.Time
}

// Store holds objects with one version counter.
type Store struct {
	mu      sync.Mutex
	rand    *rand.Rand
	version chestnutcleat.Version
	objects map[chestnutcleat.ObjectName]chestnutcleat.Object
	vms     map[chestnutcleat.VMID][]listed
	counts  map[string]Count
	faults  Faults
	changed chan struct{}
	// tokens and filled are the rate limit's bucket.
	tokens float64
	filled time.Time
}

// NewStore returns an empty store whose faults are decided by the seed.
func NewStore(seed uint64) *Store {
	return &Store{
		rand:    rand.New(rand.NewPCG(seed, seed)),
		objects: map[chestnutcleat.ObjectName]chestnutcleat.Object{},
		vms:     map[chestnutcleat.VMID][]listed{},
		counts:  map[string]Count{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.tokens = f.Rate
	s.filled = time.Now()
	s.wake()
}

// Counts returns the calls of each client.
func (s *Store) Counts() map[string]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]Count{}
	for k, v := range s.counts {
		m[k] = v
	}
	return m
}

// SetVM changes an entry of the list of VMs, which shows it after the lag.
func (s *Store) SetVM(v chestnutcleat.ListedVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[v.ID] = append(s.vms[v.ID], listed{vm: v, since: time.Now()})
}

func (s *Store) listVMs() []chestnutcleat.ListedVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := time.Now().Add(-time.Duration(s.faults.Lag))
	list := []chestnutcleat.ListedVM{}
	for _, entries := range s.vms {
		for _, e := range slices.Backward(entries) {
			if !e.since.After(seen) {
				list = append(list, e.vm)
				break
			}
		}
	}
	slices.SortFunc(list, func(a, b chestnutcleat.ListedVM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// admit counts a call and applies the rate limit.
func (s *Store) admit(client string, k kind) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[client]
	c.add(k)
	defer func() { s.counts[client] = c }()
	if s.faults.Rate <= 0 {
		return s.faults, nil
	}
	now := time.Now()
	s.tokens = min(s.faults.Rate, s.tokens+now.Sub(s.filled).Seconds()*s.faults.Rate)
	s.filled = now
	if s.tokens < 1 {
		c.Refused++
		return s.faults, &limited{retry: time.Duration((1 - s.tokens) / s.faults.Rate * float64(time.Second))}
	}
	s.tokens--
	return s.faults, nil
}

// down reports an outage.
func (s *Store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

// loses decides whether the response of a write is lost.
func (s *Store) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Lost > 0 && s.rand.Float64() < s.faults.Lost
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

// put writes an object; anyVersion skips the version check.
func (s *Store) put(o chestnutcleat.Object, anyVersion bool) (chestnutcleat.Version, error) {
	if len(o.Data) > chestnutcleat.MaxObjectBytes {
		return 0, chestnutcleat.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !anyVersion && s.live(o.Name) != o.Version {
		return 0, chestnutcleat.ErrConflict
	}
	o.Data = slices.Clone(o.Data)
	return s.store(o), nil
}

func (s *Store) remove(name chestnutcleat.ObjectName, v chestnutcleat.Version, anyVersion bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.live(name)
	switch {
	case have == 0:
		return chestnutcleat.ErrNotFound
	case !anyVersion && have != v:
		return chestnutcleat.ErrConflict
	}
	s.store(chestnutcleat.Object{Name: name, Deleted: true})
	return nil
}

// live returns the version of an object, or zero if it does not exist.
func (s *Store) live(name chestnutcleat.ObjectName) chestnutcleat.Version {
	if o := s.objects[name]; !o.Deleted {
		return o.Version
	}
	return 0
}

func (s *Store) store(o chestnutcleat.Object) chestnutcleat.Version {
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	s.wake()
	return o.Version
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the objects under the prefixes that changed after a version, and a channel that is closed at the next change.
func (s *Store) since(prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []chestnutcleat.Object{}
	for name, o := range s.objects {
		if o.Version > after && (after > 0 || !o.Deleted) && matches(name, prefixes) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b chestnutcleat.Object) int { return int(a.Version) - int(b.Version) })
	return list, s.changed
}

func matches(name chestnutcleat.ObjectName, prefixes []chestnutcleat.ObjectName) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(string(name), string(p)) {
			return true
		}
	}
	return false
}
