package role

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// metricsHeaderTimeout bounds the reading of a request's header.
	metricsHeaderTimeout = 5 * time.Second
	// metricsRetryInterval is the time between attempts to open the metrics address.
	metricsRetryInterval = time.Second
)

// metricsHandler serves the metrics and the status of this process.
func (b *base) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, b.status()) })
	return mux
}

// serveMetrics serves the metrics and the status of this process until ctx is done. Callers don't need them, so a failure, such as an
// address that is in use, does not end the process; the first one is reported.
func (b *base) serveMetrics(ctx context.Context) error {
	handler := b.metricsHandler()
	address := net.JoinHostPort(b.Settings.IP, strconv.Itoa(b.Settings.MetricsPort))
	failed := false
	for ctx.Err() == nil {
		s := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: metricsHeaderTimeout}
		stop := context.AfterFunc(ctx, func() { s.Close() })
		err := s.ListenAndServe()
		stop()
		if !failed && !errors.Is(err, http.ErrServerClosed) {
			b.Observer.Emit(event.MetricsUnavailable, "address", address, "error", err)
			failed = true
		}
		_ = chestnutcleat.Sleep(ctx, metricsRetryInterval)
	}
	return nil
}

// registerGauges registers gauges of the mirrors' versions and of the peers that are heard.
func (b *base) registerGauges() {
	for k, m := range b.mirrors {
		b.Metrics.NewGauge(fmt.Sprintf(`object_version{kind=%q}`, string(k)), func() float64 { return float64(m.Version()) })
	}
	b.Metrics.NewGauge("peers_heard", func() float64 {
		_, heard := b.rankHeard()
		return float64(heard - 1)
	})
}
