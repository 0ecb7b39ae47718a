package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// pageSize is the maximum number of objects in one page of a list.
const pageSize = 50

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

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.serveList)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("POST /api/objects/{kind}", s.serveCreate)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.serveReplace)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}/status", s.serveSetStatus)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.serveDelete)
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

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The client disconnected.
		return
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	objects := s.objects
	if s.faults.StaleLists && r.URL.Query().Has("serializable") {
		objects = s.staleObjects
	}
	items := []Object{}
	for name, o := range objects[r.PathValue("kind")] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	list := make([][]byte, 0, len(items))
	for i := range items {
		list = append(list, items[i].encoded())
	}
	writeList(w, "items", list, fmt.Sprintf(`"has_more":%t,"store_revision":%d`, more, s.revision))
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
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
		events, revision, changed := s.eventsAfter(r.PathValue("kind"), after), s.revision, s.changed
		expired, stalled := after < s.compacted, s.faults.StallWatches
		s.mu.Unlock()
		if expired && !stalled {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !stalled {
			list := make([][]byte, 0, len(events))
			for i := range events {
				list = append(list, fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, events[i].Object.encoded(), events[i].Deleted))
			}
			writeList(w, "events", list, fmt.Sprintf(`"store_revision":%d`, revision))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []Event{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) eventsAfter(kind string, after uint64) []Event {
	var list []Event
	for _, e := range s.history[kind] {
		if e.Object.Metadata.Revision > after {
			list = append(list, e)
		}
	}
	return list
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// serveChange decodes the request body and calls apply with s.mu held. apply returns the status code and body of the response.
func (s *Store) serveChange(w http.ResponseWriter, r *http.Request, apply func(in Object) (int, any)) {
	var in Object
	if r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	status, out := apply(in)
	lost := s.faults.LoseResponses
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, out)
}

func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	s.serveChange(w, r, func(in Object) (int, any) {
		if o, ok := s.objects[r.PathValue("kind")][in.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.write(r.PathValue("kind"), in)
	})
}

func (s *Store) serveReplace(w http.ResponseWriter, r *http.Request) {
	s.serveChange(w, r, func(in Object) (int, any) {
		o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
		if !ok {
			return http.StatusNotFound, nil
		}
		if in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision {
			return http.StatusConflict, o
		}
		if o.entry == "" && string(o.Spec) == string(in.Spec) {
			return http.StatusOK, o
		}
		o.Spec, o.entry = in.Spec, ""
		return http.StatusOK, s.write(r.PathValue("kind"), o)
	})
}

func (s *Store) serveSetStatus(w http.ResponseWriter, r *http.Request) {
	s.serveChange(w, r, func(in Object) (int, any) {
		o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
		if !ok {
			return http.StatusNotFound, nil
		}
		o.Status = in.Status
		return http.StatusOK, s.write(r.PathValue("kind"), o)
	})
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.serveChange(w, r, func(Object) (int, any) {
		o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
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
