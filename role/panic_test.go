package role

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

// panickingPeers panics over the next answer.
type panickingPeers struct {
	chestnutcleat.Peers
	panics atomic.Bool
}

func (p *panickingPeers) Call(ctx context.Context, to chestnutcleat.Address, m chestnutcleat.Method, request, answer any) error {
	if p.panics.Swap(false) {
		panic("answer")
	}
	return p.Peers.Call(ctx, to, m, request, answer)
}

// A panic over the objects that another VM sends must cost one fetch: it ended the process.
func TestPanicInFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := vm.NewNetwork(1)
		source, v := newFetchingVM(n, "source"), newFetchingVM(n, "v")
		source.mirrors[configKind].Merge(configOf(5, 1))
		peers := &panickingPeers{Peers: v.peers}
		peers.panics.Store(true)
		v.peers = peers
		versions := map[chestnutcleat.ObjectKind]chestnutcleat.Version{configKind: 5}
		v.catchUp(t.Context(), "source", versions)
		time.Sleep(time.Second)
		is.Equal(v.version(), chestnutcleat.Version(0))
		v.catchUp(t.Context(), "source", versions)
		time.Sleep(time.Second)
		is.Equal(v.version(), chestnutcleat.Version(5))
	})
}

// A panic in a task that runs all the time must cost one run and be reported with its stack, but not at each run: it ended the process.
func TestPanicInPeriodicTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events eventList
		b := &base{Observer: &events}
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		runs := 0
		is.NoErr(b.repeat(ctx, 100*time.Millisecond, "task", func() {
			runs++
			panic("task")
		}))
		is.Equal(runs, 105)
		reports := events.of(event.Panicked)
		is.True(len(reports) >= 10 && len(reports) <= 11)
		is.True(strings.Contains(reports[0], "panic_test.go"))
	})
}

// A panic over the reports of other VMs must not end the process. The missing mirror stands for a fault that a report brings out.
func TestPanicOverReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events eventList
		e := newOddEntry(&events)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(e.repeat(ctx, fleetCheckInterval, "reports of other VMs", e.trackFleet))
		is.Equal(len(events.of(event.Panicked)), 1)
	})
}
