package role

import (
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/entry"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/place"
)

// departureObserver keeps by which sources instances were reported as leaving.
type departureObserver struct{ sources []string }

func (o *departureObserver) Emit(id chestnutcleat.EventID, attributes ...any) {
	if id == event.InstanceDeparted {
		o.sources = append(o.sources, fmt.Sprint(attributes...))
	}
}

// An instance that leaves by its registration must be counted and reported once: operators saw only those that said so themselves.
func TestDepartureByRegistration(t *testing.T) {
	is := is.New(t)
	observer := &departureObserver{}
	e := &Entry{placement: place.NewTable(), handler: &entry.Handler{Metrics: &entry.Metrics{Set: metrics.NewSet()}}}
	e.Observer = observer
	for _, state := range []string{"ready", "draining", "draining"} {
		data := fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","version":"v1","slots":6,"state":%q,"born":7}`, state)
		e.instancesChanged(mirror.Snapshot{Objects: []chestnutcleat.StoredObject{{Name: "i", Version: 1, Data: data}}})
	}
	is.Equal(observer.sources, []string{fmt.Sprint("instance", chestnutcleat.InstanceID("i"), "by", entry.DepartureByRegistration)})
	is.Equal(e.handler.Metrics.Set.GetOrCreateCounter(`instances_departed_total{source="registration"}`).Get(), uint64(1))
}
