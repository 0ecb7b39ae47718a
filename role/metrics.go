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

// metricsHeaderTime bounds the reading of a request for metrics.
const metricsHeaderTime = 5 * time.Second

// serveMetrics serves the counters and histograms of this process as text, and its beliefs, until ctx is done.
func (b *base) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+pathBeliefs, func(w http.ResponseWriter, _ *http.Request) { tellBeliefs(w, b.known()) })
	s := &http.Server{
		Addr:    net.JoinHostPort(b.Settings.IP, strconv.Itoa(b.Settings.Metrics)),
		Handler: mux, ReadHeaderTimeout: metricsHeaderTime,
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics on %s: %w", s.Addr, err)
	}
	return nil
}

// gauges registers what the mirrors and the fleet know.
func (b *base) gauges() {
	for k, m := range b.mirrors {
		b.Metrics.NewGauge(fmt.Sprintf(`object_version{kind=%q}`, string(k)), func() float64 { return float64(m.Version()) })
	}
	b.Metrics.NewGauge("peers_heard", func() float64 {
		_, heard := b.rankHeard()
		return float64(heard - 1)
	})
}
