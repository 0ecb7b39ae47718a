package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"sync"
)

// Object is an object in the format of the platform's API.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`

	// entry is the JSON of an odd object, see SetEntry.
	entry string
}

// Metadata holds the name of an object and the revisions of its creation and of its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Deleting bool   `json:"deleting"`
}

// Event is a change to or the deletion of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Faults holds the faults to inject.
type Faults struct {
	// Status is the status code with which every call fails; zero means none.
	Status int
	// StallWatches makes watches report no changes until they time out.
	StallWatches bool
	// StaleLists makes lists that may be stale return the objects of the time at which the fault was set, with the present revision.
	StaleLists bool
	// LoseResponses closes the connection of writes after they took effect.
	LoseResponses bool
}

// Store is a stand-in for the object store of the platform.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  map[string][]Event
	// compacted is the revision up to which the history was dropped.
	compacted uint64
	faults    Faults
	// staleObjects are the objects that lists return under StaleLists.
	staleObjects map[string]map[string]Object
	changed      chan struct{}
	calls        int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: map[string]map[string]Object{}, history: map[string][]Event{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.staleObjects = f, nil
	if f.StaleLists {
		s.staleObjects = map[string]map[string]Object{}
		for kind, list := range s.objects {
			s.staleObjects[kind] = maps.Clone(list)
		}
	}
	s.notifyWatches()
}

// Compact drops the history; watches from an older revision then fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = map[string][]Event{}
	s.notifyWatches()
}

// Calls returns the number of HTTP calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes the spec of an object, as operators and instances do, and returns its revision.
func (s *Store) Set(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec, o.entry = name, data, ""
	return s.write(kind, o).Metadata.Revision
}

// Delete removes an object, as operators and instances do.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Status returns the status of an object.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

// Get returns the spec of an object and whether it exists.
func (s *Store) Get(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o.Spec, ok
}

func (s *Store) write(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	o.Metadata.Created = cmp.Or(o.Metadata.Created, s.revision)
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history[kind] = append(s.history[kind], Event{Object: o})
	s.notifyWatches()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.history[kind] = append(s.history[kind], Event{Object: o, Deleted: true})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
