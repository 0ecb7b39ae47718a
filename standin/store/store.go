package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// pageSize is the number of objects of one page of a list.
const pageSize = 50

// Object is an object as the platform sends it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// Metadata names an object and its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Deleting bool   `json:"deleting"`
}

// Event is a change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Faults makes the store misbehave.
type Faults struct {
	// Status is answered to every call; zero means none.
	Status int
	// Deaf watches wait without an answer although there are changes.
	Deaf bool
	// Lost writes are done and answered by a broken connection.
	Lost bool
}

// Store is the platform's store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	history  map[string][]Event
	// dropped is the revision up to which the history is gone.
	dropped uint64
	faults  Faults
	changed chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, kinds: map[string]map[string]Object{}, history: map[string][]Event{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.revision
	s.history = map[string][]Event{}
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object as the operators or an instance do.
func (s *Store) Set(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, data
	return s.write(kind, o).Metadata.Revision
}

// Delete removes an object as the operators or an instance do.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Status returns the status of an object.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

// Get returns the spec of an object and whether it exists.
func (s *Store) Get(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o.Spec, ok
}

func (s *Store) write(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	o.Metadata.Created = cmp.Or(o.Metadata.Created, s.revision)
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history[kind] = append(s.history[kind], Event{Object: o})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.history[kind] = append(s.history[kind], Event{Object: o, Deleted: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.list)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /api/objects/{kind}", s.create)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}/status", s.setStatus)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.delete)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		status := s.faults.Status
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The client left.
		return
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []Object{}
	for name, o := range s.kinds[r.PathValue("kind")] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := s.since(r.PathValue("kind"), after), s.revision, s.changed
		gone, deaf := after < s.dropped, s.faults.Deaf
		s.mu.Unlock()
		if gone && !deaf {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !deaf {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			answer(w, http.StatusOK, map[string]any{"events": []Event{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) since(kind string, after uint64) []Event {
	var list []Event
	for _, e := range s.history[kind] {
		if e.Object.Metadata.Revision > after {
			list = append(list, e)
		}
	}
	return list
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// change runs f under the lock; f returns the status and the object to answer.
func (s *Store) change(w http.ResponseWriter, r *http.Request, f func(in Object) (int, any)) {
	var in Object
	if r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	status, out := f(in)
	lost := s.faults.Lost
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, out)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(in Object) (int, any) {
		if o, ok := s.kinds[r.PathValue("kind")][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.write(r.PathValue("kind"), in)
	})
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(in Object) (int, any) {
		o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
		if !ok {
			return http.StatusNotFound, nil
		}
		if in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision {
			return http.StatusConflict, o
		}
		if string(o.Spec) == string(in.Spec) {
			return http.StatusOK, o
		}
		o.Spec = in.Spec
		return http.StatusOK, s.write(r.PathValue("kind"), o)
	})
}

func (s *Store) setStatus(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(in Object) (int, any) {
		o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
		if !ok {
			return http.StatusNotFound, nil
		}
		o.Status = in.Status
		return http.StatusOK, s.write(r.PathValue("kind"), o)
	})
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(Object) (int, any) {
		o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
		if !ok {
			return http.StatusNotFound, nil
		}
		if v := r.URL.Query().Get("revision"); v != "" && v != strconv.FormatUint(o.Metadata.Revision, 10) {
			return http.StatusConflict, o
		}
		s.remove(r.PathValue("kind"), o.Metadata.Name)
		return http.StatusOK, o
	})
}
