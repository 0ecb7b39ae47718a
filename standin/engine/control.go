package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// serveLoad responds with a report that is up to ReportDelay old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.counts()
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.report.Time) >= e.ReportDelay {
		e.report = chestnutcleat.LoadReport{Running: running, Waiting: waiting, Occupied: e.cache.used, Time: now}
		for _, p := range e.state.Pins {
			e.report.Pinned += p.Tokens
		}
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := e.cache.eventsAfter(chestnutcleat.Sequence(after))
	e.mu.Unlock()
	writeJSON(w, out)
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c chestnutcleat.EngineCommand
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fencing && c.Fence < e.state.Fence {
		http.Error(w, "old fencing token", http.StatusConflict)
		return
	}
	e.state.Fence = max(e.state.Fence, c.Fence)
	if c.Load != "" && !slices.Contains(e.state.Models, c.Load) {
		e.state.Models = append(e.state.Models, c.Load)
	}
	if c.Unload != "" {
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m chestnutcleat.ModelName) bool { return m == c.Unload })
	}
	if c.Role != "" {
		e.state.Role = c.Role
	}
	writeJSON(w, e.state)
}

// removeExpiredPins requires that the caller holds e.mu.
func (e *Engine) removeExpiredPins() {
	now := time.Now()
	e.state.Pins = slices.DeleteFunc(e.state.Pins, func(p chestnutcleat.Pin) bool { return !p.Expiry.After(now) })
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpiredPins()
	writeJSON(w, e.state)
}

func (e *Engine) servePin(w http.ResponseWriter, r *http.Request) {
	var p chestnutcleat.Pin
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Pins = slices.DeleteFunc(e.state.Pins, func(q chestnutcleat.Pin) bool { return q.Program == p.Program })
	e.state.Pins = append(e.state.Pins, p)
	e.removeExpiredPins()
	w.WriteHeader(http.StatusNoContent)
}
