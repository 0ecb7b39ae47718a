package process

import (
	"io"
	"net/http"
	"time"
)

const operatorHeaderTimeout = 10 * time.Second

// operatorServer returns the HTTP server for operators.
func (p *Process) operatorServer() *http.Server {
	h := p.node.OperatorHandler(func(w io.Writer) { p.Metrics.WritePrometheus(w) })
	return &http.Server{Handler: h.ServeMux(), ReadHeaderTimeout: operatorHeaderTimeout}
}
