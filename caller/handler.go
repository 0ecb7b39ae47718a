package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// Paths of the interface towards callers.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/"
	PathPrograms = "/v1/programs/"
	PathVMs      = "/v1/vms"
)

// Defaults of a Handler.
const (
	DefaultOutput   chestnutcleat.Tokens = 4096
	DefaultLinger                        = time.Minute
	DefaultIdle                          = 30 * time.Second
	DefaultAttempts                      = 4
)

const (
	maxHeader     = 32 << 10
	headerTimeout = 10 * time.Second
	bodyTimeout   = time.Minute
	idleTimeout   = 2 * time.Minute
	// effectiveWait is above the time that a VM needs after its start to learn the manifest from the others.
	effectiveWait = 2 * time.Second
)

// Handler serves callers; exported fields are set before the first request.
type Handler struct {
	Owners    chestnutcleat.Owners
	Directory chestnutcleat.Directory
	Observer  chestnutcleat.Observer
	// Output bounds the output of a chat that sets no bound.
	Output chestnutcleat.Tokens
	// Linger is how long a repeatable call with a call id of the caller runs on after the caller left.
	Linger time.Duration
	// Idle is the longest time between two events of an upstream's stream.
	Idle time.Duration
	// Attempts is the largest number of attempts of one call.
	Attempts int
	// Dial connects to upstreams; nil means TCP.
	Dial upstream.Dial
	// Effective is closed once a manifest is in effect; nil means that one is.
	Effective <-chan struct{}
	// Metrics receives the counters; nil means a set of its own.
	Metrics *metrics.Set

	once   sync.Once
	reuse  *http.Transport
	fresh  *http.Transport
	active active
}

func (h *Handler) setup() {
	if h.Output == 0 {
		h.Output = DefaultOutput
	}
	if h.Linger == 0 {
		h.Linger = DefaultLinger
	}
	if h.Idle == 0 {
		h.Idle = DefaultIdle
	}
	if h.Attempts == 0 {
		h.Attempts = DefaultAttempts
	}
	if h.Metrics == nil {
		h.Metrics = metrics.NewSet()
	}
	h.reuse = upstream.NewTransport(true, h.Dial)
	h.fresh = upstream.NewTransport(false, h.Dial)
}

// Server returns an HTTP server with the limits that the handler relies on.
// Its header limit is above the handler's, so that most callers get a problem document.
func (h *Handler) Server() *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeader}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.setup)
	closing := h.active.enter()
	defer h.active.leave()
	if closing {
		w.Header().Set("Connection", "close")
	}
	if p := h.await(r.Context()); p != nil {
		h.refuse(w, p)
		return
	}
	who, p := h.screen(r)
	if p != nil {
		h.refuse(w, p)
		return
	}
	switch path := r.URL.Path; {
	case path == PathChat:
		p = h.chat(w, r, who)
	case strings.HasPrefix(path, PathServices):
		p = h.service(w, r, who)
	case strings.HasPrefix(path, PathPrograms):
		p = h.program(w, r, who)
	case path == PathVMs:
		p = h.vms(w, r, who)
	default:
		p = refusal(chestnutcleat.CodeRouteUnknown, "no such path")
	}
	if p != nil {
		h.refuse(w, p)
	}
}

// await waits for a manifest: without one, the key of every caller would be refused as unknown.
func (h *Handler) await(ctx context.Context) *chestnutcleat.Problem {
	if h.Effective == nil {
		return nil
	}
	select {
	case <-h.Effective:
		return nil
	default:
	}
	t := time.NewTimer(effectiveWait)
	defer t.Stop()
	select {
	case <-h.Effective:
		return nil
	case <-t.C:
	case <-ctx.Done():
	}
	return refusal(chestnutcleat.CodeNotReady, "no manifest is in effect on this VM; use another one").WithRetry(retryDefault)
}

func (h *Handler) emit(id chestnutcleat.EventID, attributes ...any) {
	if h.Observer != nil {
		h.Observer.Emit(id, attributes...)
	}
}
