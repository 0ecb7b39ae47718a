package keeper

import (
	"context"
	"errors"
	"fmt"
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

func (*memory) List(context.Context, chestnutcleat.ObjectKind, chestnutcleat.Freshness) ([]chestnutcleat.Stored, chestnutcleat.Version, error) {
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
	// copies is the number of copies that the set should have.
	copies int
	list   []*storage
	client *ledger.Client
}

// play runs a test with a fleet that has had the time to choose its copies, in virtual time.
func play(t *testing.T, count, copies int, seed uint64, test func(ctx context.Context, t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, count, copies, seed)
		time.Sleep(2 * time.Second)
		test(ctx, t, f)
		// All goroutines of the bubble must end.
		f.end()
		cancel()
		synctest.Wait()
	})
}

func newFleet(ctx context.Context, t *testing.T, count, copies int, seed uint64) *fleet {
	f := &fleet{t: t, ctx: ctx, network: vm.NewNetwork(seed), objects: &memory{}, copies: copies}
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
		VM: s.id, Store: store, Objects: f.objects, Observer: silent{}, Kind: setKind, Name: setName, Count: f.copies,
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
