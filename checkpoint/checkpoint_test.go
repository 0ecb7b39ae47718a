package checkpoint

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/rate"
	"chestnutcleat.example/chestnutcleat/vm"
)

type ignoreEvents struct{}

func (ignoreEvents) Emit(chestnutcleat.EventID, ...any) {}

const (
	window = 5 * time.Second
	// limited is a customer with 20 requests per second and a burst of 20, so 120 within the window.
	limited  = chestnutcleat.CustomerID("c")
	allowed  = 120
	maxExtra = 12 + 20 // the overage and the tolerance of the deployments
)

// entryVM is an entry VM that reports to storage VMs.
type entryVM struct {
	limiter *rate.Limiter
	stop    context.CancelFunc
}

func startEntry(t *testing.T, n *vm.Network, stores ...chestnutcleat.Address) *entryVM {
	ctx, cancel := context.WithCancel(t.Context())
	l := rate.NewLimiter("e", window)
	l.Overage = 0.1
	l.RequestTokens = func(chestnutcleat.VMID, rate.Tokens) {}
	l.SetCustomers([]config.Customer{{ID: limited, Rate: 20, Burst: 20}})
	l.SetVMs([]chestnutcleat.VMID{"e"})
	c := &Client{
		VM: "e", Peers: n.From("e"), Limiter: l, Observer: ignoreEvents{}, Stores: func() []chestnutcleat.Address { return stores },
		VMs: func() int { return 1 },
	}
	go func() { _ = c.Run(ctx) }()
	return &entryVM{limiter: l, stop: cancel}
}

func startStore(n *vm.Network, a chestnutcleat.Address, folder string) {
	mux := vm.NewMux()
	(&Store{Folder: folder}).Register(mux)
	n.Attach(a, mux)
}

// admit sends requests of the customer for a while and returns the number that was admitted.
func (e *entryVM) admit(perSecond int, d time.Duration) int {
	n := 0
	for range int(d.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if e.limiter.Admit(context.Background(), rate.Request{Customer: limited}).Verdict == rate.Admitted {
			n++
		}
	}
	return n
}

// A customer that used its limit in a burst must not get it again within the window because all processes, of storage VMs too,
// were killed and started again, also while one storage VM stays away. Without the reports it gets nearly as much again.
func TestUseOutlivesAllProcesses(t *testing.T) {
	for name, tt := range map[string]struct {
		lost    []chestnutcleat.Address
		reports bool
	}{
		"all back":           {nil, true},
		"a storage VM lost":  {[]chestnutcleat.Address{"s1"}, true},
		"without any report": {[]chestnutcleat.Address{"s1", "s2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := vm.NewNetwork(1)
				n.Delay = time.Millisecond
				folders := map[chestnutcleat.Address]string{"s1": t.TempDir(), "s2": t.TempDir()}
				for a, folder := range folders {
					startStore(n, a, folder)
				}
				e := startEntry(t, n, "s1", "s2")
				time.Sleep(2 * window) // the share opens
				burst := e.admit(200, time.Second)
				is.Equal(burst, allowed)
				time.Sleep(2 * minInterval) // a burst in the last interval would not be known
				e.stop()
				for a, folder := range folders {
					n.Detach(a)
					startStore(n, a, folder)
				}
				for _, a := range tt.lost {
					n.Detach(a)
				}
				time.Sleep(300 * time.Millisecond)
				e = startEntry(t, n, "s1", "s2")
				within := window - 1500*time.Millisecond // all of it within a window with the burst
				again := e.admit(100, within)
				t.Logf("%d admitted in the burst, %d after it", burst, again)
				is.Equal(burst+again <= allowed+maxExtra, tt.reports)
				is.True(e.admit(100, window) >= allowed/2) // and it is served again later
				e.stop()
				synctest.Wait()
			})
		})
	}
}

// A customer below its limit must not be refused because its use was restored: a VM that is restarted has as many tokens as one that
// knows nothing. Counted on top of a share that opens from nothing, the use left a restarted VM without tokens for seconds.
func TestRestoredUseRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := vm.NewNetwork(1)
		n.Delay = time.Millisecond
		startStore(n, "s", t.TempDir())
		e := startEntry(t, n, "s")
		time.Sleep(2 * window)
		const perSecond = 12 // half of what a window allows
		is.Equal(e.admit(perSecond, 2*window), 2*perSecond*int(window.Seconds()))
		e.stop()
		time.Sleep(300 * time.Millisecond)
		e = startEntry(t, n, "s")
		admitted := e.admit(perSecond, window)
		t.Logf("%d of %d admitted after the start", admitted, perSecond*int(window.Seconds()))
		is.True(admitted >= perSecond*int(window.Seconds())*95/100)
		e.stop()
		synctest.Wait()
	})
}

// Reports must be kept by VM, newer ones first, outlast the process, and never leave the folder.
func TestStore(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	start := time.Now()
	report := func(id chestnutcleat.VMID, after time.Duration, tokens float64) Report {
		return Report{VM: id, At: start.Add(after), Usage: rate.Usage{limited: {{Age: time.Second, Tokens: tokens}}}}
	}
	s := &Store{Folder: filepath.Join(folder, "usage")}
	for _, r := range []Report{report("a", 0, 1), report("a", time.Second, 2), report("a", 0, 3), report("b", 0, 4)} {
		_, err := s.save(t.Context(), r)
		is.NoErr(err)
	}
	for _, id := range []chestnutcleat.VMID{"", "..", "../a", "a/b", ".a", "a\x00"} {
		_, err := s.save(t.Context(), report(id, 0, 1))
		is.True(err != nil)
		_, err = s.load(t.Context(), loadRequest{VM: id})
		is.True(err != nil)
	}
	for _, s := range []*Store{s, {Folder: s.Folder}} {
		for id, tokens := range map[chestnutcleat.VMID]float64{"a": 2, "b": 4} {
			r, err := s.load(t.Context(), loadRequest{VM: id})
			is.NoErr(err)
			is.Equal(r.Usage[limited][0].Tokens, tokens)
		}
		r, err := s.load(t.Context(), loadRequest{VM: "unknown"})
		is.NoErr(err)
		is.Equal(r.VM, chestnutcleat.VMID(""))
	}
	is.NoErr(os.WriteFile(filepath.Join(s.Folder, "torn"), []byte{0xa3}, 0o600))
	_, err := s.load(t.Context(), loadRequest{VM: "torn"})
	is.True(err != nil)
}

// While a customer uses little, nothing must be sent.
func TestNothingToReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := vm.NewNetwork(1)
		var saved atomic.Int64
		mux := vm.NewMux()
		vm.Handle(mux, methodLoad, func(context.Context, loadRequest) (Report, error) { return Report{}, nil })
		vm.Handle(mux, methodSave, func(context.Context, Report) (saveReply, error) { saved.Add(1); return saveReply{}, nil })
		n.Attach("s", mux)
		e := startEntry(t, n, "s")
		time.Sleep(2 * window)
		e.admit(2, 2*window)
		is.Equal(saved.Load(), int64(0))
		e.stop()
		synctest.Wait()
	})
}
