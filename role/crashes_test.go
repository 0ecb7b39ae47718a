package role_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// restart stops an entry VM gracefully and starts it again.
func (f *fleet) restart(e *entry) {
	f.t.Helper()
	close(e.stop)
	if err := <-e.ended; err != nil {
		f.t.Fatalf("entry VM %s: %v", e.settings.VM, err)
	}
	e.stop = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	f.t.Cleanup(func() { cancel(); running.Wait() })
	running.Go(func() { e.run(ctx) })
	f.eventually("the restarted VM is ready", e.ready)
}

// poisonFleet is a fleet whose instances all crash.
type poisonFleet struct {
	*fleet
	crashes atomic.Int64
	sent    int
}

func newPoisonFleet(t *testing.T, entries int) *poisonFleet {
	f := &poisonFleet{}
	f.fleet = newFleet(t, entries, func(http.ResponseWriter, *http.Request) {
		f.crashes.Add(1)
		panic(http.ErrAbortHandler)
	})
	return f
}

// send sends a request that crashes instances, and returns the status.
func (f *poisonFleet) send(e *entry) int {
	f.t.Helper()
	f.sent++
	req, err := newRequest(f.t.Context(), string(e.settings.Listen.Callers), fmt.Sprint("p", f.sent), "poison")
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// block sends the request until it is blocked, and returns the number of crashes.
func (f *poisonFleet) block(e *entry) int64 {
	f.t.Helper()
	f.eventually("the request is blocked", func() bool { return f.send(e) == http.StatusServiceUnavailable && f.crashes.Load() >= 3 })
	return f.crashes.Load()
}

// A VM that starts must refuse the requests that the others block because they crash instances: after a release that stopped and started
// all VMs in turn, such a request reached three more instances through each of them (review/5).
func TestRestartedVMsBlockCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := newPoisonFleet(t, 2)
	f.block(f.entries[0])
	before := f.block(f.entries[1])
	for _, e := range f.entries {
		f.restart(e)
		is.Equal(f.send(e), http.StatusServiceUnavailable)
	}
	is.Equal(f.crashes.Load(), before)
}

// The block must outlast the processes of all entry VMs: storage VMs keep it. Each time that all of them ended, the request reached three
// more instances.
func TestBlockOutlastsAllEntryVMs(t *testing.T) {
	is := is.New(t)
	f := newPoisonFleet(t, 1)
	e := f.entries[0]
	f.eventually("the storage VM keeps records", func() bool {
		_, ok := f.platform.Get("fleet", "copies")
		return ok
	})
	before := f.block(e)
	f.restart(e)
	f.eventually("the request is blocked again", func() bool { return f.send(e) == http.StatusServiceUnavailable })
	is.Equal(f.crashes.Load(), before)
}
