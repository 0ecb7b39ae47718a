package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

// Metrics records the outcome and latency of requests.
type Metrics struct {
	Set *metrics.Set
}

func (m *Metrics) refused(code chestnutcleat.Code) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`requests_refused_total{code=%q}`, string(code))).Inc()
}

// DepartureSource tells how a VM learned that an instance leaves.
type DepartureSource string

// Sources of departures.
const (
	DepartureByAnswer       DepartureSource = "answer"
	DepartureByRegistration DepartureSource = "registration"
	DepartureByPeer         DepartureSource = "peer"
)

// Departed counts an instance that is known to leave.
func (m *Metrics) Departed(s DepartureSource) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`instances_departed_total{source=%q}`, string(s))).Inc()
}

func (m *Metrics) answered(t config.RouteType, d time.Duration) {
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`request_seconds{type=%q}`, string(t))).Update(d.Seconds())
}

func (m *Metrics) streamed(first, whole time.Duration) {
	m.Set.GetOrCreateHistogram(`stream_first_event_seconds`).Update(first.Seconds())
	m.Set.GetOrCreateHistogram(`request_seconds{type="streaming"}`).Update(whole.Seconds())
}
