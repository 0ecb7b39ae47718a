package role

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// failingListener accepts nothing and fails after a while, as one does without memory for a further connection.
type failingListener struct {
	net.Listener
	after time.Duration
}

func (l failingListener) Accept() (net.Conn, error) {
	time.Sleep(l.after)
	return nil, errors.New("no buffer space")
}

func (failingListener) Close() error   { return nil }
func (failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Metrics that are lost once more after they were served must be reported once more: operators took them for served.
func TestMetricsLostAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		events := make(eventChannel, 10)
		b := &base{Observer: events, Metrics: metrics.NewSet(), status: func() Status { return Status{} }}
		var attempts atomic.Int64
		listen := func() (net.Listener, error) {
			if attempts.Add(1) == 3 {
				return failingListener{after: time.Minute}, nil
			}
			return nil, errors.New("address in use")
		}
		ended := make(chan struct{})
		go func() { b.keepServingMetrics(ctx, "a", listen); close(ended) }()
		time.Sleep(30 * time.Second)
		is.Equal(attempts.Load(), int64(3)) // it is served
		is.Equal(len(events), 1)            // the first failure of two
		time.Sleep(time.Minute)
		is.True(attempts.Load() > 10) // it is not served
		is.Equal(len(events), 2)      // the first failure since
		cancel()
		<-ended
	})
}
