package process

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
)

// operatorServer serves the operators' listener.
func (p *Process) operatorServer() *http.Server {
	m := http.NewServeMux()
	m.HandleFunc("PUT /manifest", p.putManifest)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return &http.Server{Handler: m, ReadHeaderTimeout: 10 * time.Second}
}

func (p *Process) putManifest(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	base, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	a, err := p.node.Apply(r.Context(), manifest.Change{Raw: raw, Base: chestnutcleat.Revision(base), Who: r.Header.Get("Chestnutcleat-Operator")})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(uint64(a.Revision), 10))
}
