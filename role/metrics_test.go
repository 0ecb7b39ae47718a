package role

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/standin/loopback"
)

// eventChannel passes the ids of events on.
type eventChannel chan chestnutcleat.EventID

func (c eventChannel) Emit(id chestnutcleat.EventID, _ ...any) { c <- id }

// A metrics port that is in use must not end the process, which serves callers without it, and must be served once it is free.
func TestMetricsPortInUse(t *testing.T) {
	is := is.New(t)
	// At an address of this process, no other one takes the port when it is closed.
	ip := loopback.IP(1)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	is.NoErr(err)
	events := make(eventChannel, 10)
	b := &base{
		Settings: settings.Role{IP: ip, MetricsPort: l.Addr().(*net.TCPAddr).Port},
		Observer: events, Metrics: metrics.NewSet(), status: func() Status { return Status{VM: "a"} },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- b.serveMetrics(ctx) }()
	select {
	case err := <-ended:
		t.Fatalf("ended: %v", err)
	case id := <-events:
		is.Equal(id, event.MetricsUnavailable)
	}
	is.NoErr(l.Close())
	var s Status
	for end := time.Now().Add(20 * time.Second); s.VM != "a" && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		// The address is not open before the next attempt.
		s, _ = FetchStatus(ctx, chestnutcleat.Address(l.Addr().String()))
	}
	is.Equal(s.VM, chestnutcleat.VMID("a"))
	cancel()
	is.NoErr(<-ended)
}
