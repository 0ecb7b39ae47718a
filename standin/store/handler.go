package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// pageSize is the maximum number of objects in one page of a list.
const pageSize = 50

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
