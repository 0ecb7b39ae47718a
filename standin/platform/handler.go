package platform

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// ClientHeader holds the client name under which a call is counted.
const ClientHeader = "Chestnutcleat-Client"

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{name...}", s.withFaults(readCall, s.serveGet))
	m.HandleFunc("PUT /objects/{name...}", s.withFaults(writeCall, s.servePut))
	m.HandleFunc("DELETE /objects/{name...}", s.withFaults(writeCall, s.serveDelete))
	m.HandleFunc("GET /objects", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			s.withFaults(watchCall, s.serveWatch)(w, r)
			return
		}
		s.withFaults(readCall, s.serveList)(w, r)
	})
	m.HandleFunc("GET /vms", s.withFaults(readCall, s.serveVMs))
	m.HandleFunc("PUT /vms/{id}", s.withFaults(writeCall, s.serveSetVM))
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	m.HandleFunc("PUT /faults", s.serveFaults)
	return m
}

// withFaults returns a handler that counts a call, applies the faults and calls serve.
func (s *Store) withFaults(k callKind, serve func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := Client{Store: s, Name: r.Header.Get(ClientHeader)}
		err := c.beginCall(r.Context(), k)
		if err == nil {
			err = serve(w, r)
		}
		if err != nil {
			writeError(w, err)
		}
	}
}

// abortIfLost closes the connection of a write if its response is to be lost.
func (s *Store) abortIfLost() {
	if s.losesResponse() {
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var l *rateLimitError
	switch {
	case errors.Is(err, chestnutcleat.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, chestnutcleat.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, chestnutcleat.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errOutage):
		status = http.StatusServiceUnavailable
	case errors.As(err, &l):
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(l.retry.Seconds()))))
		status = http.StatusTooManyRequests
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func etag(v chestnutcleat.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func objectName(r *http.Request) chestnutcleat.ObjectName {
	return chestnutcleat.ObjectName(r.PathValue("name"))
}

// writeCondition reads the headers If-Match and If-None-Match; without either, the write is unconditional.
func writeCondition(r *http.Request) (v chestnutcleat.Version, anyVersion bool, err error) {
	match := r.Header.Get("If-Match")
	switch {
	case r.Header.Get("If-None-Match") == "*":
		return 0, false, nil
	case match == "" || match == "*":
		return 0, true, nil
	}
	n, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	return chestnutcleat.Version(n), false, err
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) error {
	o, err := s.get(objectName(r))
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(o.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(o.Data)
	return nil
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, chestnutcleat.MaxObjectBytes+1))
	if err != nil {
		return err
	}
	v, anyVersion, err := writeCondition(r)
	if err != nil {
		return err
	}
	v, err = s.put(chestnutcleat.Object{Name: objectName(r), Version: v, Data: data}, anyVersion)
	s.abortIfLost()
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(v))
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) error {
	v, anyVersion, err := writeCondition(r)
	if err != nil {
		return err
	}
	err = s.remove(objectName(r), v, anyVersion)
	s.abortIfLost()
	if err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func prefixes(r *http.Request) []chestnutcleat.ObjectName {
	var list []chestnutcleat.ObjectName
	for _, p := range r.URL.Query()["prefix"] {
		list = append(list, chestnutcleat.ObjectName(p))
	}
	return list
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) error {
	list, _ := s.changedSince(prefixes(r), 0)
	writeJSON(w, list)
	return nil
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) error {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return err
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return err
	}
	list, err := s.waitForChanges(r.Context(), prefixes(r), chestnutcleat.Version(after), min(wait, maxWatchWait))
	if err != nil {
		return err
	}
	writeJSON(w, list)
	return nil
}

func (s *Store) serveVMs(w http.ResponseWriter, _ *http.Request) error {
	writeJSON(w, s.listVMs())
	return nil
}

func (s *Store) serveSetVM(w http.ResponseWriter, r *http.Request) error {
	var v chestnutcleat.ListedVM
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		return err
	}
	v.ID = chestnutcleat.VMID(r.PathValue("id"))
	s.SetVM(v)
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, err)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
