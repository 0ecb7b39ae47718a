package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
	"chestnutcleat.example/chestnutcleat/manifest"
)

const (
	// maxManifestBytes bounds the text of a manifest; 5,000 customers need about 1 MB.
	maxManifestBytes = 32 << 20
	// maxRequestBytes bounds all other request bodies.
	maxRequestBytes = 64 << 10
	// maxOperatorNameBytes bounds the name of an operator.
	maxOperatorNameBytes = 128
)

// changeIDPattern matches valid change ids, which become part of object names; the empty id asks for a new one.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{0,128}$`)

// Handler serves the HTTP interface for operators. Its function fields block until the result is known.
type Handler struct {
	Current  func() *manifest.View
	Apply    func(context.Context, manifest.Change) (manifest.Accepted, error)
	Give     func(ctx context.Context, d chestnutcleat.Digest, c chestnutcleat.CustomerID, who string) error
	Withdraw func(ctx context.Context, d chestnutcleat.Digest, who string) error
	Audit    func(ctx context.Context, prefix string) ([]manifest.Record, error)
	VMs      func(context.Context) ([]chestnutcleat.VM, error)
	// Upstreams returns the upstream states known to this VM.
	Upstreams func(context.Context) ([]chestnutcleat.Load, error)
	// Drain starts the graceful shutdown of a VM; it returns a *chestnutcleat.Problem if the VM is unknown.
	Drain func(ctx context.Context, id chestnutcleat.VMID, who string) error
	// Ready returns the reason why this VM cannot serve callers, or nil if it can.
	Ready func(context.Context) error
	// Metrics writes metrics in addition to the global ones; nil for none.
	Metrics func(io.Writer)
}

// ServeMux returns a mux with the routes of the handler.
func (h *Handler) ServeMux() *http.ServeMux {
	m := http.NewServeMux()
	handle := func(pattern string, f func(http.ResponseWriter, *http.Request) error) {
		m.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if err := f(w, r); err != nil {
				writeProblem(w, err)
			}
		})
	}
	handle("GET /manifest", h.getManifest)
	handle("PUT /manifest", h.putManifest)
	handle("POST /keys", h.postKey)
	handle("DELETE /keys/{digest}", h.deleteKey)
	handle("GET /vms", h.getVMs)
	handle("POST /vms/{id}/drain", h.postDrain)
	handle("GET /upstreams", h.getUpstreams)
	handle("GET /audit", h.getAudit)
	handle("GET /readyz", h.getReady)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	m.HandleFunc("GET /metrics", h.getMetrics)
	return m
}

func respond(w http.ResponseWriter, status int, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error is ignored: the client notices the broken connection itself.
	w.Write(append(data, '\n'))
	return nil
}

func etag(r chestnutcleat.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(r), 10))
}

// operatorName returns the name of the operator, which every change must carry.
func operatorName(r *http.Request) (string, error) {
	name := strings.TrimSpace(r.Header.Get(HeaderOperator))
	if name == "" || len(name) > maxOperatorNameBytes {
		return "", chestnutcleat.NewProblem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "expected header %s with the operator's name of at most %d bytes", HeaderOperator, maxOperatorNameBytes)
	}
	return name, nil
}

func (h *Handler) getManifest(w http.ResponseWriter, _ *http.Request) error {
	m := h.Current().Manifest
	w.Header().Set("ETag", etag(m.Revision))
	return respond(w, http.StatusOK, m)
}

func (h *Handler) putManifest(w http.ResponseWriter, r *http.Request) error {
	name, err := operatorName(r)
	if err != nil {
		return err
	}
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return chestnutcleat.NewProblem(chestnutcleat.CodeBaseMissing, chestnutcleat.NotRun, "expected header If-Match with the revision that the change is based on, 0 for the first manifest")
	}
	id := r.Header.Get(HeaderChange)
	if !changeIDPattern.MatchString(id) {
		return chestnutcleat.NewProblem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "expected header %s with at most 128 letters, digits, '.', '_' or '-'", HeaderChange)
	}
	raw, err := readBody(w, r, maxManifestBytes)
	if err != nil {
		return err
	}
	c := manifest.Change{Raw: raw, Base: chestnutcleat.Revision(base), Who: name, ID: chestnutcleat.ChangeID(id)}
	a, err := h.Apply(r.Context(), c)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(a.Revision))
	return respond(w, http.StatusOK, a)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, chestnutcleat.NewProblem(chestnutcleat.CodeTooLarge, chestnutcleat.NotRun, "expected at most %d bytes", limit)
	}
	if err != nil {
		return nil, chestnutcleat.NewProblem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "request body: %v", err)
	}
	return data, nil
}

func (h *Handler) postKey(w http.ResponseWriter, r *http.Request) error {
	name, err := operatorName(r)
	if err != nil {
		return err
	}
	data, err := readBody(w, r, maxRequestBytes)
	if err != nil {
		return err
	}
	q, d := document.Decode[GiveRequest]("request", data)
	if !d.Malformed() && !d.Has("digest") {
		d.Add("digest", "expected the SHA-256 digest of the key")
	}
	if err := d.Err(); err != nil {
		return err
	}
	if err := h.Give(r.Context(), q.Digest, q.Customer, name); err != nil {
		return err
	}
	return respond(w, http.StatusCreated, KeyReply{Digest: q.Digest, State: "active"})
}

func (h *Handler) deleteKey(w http.ResponseWriter, r *http.Request) error {
	name, err := operatorName(r)
	if err != nil {
		return err
	}
	var d chestnutcleat.Digest
	if err := d.UnmarshalText([]byte(r.PathValue("digest"))); err != nil {
		return chestnutcleat.NewProblem(chestnutcleat.CodeBadRequest, chestnutcleat.NotRun, "expected the SHA-256 digest of a key in the path")
	}
	if err := h.Withdraw(r.Context(), d, name); err != nil {
		return err
	}
	return respond(w, http.StatusOK, KeyReply{Digest: d, State: "withdrawn"})
}

func (h *Handler) getVMs(w http.ResponseWriter, r *http.Request) error {
	return respondResult(w, r, h.VMs)
}

func (h *Handler) getUpstreams(w http.ResponseWriter, r *http.Request) error {
	return respondResult(w, r, h.Upstreams)
}

func respondResult[T any](w http.ResponseWriter, r *http.Request, f func(context.Context) (T, error)) error {
	v, err := f(r.Context())
	if err != nil {
		return err
	}
	return respond(w, http.StatusOK, v)
}

func (h *Handler) postDrain(w http.ResponseWriter, r *http.Request) error {
	name, err := operatorName(r)
	if err != nil {
		return err
	}
	if err := h.Drain(r.Context(), chestnutcleat.VMID(r.PathValue("id")), name); err != nil {
		return err
	}
	w.WriteHeader(http.StatusAccepted)
	return nil
}

func (h *Handler) getAudit(w http.ResponseWriter, r *http.Request) error {
	list, err := h.Audit(r.Context(), r.URL.Query().Get("time"))
	if err != nil {
		return &manifest.UnavailableError{Cause: err}
	}
	return respond(w, http.StatusOK, list)
}

func (h *Handler) getReady(w http.ResponseWriter, r *http.Request) error {
	if err := h.Ready(r.Context()); err != nil {
		return chestnutcleat.NewProblem(chestnutcleat.CodeLeaving, chestnutcleat.NotRun, "%v", err)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (h *Handler) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
	if h.Metrics != nil {
		h.Metrics(w)
	}
}
