package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	setKind = chestnutcleat.ObjectKind("fleet")
	setName = "copies"
	// catchUp is how long a VM that came back counts as lost.
	catchUp = 8 * time.Second
	pollGap = 50 * time.Millisecond
	budget  = 1000
)

// memory is a platform that keeps one object.
type memory struct {
	mu     sync.Mutex
	object chestnutcleat.Stored
	away   bool
	// lost answers a write that was done with an error.
	lost bool
}

var errAway = errors.New("platform is away")

func (m *memory) get() (chestnutcleat.Stored, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.object, !m.away && m.object.Version > 0
}

func (m *memory) Write(_ context.Context, _ chestnutcleat.ObjectKind, o chestnutcleat.Stored) (chestnutcleat.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return 0, errAway
	}
	if o.Version != m.object.Version {
		return 0, chestnutcleat.ErrConflict
	}
	o.Version++
	m.object = o
	if m.lost {
		return 0, errAway
	}
	return o.Version, nil
}

func (*memory) List(context.Context, chestnutcleat.ObjectKind) ([]chestnutcleat.Stored, chestnutcleat.Version, error) {
	return nil, 0, errAway
}

func (*memory) Watch(context.Context, chestnutcleat.ObjectKind, chestnutcleat.Version, time.Duration) ([]chestnutcleat.Stored, chestnutcleat.Version, error) {
	return nil, 0, errAway
}

func (*memory) SetStatus(context.Context, chestnutcleat.ObjectKind, string, []byte) error {
	return errAway
}

func (*memory) Remove(context.Context, chestnutcleat.ObjectKind, string, chestnutcleat.Version) error {
	return errAway
}

type silent struct{}

func (silent) Emit(chestnutcleat.EventID, ...any) {}

// storage is a storage VM.
type storage struct {
	id       chestnutcleat.VMID
	address  chestnutcleat.Address
	folder   string
	disk     chestnutcleat.DiskID
	running  bool
	cut      bool
	gone     bool
	retiring bool
	keeper   *Keeper
	stop     func()
}

// fleet is a set of storage VMs and one entry VM.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	mu      sync.Mutex
	network *vm.Network
	objects *memory
	list    []*storage
	client  *ledger.Client
}

func newFleet(ctx context.Context, t *testing.T, count int, seed uint64) *fleet {
	f := &fleet{t: t, ctx: ctx, network: vm.NewNetwork(seed), objects: &memory{}}
	f.network.Delay = time.Millisecond
	for range count {
		f.add()
	}
	f.client = &ledger.Client{Peers: f.network.From("entry"), Observer: silent{}}
	go f.client.Run(ctx)
	go f.poll(func(o chestnutcleat.Stored) {
		var set chestnutcleat.Copies
		if decode(o, &set) == nil {
			f.client.SetCopies(set)
		}
	})
	return f
}

// poll passes the set's object on until the fleet ends.
func (f *fleet) poll(pass func(chestnutcleat.Stored)) { poll(f.ctx, f.objects, pass) }

func poll(ctx context.Context, m *memory, pass func(chestnutcleat.Stored)) {
	for chestnutcleat.Sleep(ctx, pollGap) == nil {
		if o, ok := m.get(); ok {
			pass(o)
		}
	}
}

func (f *fleet) add() *storage {
	n := len(f.list)
	s := &storage{id: chestnutcleat.VMID(fmt.Sprintf("s%02d", n)), address: chestnutcleat.Address(fmt.Sprintf("s%02d:1", n)), folder: f.t.TempDir()}
	f.mu.Lock()
	f.list = append(f.list, s)
	f.mu.Unlock()
	f.start(s)
	return s
}

func (f *fleet) start(s *storage) {
	store, err := ledger.Open(s.folder)
	if err != nil {
		f.t.Fatalf("open %s: %v", s.id, err)
	}
	store.Peers, store.Observer = f.network.From(s.address), silent{}
	mux := vm.NewMux()
	store.Register(mux)
	k := &Keeper{
		VM: s.id, Store: store, Objects: f.objects, Observer: silent{}, Kind: setKind, Name: setName, Count: 3,
		Candidates: f.candidates, Rank: func() int { return f.rank(s) },
	}
	ctx, cancel := context.WithCancel(f.ctx)
	var g sync.WaitGroup
	g.Go(func() { _ = store.Run(ctx) })
	g.Go(func() { _ = k.Run(ctx) })
	g.Go(func() {
		poll(ctx, f.objects, func(o chestnutcleat.Stored) { _ = k.Observe(ctx, o) })
	})
	f.network.Attach(s.address, mux)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.disk, s.running, s.keeper = store.Disk(), true, k
	s.stop = func() { f.network.Detach(s.address); cancel(); g.Wait() }
}

func (f *fleet) halt(s *storage) {
	f.mu.Lock()
	running, stop := s.running, s.stop
	s.running = false
	f.mu.Unlock()
	if running {
		stop()
	}
}

func (f *fleet) wipe(s *storage) {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, e := range entries {
		if err := os.Remove(filepath.Join(s.folder, e.Name())); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) setCut(s *storage, cut bool) {
	f.mu.Lock()
	s.cut = cut
	all := slices.Clone(f.list)
	f.mu.Unlock()
	change := f.network.Join
	if cut {
		change = f.network.Cut
	}
	for _, o := range all {
		change(s.address, o.address)
		change(o.address, s.address)
	}
	change("entry", s.address)
	change(s.address, "entry")
}

func (f *fleet) candidates() []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Candidate
	for _, s := range f.list {
		if s.disk == "" || s.gone {
			continue
		}
		list = append(list, Candidate{
			Copy:  chestnutcleat.Copy{Disk: s.disk, VM: s.id, Address: s.address, Domain: chestnutcleat.FailureDomain(s.id)},
			Alive: s.running && !s.cut, Retiring: s.retiring,
		})
	}
	return list
}

func (f *fleet) rank(self *storage) int {
	n := 0
	for _, c := range f.candidates() {
		if c.Alive && c.VM < self.id {
			n++
		}
	}
	return n
}

// members returns the VMs of the present set.
func (f *fleet) members() []chestnutcleat.VMID {
	set := f.client.Copies()
	return names(set.Disks)
}

// end stops all VMs, so that the bubble's goroutines end.
func (f *fleet) end() {
	for _, s := range f.list {
		f.halt(s)
	}
}

func (f *fleet) write(id, previous string) error {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	_, err := f.client.Write(ctx, ledger.Record{
		Kind: ledger.Keep, Customer: "c", Attempt: chestnutcleat.RequestID(id), Previous: chestnutcleat.RequestID(previous),
		Input: []byte("in " + id), Output: []byte("out " + id), Until: time.Now().Add(time.Hour).Unix(),
	})
	return err
}

// fetch reads a turn's chain, over more than one try, as callers do.
func (f *fleet) fetch(id string) ([]ledger.Turn, error) {
	var chain []ledger.Turn
	var err error
	for range 20 {
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		chain, err = f.client.Fetch(ctx, "c", chestnutcleat.RequestID(id))
		cancel()
		if err == nil || errors.Is(err, chestnutcleat.ErrNotFound) {
			return chain, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, err
}

// fault does one thing to a storage VM; it returns once the fleet bears the next one.
type fault struct {
	name string
	run  func(f *fleet, s *storage)
}

var faults = []fault{
	{"killed", func(f *fleet, s *storage) { f.halt(s); time.Sleep(2 * time.Second); f.start(s) }},
	{"wiped", func(f *fleet, s *storage) { f.halt(s); f.wipe(s); time.Sleep(time.Second); f.start(s) }},
	{"cut", func(f *fleet, s *storage) { f.setCut(s, true); time.Sleep(5 * time.Second); f.setCut(s, false) }},
	{"replaced", func(f *fleet, s *storage) {
		f.halt(s)
		time.Sleep(2 * time.Second)
		f.add()
	}},
	{"replaced and no longer listed", func(f *fleet, s *storage) {
		f.halt(s)
		f.mu.Lock()
		s.gone = true
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		f.add()
	}},
	{"retired", func(f *fleet, s *storage) {
		f.add()
		time.Sleep(catchUp)
		f.mu.Lock()
		s.retiring = true
		f.mu.Unlock()
		time.Sleep(catchUp)
		f.halt(s)
	}},
	{"all killed", func(f *fleet, _ *storage) {
		for _, s := range f.list {
			if s.running {
				f.halt(s)
				defer f.start(s)
			}
		}
		time.Sleep(time.Second)
	}},
	{"platform away", func(f *fleet, s *storage) {
		f.setAway(true)
		f.halt(s)
		time.Sleep(5 * time.Second)
		f.start(s)
		time.Sleep(2 * time.Second)
		f.setAway(false)
	}},
	{"answers of the platform lost", func(f *fleet, s *storage) {
		f.objects.mu.Lock()
		f.objects.lost = true
		f.objects.mu.Unlock()
		f.halt(s)
		f.wipe(s)
		f.start(s)
		time.Sleep(4 * time.Second)
		f.objects.mu.Lock()
		f.objects.lost = false
		f.objects.mu.Unlock()
	}},
}

func (f *fleet) setAway(away bool) {
	f.objects.mu.Lock()
	defer f.objects.mu.Unlock()
	f.objects.away = away
}

// A turn that counted as kept must be found after any series of losses that the fleet bears, also when the whole set of
// disks has been replaced; a turn that was never written must be told from one that can't be read. Without the joint
// change of the set, a turn acknowledged by the disks that leave is lost.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { series(t, seed) })
		})
	}
}

func series(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	r := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(ctx, t, 3, seed)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var written []string
	refused := 0
	var writer sync.WaitGroup
	stop := make(chan struct{})
	writer.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			id := fmt.Sprintf("t%05d", i)
			err := f.write(id, "")
			mu.Lock()
			if err == nil {
				written = append(written, id)
			} else {
				refused++
			}
			mu.Unlock()
		}
	})
	var log []string
	for range 8 {
		v := faults[r.IntN(len(faults))]
		running := slices.DeleteFunc(slices.Clone(f.list), func(s *storage) bool {
			return !s.running || !slices.Contains(f.members(), s.id)
		})
		s := running[r.IntN(len(running))]
		log = append(log, fmt.Sprintf("%s %s", v.name, s.id))
		v.run(f, s)
		time.Sleep(catchUp)
		if set := f.client.Copies(); len(set.Next) > 0 {
			t.Errorf("set still changes %v after %v", catchUp, log)
		}
	}
	close(stop)
	writer.Wait()
	for _, id := range written {
		if _, err := f.fetch(id); err != nil {
			t.Errorf("turn %s of %d: %v after %v", id, len(written), err, log)
			break
		}
	}
	if _, err := f.fetch("never"); !errors.Is(err, chestnutcleat.ErrNotFound) {
		t.Errorf("unknown turn: %v after %v", err, log)
	}
	if refused > len(written)/10 {
		t.Errorf("%d writes refused, %d done after %v", refused, len(written), log)
	}
	f.end()
	cancel()
	synctest.Wait()
}

// After a storage VM is emptied without another to take its place, two copies are left. The loss of one's disk must not stop
// the set from growing back: two copies are both written to, so one of them has all records.
func TestTwoCopies(t *testing.T) {
	for _, v := range []string{"wiped", "killed for long"} {
		t.Run(v, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, t, 3, 1)
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				f.list[0].retiring = true
				f.mu.Unlock()
				time.Sleep(catchUp)
				f.halt(f.list[0])
				write := func(id string) {
					if err := f.write(id, ""); err != nil {
						t.Errorf("write %s: %v", id, err)
					}
				}
				write("before")
				f.halt(f.list[1])
				if v == "wiped" {
					f.wipe(f.list[1])
				} else {
					time.Sleep(catchUp)
					write("alone")
				}
				f.start(f.list[1])
				time.Sleep(catchUp)
				write("after")
				f.halt(f.list[2])
				f.wipe(f.list[2])
				f.start(f.list[2])
				time.Sleep(catchUp)
				for _, id := range []string{"before", "after"} {
					if _, err := f.fetch(id); err != nil {
						t.Errorf("turn %s: %v", id, err)
					}
				}
				if n := len(f.members()); n != 2 {
					t.Errorf("%d copies", n)
				}
				f.end()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// While too few copies answer, a record must be refused at once and not after the time that its request has; once they are
// back, writes go on.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, 3, 1)
		time.Sleep(2 * time.Second)
		f.setCut(f.list[0], true)
		f.setCut(f.list[1], true)
		_ = f.write("first", "") // learns of the loss
		start := time.Now()
		if err := f.write("second", ""); !errors.Is(err, ledger.ErrUnsure) || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		// What nobody waits for is written later: a settlement that is dropped leaves its reservation in place for good.
		r := ledger.Record{Kind: ledger.Settle, Customer: "c", Program: "p", Attempt: "a", Tokens: 5, Until: time.Now().Add(time.Hour).Unix()}
		f.client.Post(r)
		f.setCut(f.list[0], false)
		time.Sleep(2 * time.Second)
		if err := f.write("third", ""); err != nil {
			t.Error(err)
		}
		r.Kind, r.Attempt = ledger.Reserve, "b"
		others, err := f.client.Write(ctx, r)
		if err != nil || len(others) != 1 || others[0].Tokens != 5 {
			t.Errorf("attempts %v, error %v", others, err)
		}
		f.end()
		cancel()
		synctest.Wait()
	})
}

// Reservations at the same moment must not pass the budget together, and one after the other must use it up.
func TestBudgetUnderLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, 3, 7)
		time.Sleep(2 * time.Second)
		granted := make(chan chestnutcleat.Tokens, 1000)
		var g sync.WaitGroup
		for worker := range 4 {
			g.Go(func() {
				for i := range 40 {
					id := chestnutcleat.RequestID(fmt.Sprintf("%d-%d", worker, i))
					r := ledger.Record{Kind: ledger.Reserve, Customer: "c", Program: "p", Attempt: id, Tokens: 30, Until: time.Now().Add(time.Hour).Unix()}
					wait, done := context.WithTimeout(ctx, time.Second)
					others, err := f.client.Write(wait, r)
					done()
					if err == nil && ledger.Fits(budget, others, 30) {
						granted <- 30
					} else {
						r.Kind, r.Tokens = ledger.Settle, 0
						f.client.Post(r)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, v := range faults[:3] {
			v.run(f, f.list[0])
			time.Sleep(catchUp)
		}
		g.Wait()
		close(granted)
		total := chestnutcleat.Tokens(0)
		for n := range granted {
			total += n
		}
		if total > budget || total < budget-60 {
			t.Errorf("granted %d of %d", total, budget)
		}
		f.end()
		cancel()
		synctest.Wait()
	})
}
