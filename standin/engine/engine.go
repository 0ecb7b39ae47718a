package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Defaults of an engine, and the limit of request bodies. Speeds are in tokens per second.
const (
	defaultSlots                             = 6
	defaultCacheTokens  chestnutcleat.Tokens = 120_000
	defaultPrefillSpeed                      = 10_000.0
	defaultDecodeSpeed                       = 100.0
	maxBodyBytes                             = 16 << 20
)

// Engine is a stand-in for a model engine. Exported fields must be set before the first request.
type Engine struct {
	Models []chestnutcleat.ModelName
	// Slots is the maximum number of requests in the batch.
	Slots int
	// Cache is the capacity of the prefix cache.
	Cache chestnutcleat.Tokens
	// Prefill and Decode are the speeds of one request in tokens per second.
	Prefill float64
	Decode  float64
	// ChunkTokens is the number of tokens in each event of a stream.
	ChunkTokens int
	// Fencing makes the engine reject commands with an old fencing token.
	Fencing bool
	// ReportDelay is the maximum age of load reports and the delay of cache events.
	ReportDelay time.Duration
	Seed        uint64
	// CacheIndex is shared by the engines of a fleet to compute Stats.Recomputed; it may be nil.
	CacheIndex *CacheIndex
	// Record keeps all received requests, which Received returns.
	Record bool

	once      sync.Once
	mux       *http.ServeMux
	mu        sync.Mutex
	batch     *batch
	cache     *cache
	faults    Faults
	received  []Received
	state     chestnutcleat.EngineState
	report    chestnutcleat.LoadReport
	crashed   chan struct{}
	downUntil time.Time
	stats     Stats
}

func (e *Engine) setup() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.Cache == 0 {
		e.Cache = defaultCacheTokens
	}
	if e.Prefill == 0 {
		e.Prefill = defaultPrefillSpeed
	}
	if e.Decode == 0 {
		e.Decode = defaultDecodeSpeed
	}
	e.ChunkTokens = max(e.ChunkTokens, 1)
	e.batch = &batch{slots: e.Slots}
	e.cache = e.newCache()
	e.crashed = make(chan struct{})
	e.state.Models = append(e.state.Models, e.Models...)
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /events", e.serveEvents)
	e.mux.HandleFunc("POST /orders", e.serveCommand)
	e.mux.HandleFunc("GET /state", e.serveState)
	e.mux.HandleFunc("POST /pins", e.servePin)
	e.mux.HandleFunc("PUT /faults", e.serveFaults)
}

func (e *Engine) newCache() *cache {
	return newCache(e.Cache, rand.New(rand.NewPCG(e.Seed, 1)), e.ReportDelay, e.CacheIndex)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.setup)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if e.Record {
		e.mu.Lock()
		e.received = append(e.received, Received{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Body: body})
		e.mu.Unlock()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down && r.URL.Path != "/faults" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Received returns the requests received so far, if Record is set.
func (e *Engine) Received() []Received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Received(nil), e.received...)
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crash aborts all requests, clears the cache and the pins, and aborts new requests for d.
func (e *Engine) Crash(d time.Duration) {
	e.once.Do(e.setup)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.downUntil = time.Now().Add(d)
	e.cache.removeFromFleetIndex()
	e.cache = e.newCache()
	e.state.Pins = nil
}

// nextFaults returns the faults of the next request and counts down Faults.Requests.
func (e *Engine) nextFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.Requests > 0 {
		e.faults.Requests--
		if e.faults.Requests == 0 {
			e.faults = Faults{}
		}
	}
	return f
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
