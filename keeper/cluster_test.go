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
	// recoveryTime is how long tests wait for the replica set to recover from a fault.
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
func runCluster(t *testing.T, count, replicas int, seed uint64, test func(ctx context.Context, t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, t, count, replicas, seed)
		time.Sleep(2 * time.Second)
		test(ctx, t, c)
		// All goroutines of the synctest bubble must end.
		c.stopAll()
		cancel()
		synctest.Wait()
	})
}

func newCluster(ctx context.Context, t *testing.T, count, replicas int, seed uint64) *cluster {
	c := &cluster{t: t, ctx: ctx, network: vm.NewNetwork(seed), objects: &memoryPlatform{}, replicas: replicas}
	c.network.Delay = time.Millisecond
	for range count {
		c.addVM()
	}
	c.client = &ledger.Client{Peers: c.network.From("entry"), Observer: noopObserver{}}
	go c.client.Run(ctx)
	go c.poll(func(o chestnutcleat.StoredObject) {
		if set, err := DecodeReplicaSet(o); err == nil {
			c.client.SetReplicaSet(set)
		}
	})
	return c
}

// poll passes the set's object on until the cluster ends.
func (c *cluster) poll(pass func(chestnutcleat.StoredObject)) { poll(c.ctx, c.objects, pass) }

func poll(ctx context.Context, m *memoryPlatform, pass func(chestnutcleat.StoredObject)) {
	for chestnutcleat.Sleep(ctx, pollInterval) == nil {
		if o, ok := m.get(); ok {
			pass(o)
		}
	}
}

func (c *cluster) addVM() *storageVM {
	n := len(c.vms)
	s := &storageVM{id: chestnutcleat.VMID(fmt.Sprintf("s%02d", n)), address: chestnutcleat.Address(fmt.Sprintf("s%02d:1", n)), folder: c.t.TempDir()}
	c.mu.Lock()
	c.vms = append(c.vms, s)
	c.mu.Unlock()
	c.startVM(s)
	return s
}

func (c *cluster) startVM(s *storageVM) {
	store, err := ledger.Open(s.folder)
	if err != nil {
		c.t.Fatalf("open %s: %v", s.id, err)
	}
	store.Peers, store.Observer = c.network.From(s.address), noopObserver{}
	mux := vm.NewMux()
	store.Register(mux)
	r := &Reconciler{
		VM: s.id, Store: store, Objects: c.objects, Observer: noopObserver{}, Kind: setKind, Name: setName, ReplicaCount: c.replicas,
		Candidates: c.candidates, Rank: func() int { return c.rank(s) },
	}
	ctx, cancel := context.WithCancel(c.ctx)
	var g sync.WaitGroup
	g.Go(func() { _ = store.Run(ctx) })
	g.Go(func() { _ = r.Run(ctx) })
	g.Go(func() {
		poll(ctx, c.objects, func(o chestnutcleat.StoredObject) { _ = r.Observe(ctx, o) })
	})
	c.network.Attach(s.address, mux)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.disk, s.running, s.reconciler = store.Disk(), true, r
	s.stop = func() { c.network.Detach(s.address); cancel(); g.Wait() }
}

func (c *cluster) stopVM(s *storageVM) {
	c.mu.Lock()
	running, stop := s.running, s.stop
	s.running = false
	c.mu.Unlock()
	if running {
		stop()
	}
}

func (c *cluster) wipeDisk(s *storageVM) {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, e := range entries {
		if err := os.Remove(filepath.Join(s.folder, e.Name())); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *cluster) setPartitioned(s *storageVM, cut bool) {
	c.mu.Lock()
	s.partitioned = cut
	all := slices.Clone(c.vms)
	c.mu.Unlock()
	setLink := c.network.Unblock
	if cut {
		setLink = c.network.Block
	}
	for _, o := range all {
		setLink(s.address, o.address)
		setLink(o.address, s.address)
	}
	setLink("entry", s.address)
	setLink(s.address, "entry")
}

func (c *cluster) candidates() []Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Candidate
	for _, s := range c.vms {
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

func (c *cluster) rank(self *storageVM) int {
	n := 0
	for _, other := range c.candidates() {
		if other.Alive && other.VM < self.id {
			n++
		}
	}
	return n
}

// memberVMs returns the VMs of the current replica set.
func (c *cluster) memberVMs() []chestnutcleat.VMID {
	set := c.client.ReplicaSet()
	return vmIDs(set.Disks)
}

// stopAll stops all VMs, so that the goroutines of the synctest bubble end.
func (c *cluster) stopAll() {
	for _, s := range c.vms {
		c.stopVM(s)
	}
}

func (c *cluster) write(id, previous string) error {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	_, err := c.client.TryWrite(ctx, ledger.Record{
		Kind: ledger.StoreTurn, Customer: "c", Attempt: chestnutcleat.RequestID(id), Previous: chestnutcleat.RequestID(previous),
		Input: []byte("in " + id), Output: []byte("out " + id), ExpiresAt: time.Now().Add(time.Hour).Unix(),
	})
	return err
}

// writeLarge writes turns with inputs of the given size.
func (c *cluster) writeLarge(ctx context.Context, turns, size int) error {
	for i := range turns {
		if _, err := c.client.TryWrite(ctx, ledger.Record{
			Kind: ledger.StoreTurn, Customer: "c", Attempt: chestnutcleat.RequestID(fmt.Sprint(i)), Input: make([]byte, size), ExpiresAt: time.Now().Add(time.Hour).Unix(),
		}); err != nil {
			return err
		}
	}
	return nil
}

// fetch reads a turn's chain and retries on errors, as callers do.
func (c *cluster) fetch(id string) ([]ledger.Turn, error) {
	var chain []ledger.Turn
	var err error
	for range 20 {
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		chain, err = c.client.Fetch(ctx, "c", chestnutcleat.RequestID(id))
		cancel()
		if err == nil || errors.Is(err, chestnutcleat.ErrNotFound) {
			return chain, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, err
}
