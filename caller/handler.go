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

// Paths of the API for callers.
const (
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/"
	PathPrograms = "/v1/programs/"
	PathVMs      = "/v1/vms"
)

// Default values of the Handler fields.
const (
	DefaultMaxTokens         chestnutcleat.Tokens = 4096
	DefaultDisconnectGrace                        = time.Minute
	DefaultStreamIdleTimeout                      = 30 * time.Second
	DefaultMaxAttempts                            = 4
)

const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = time.Minute
	idleTimeout       = 2 * time.Minute
	// manifestTimeout is longer than a VM needs after its start to receive the manifest from other VMs.
	manifestTimeout = 2 * time.Second
)

// Handler serves the HTTP API for callers. Its exported fields must be set before the first request.
type Handler struct {
	Owners    chestnutcleat.Owners
	Directory chestnutcleat.Directory
	Observer  chestnutcleat.Observer
	// MaxTokens is the output limit of a chat that sets none.
	MaxTokens chestnutcleat.Tokens
	// DisconnectGrace is how long a repeatable call with an id chosen by the caller continues after the caller disconnected.
	DisconnectGrace time.Duration
	// StreamIdleTimeout is the maximum time between two events of an upstream's stream.
	StreamIdleTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of one call.
	MaxAttempts int
	// Dial connects to upstreams; nil means TCP.
	Dial upstream.Dial
	// ManifestReady is closed once a manifest is in effect; nil means that one already is.
	ManifestReady <-chan struct{}
	// Metrics receives the counters; nil means a private set.
	Metrics *metrics.Set

	setupOnce         sync.Once
	pooledTransport   *http.Transport
	unpooledTransport *http.Transport
	requests          requestTracker
}

func (h *Handler) setup() {
	if h.MaxTokens == 0 {
		h.MaxTokens = DefaultMaxTokens
	}
	if h.DisconnectGrace == 0 {
		h.DisconnectGrace = DefaultDisconnectGrace
	}
	if h.StreamIdleTimeout == 0 {
		h.StreamIdleTimeout = DefaultStreamIdleTimeout
	}
	if h.MaxAttempts == 0 {
		h.MaxAttempts = DefaultMaxAttempts
	}
	if h.Metrics == nil {
		h.Metrics = metrics.NewSet()
	}
	h.pooledTransport = upstream.NewTransport(true, h.Dial)
	h.unpooledTransport = upstream.NewTransport(false, h.Dial)
}

// Server returns an HTTP server with the timeouts and limits that the handler relies on.
// Its header limit is twice the handler's, so that most oversized headers get a problem document.
func (h *Handler) Server() *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeaderBytes}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.setupOnce.Do(h.setup)
	closeConnection := h.requests.add()
	defer h.requests.done()
	if closeConnection {
		w.Header().Set("Connection", "close")
	}
	if p := h.awaitManifest(r.Context()); p != nil {
		h.writeProblem(w, p)
		return
	}
	who, p := h.checkRequest(r)
	if p != nil {
		h.writeProblem(w, p)
		return
	}
	switch path := r.URL.Path; {
	case path == PathChat:
		p = h.serveChat(w, r, who)
	case strings.HasPrefix(path, PathServices):
		p = h.serveService(w, r, who)
	case strings.HasPrefix(path, PathPrograms):
		p = h.serveProgram(w, r, who)
	case path == PathVMs:
		p = h.serveVMs(w, r, who)
	default:
		p = notRunProblem(chestnutcleat.CodeRouteUnknown, "no such path")
	}
	if p != nil {
		h.writeProblem(w, p)
	}
}

// awaitManifest waits until a manifest is in effect: without one, every key would be refused as unknown.
func (h *Handler) awaitManifest(ctx context.Context) *chestnutcleat.Problem {
	if h.ManifestReady == nil {
		return nil
	}
	select {
	case <-h.ManifestReady:
		return nil
	default:
	}
	t := time.NewTimer(manifestTimeout)
	defer t.Stop()
	select {
	case <-h.ManifestReady:
		return nil
	case <-t.C:
	case <-ctx.Done():
	}
	return notRunProblem(chestnutcleat.CodeNotReady, "no manifest is in effect on this VM; use another one").WithRetry(defaultRetryDelay)
}

func (h *Handler) emit(id chestnutcleat.EventID, attributes ...any) {
	if h.Observer != nil {
		h.Observer.Emit(id, attributes...)
	}
}
