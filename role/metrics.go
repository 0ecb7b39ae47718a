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

// serveMetrics serves the metrics and the status of this process until ctx is done.
func (b *base) serveMetrics(ctx context.Context) error {
	address := net.JoinHostPort(b.Settings.IP, strconv.Itoa(b.Settings.MetricsPort))
	b.keepServingMetrics(ctx, address, func() (net.Listener, error) { return net.Listen("tcp", address) })
	return nil
}

// keepServingMetrics serves on the listeners that listen opens. Callers don't need the metrics, so a failure, such as an address that is in
// use, does not end the process; the first one is reported, and the first one after the address was open.
func (b *base) keepServingMetrics(ctx context.Context, address string, listen func() (net.Listener, error)) {
	handler := b.metricsHandler()
	reported := false
	for ctx.Err() == nil {
		l, err := listen()
		if err == nil {
			reported = false
			err = serveUntilDone(ctx, l, handler)
		}
		if err != nil && !reported {
			b.Observer.Emit(event.MetricsUnavailable, "address", address, "error", err)
			reported = true
		}
		_ = chestnutcleat.Sleep(ctx, metricsRetryInterval)
	}
}

// serveUntilDone serves HTTP on a listener until ctx is done, which is no error.
func serveUntilDone(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: metricsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
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
