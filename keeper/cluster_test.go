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
	// recoveryTime is how long a VM that came back counts as lost.
	recoveryTime = 8 * time.Second
	pollInterval = 50 * time.Millisecond
	budget       = 1000
)

// memoryPlatform is an in-memory platform that stores one object.
type memoryPlatform struct {
	mu          sync.Mutex
	object      chestnutcleat.StoredObject
	unavailable bool
	// loseReplies makes writes return an error although they were applied.
	loseReplies bool
}

var errUnavailable = errors.New("platform is unavailable")

func (m *memoryPlatform) get() (chestnutcleat.StoredObject, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.object, !m.unavailable && m.object.Version > 0
}

func (m *memoryPlatform) Write(_ context.Context, _ chestnutcleat.ObjectKind, o chestnutcleat.StoredObject) (chestnutcleat.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, errUnavailable
	}
	if o.Version != m.object.Version {
		return 0, chestnutcleat.ErrConflict
	}
	o.Version++
	m.object = o
	if m.loseReplies {
		return 0, errUnavailable
	}
	return o.Version, nil
}

func (*memoryPlatform) List(context.Context, chestnutcleat.ObjectKind, chestnutcleat.Freshness) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	return nil, 0, errUnavailable
}

func (*memoryPlatform) Watch(context.Context, chestnutcleat.ObjectKind, chestnutcleat.Version, time.Duration) ([]chestnutcleat.StoredObject, chestnutcleat.Version, error) {
	return nil, 0, errUnavailable
}

func (*memoryPlatform) SetStatus(context.Context, chestnutcleat.ObjectKind, string, []byte) error {
	return errUnavailable
}

func (*memoryPlatform) Remove(context.Context, chestnutcleat.ObjectKind, string, chestnutcleat.Version) error {
	return errUnavailable
}

type noopObserver struct{}

func (noopObserver) Emit(chestnutcleat.EventID, ...any) {}

// storageVM is a simulated storage VM.
type storageVM struct {
	id          chestnutcleat.VMID
	address     chestnutcleat.Address
	folder      string
	disk        chestnutcleat.DiskID
	running     bool
	partitioned bool
	unlisted    bool
	retiring    bool
	reconciler  *Reconciler
	stop        func()
}

// cluster is a set of storage VMs and one entry VM.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	mu      sync.Mutex
	network *vm.Network
	objects *memoryPlatform
	// replicas is the desired number of replicas.
	replicas int
	vms      []*storageVM
	client   *ledger.Client
}

// runCluster runs a test in virtual time with a cluster that had time to create its replica set.
func runCluster(t *testing.T, count, replicas int, seed uint64, test func(ctx context.Context, t *testing.T, f *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newCluster(ctx, t, count, replicas, seed)
		time.Sleep(2 * time.Second)
		test(ctx, t, f)
		// All goroutines of the synctest bubble must end.
		f.stopAll()
		cancel()
		synctest.Wait()
	})
}

func newCluster(ctx context.Context, t *testing.T, count, replicas int, seed uint64) *cluster {
	f := &cluster{t: t, ctx: ctx, network: vm.NewNetwork(seed), objects: &memoryPlatform{}, replicas: replicas}
	f.network.Delay = time.Millisecond
	for range count {
		f.addVM()
	}
	f.client = &ledger.Client{Peers: f.network.From("entry"), Observer: noopObserver{}}
	go f.client.Run(ctx)
	go f.poll(func(o chestnutcleat.StoredObject) {
		var set chestnutcleat.ReplicaSet
		if decode(o, &set) == nil {
			f.client.SetReplicaSet(set)
		}
	})
	return f
}

// poll passes the set's object on until the cluster ends.
func (f *cluster) poll(pass func(chestnutcleat.StoredObject)) { poll(f.ctx, f.objects, pass) }

func poll(ctx context.Context, m *memoryPlatform, pass func(chestnutcleat.StoredObject)) {
	for chestnutcleat.Sleep(ctx, pollInterval) == nil {
		if o, ok := m.get(); ok {
			pass(o)
		}
	}
}

func (f *cluster) addVM() *storageVM {
	n := len(f.vms)
	s := &storageVM{id: chestnutcleat.VMID(fmt.Sprintf("s%02d", n)), address: chestnutcleat.Address(fmt.Sprintf("s%02d:1", n)), folder: f.t.TempDir()}
	f.mu.Lock()
	f.vms = append(f.vms, s)
	f.mu.Unlock()
	f.startVM(s)
	return s
}

func (f *cluster) startVM(s *storageVM) {
	store, err := ledger.Open(s.folder)
	if err != nil {
		f.t.Fatalf("open %s: %v", s.id, err)
	}
	store.Peers, store.Observer = f.network.From(s.address), noopObserver{}
	mux := vm.NewMux()
	store.Register(mux)
	r := &Reconciler{
		VM: s.id, Store: store, Objects: f.objects, Observer: noopObserver{}, Kind: setKind, Name: setName, ReplicaCount: f.replicas,
		Candidates: f.candidates, Rank: func() int { return f.rank(s) },
	}
	ctx, cancel := context.WithCancel(f.ctx)
	var g sync.WaitGroup
	g.Go(func() { _ = store.Run(ctx) })
	g.Go(func() { _ = r.Run(ctx) })
	g.Go(func() {
		poll(ctx, f.objects, func(o chestnutcleat.StoredObject) { _ = r.Observe(ctx, o) })
	})
	f.network.Attach(s.address, mux)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.disk, s.running, s.reconciler = store.Disk(), true, r
	s.stop = func() { f.network.Detach(s.address); cancel(); g.Wait() }
}

func (f *cluster) stopVM(s *storageVM) {
	f.mu.Lock()
	running, stop := s.running, s.stop
	s.running = false
	f.mu.Unlock()
	if running {
		stop()
	}
}

func (f *cluster) wipeDisk(s *storageVM) {
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

func (f *cluster) setPartitioned(s *storageVM, cut bool) {
	f.mu.Lock()
	s.partitioned = cut
	all := slices.Clone(f.vms)
	f.mu.Unlock()
	setLink := f.network.Unblock
	if cut {
		setLink = f.network.Block
	}
	for _, o := range all {
		setLink(s.address, o.address)
		setLink(o.address, s.address)
	}
	setLink("entry", s.address)
	setLink(s.address, "entry")
}

func (f *cluster) candidates() []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Candidate
	for _, s := range f.vms {
		if s.disk == "" || s.unlisted {
			continue
		}
		list = append(list, Candidate{
			Replica: chestnutcleat.Replica{Disk: s.disk, VM: s.id, Address: s.address, Domain: chestnutcleat.FailureDomain(s.id)},
			Alive:   s.running && !s.partitioned, Retiring: s.retiring,
		})
	}
	return list
}

func (f *cluster) rank(self *storageVM) int {
	n := 0
	for _, c := range f.candidates() {
		if c.Alive && c.VM < self.id {
			n++
		}
	}
	return n
}

// memberVMs returns the VMs of the current replica set.
func (f *cluster) memberVMs() []chestnutcleat.VMID {
	set := f.client.ReplicaSet()
	return vmIDs(set.Disks)
}

// stopAll stops all VMs, so that the goroutines of the synctest bubble end.
func (f *cluster) stopAll() {
	for _, s := range f.vms {
		f.stopVM(s)
	}
}

func (f *cluster) write(id, previous string) error {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	_, err := f.client.TryWrite(ctx, ledger.Record{
		Kind: ledger.StoreTurn, Customer: "c", Attempt: chestnutcleat.RequestID(id), Previous: chestnutcleat.RequestID(previous),
		Input: []byte("in " + id), Output: []byte("out " + id), ExpiresAt: time.Now().Add(time.Hour).Unix(),
	})
	return err
}

// fetch reads a turn's chain and retries on errors, as callers do.
func (f *cluster) fetch(id string) ([]ledger.Turn, error) {
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
