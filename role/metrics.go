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
)

// metricsHeaderTimeout bounds the reading of a request's header.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics serves the metrics and the status of this process until ctx is done.
func (b *base) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, b.status()) })
	s := &http.Server{
		Addr:    net.JoinHostPort(b.Settings.IP, strconv.Itoa(b.Settings.MetricsPort)),
		Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout,
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics on %s: %w", s.Addr, err)
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
