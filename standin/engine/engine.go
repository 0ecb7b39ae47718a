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

// Defaults of an engine.
const (
	defaultSlots                       = 6
	defaultCache  chestnutcleat.Tokens = 120_000
	defaultSpeed                       = 10_000.0
	defaultDecode                      = 100.0
	maxBody                            = 16 << 20
)

// Engine is a stand-in model engine; exported fields are set before the first request.
type Engine struct {
	Models []chestnutcleat.ModelName
	// Slots is the number of requests in the batch.
	Slots int
	// Cache is the size of the prefix cache.
	Cache chestnutcleat.Tokens
	// Prefill and Decode are in tokens per second.
	Prefill float64
	Decode  float64
	// Chunk is the number of tokens of one streamed event.
	Chunk int
	// Fencing refuses orders with an old fencing token.
	Fencing bool
	// Lag is the age of load reports and the delay of cache events.
	Lag  time.Duration
	Seed uint64
	// Holdings is shared by the engines of a fleet to count Stats.Wasted; it may be nil.
	Holdings *Holdings
	// Record keeps every received request for Received.
	Record bool

	once     sync.Once
	mux      *http.ServeMux
	mu       sync.Mutex
	batch    *batch
	cache    *cache
	faults   Faults
	received []Received
	state    chestnutcleat.EngineState
	report   chestnutcleat.LoadReport
	crash    chan struct{}
	down     time.Time
	stats    Stats
}

func (e *Engine) setup() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.Cache == 0 {
		e.Cache = defaultCache
	}
	if e.Prefill == 0 {
		e.Prefill = defaultSpeed
	}
	if e.Decode == 0 {
		e.Decode = defaultDecode
	}
	e.Chunk = max(e.Chunk, 1)
	e.batch = &batch{slots: e.Slots}
	e.cache = e.newCache()
	e.crash = make(chan struct{})
	e.state.Models = append(e.state.Models, e.Models...)
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /events", e.events)
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.HandleFunc("GET /state", e.showState)
	e.mux.HandleFunc("POST /pins", e.pin)
	e.mux.HandleFunc("PUT /faults", e.putFaults)
}

func (e *Engine) newCache() *cache {
	return newCache(e.Cache, rand.New(rand.NewPCG(e.Seed, 1)), e.Lag, e.Holdings)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.setup)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
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
	down := time.Now().Before(e.down)
	e.mu.Unlock()
	if down && r.URL.Path != "/faults" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Received returns the requests received so far.
func (e *Engine) Received() []Received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Received(nil), e.received...)
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Crash cuts all connections, empties the cache, and refuses requests for d.
func (e *Engine) Crash(d time.Duration) {
	e.once.Do(e.setup)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	close(e.crash)
	e.crash = make(chan struct{})
	e.down = time.Now().Add(d)
	e.cache.drop()
	e.cache = e.newCache()
	e.state.Pins = nil
}

// next returns the faults that the next request meets.
func (e *Engine) next() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.Times > 0 {
		e.faults.Times--
		if e.faults.Times == 0 {
			e.faults = Faults{}
		}
	}
	return f
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
