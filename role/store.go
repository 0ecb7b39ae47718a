package role

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/checkpoint"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/keeper"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
	"chestnutcleat.example/chestnutcleat/platform"
)

const (
	// retireInterval is the time between checks for retirements.
	retireInterval = 300 * time.Millisecond
	// indexMemoryDivisor divides the process's memory to get the budget for the index of the records.
	indexMemoryDivisor = 3
	// checkpointFolder is the folder of entry VMs' reports within the data folder.
	checkpointFolder = "usage"
)

// Store runs a storage VM.
type Store struct {
	base
	// Stop ends the process; everything acknowledged is already on disk.
	Stop <-chan struct{}

	store      *ledger.Store
	reconciler *keeper.Reconciler
	ctx        context.Context

	mu       sync.Mutex
	disks    []peer.Member
	retiring []chestnutcleat.VMID
	reported map[chestnutcleat.VMID]platform.RetirementState
}

// Run serves until ctx is done or Stop is closed.
func (s *Store) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store, err := ledger.Open(s.Settings.DataFolder)
	if err != nil {
		return err
	}
	s.store = store
	s.init(store.Disk())
	store.Peers, store.Observer = s.client, s.Observer
	store.MemoryLimit, store.DiskLimit = int64(s.Settings.MemoryMB)<<20/indexMemoryDivisor, int64(s.Settings.DiskMB)<<20
	store.Register(s.mux)
	checkpoints := &checkpoint.Store{Folder: filepath.Join(s.Settings.DataFolder, checkpointFolder)}
	checkpoints.Register(s.mux)
	blocks := &blockStore{path: filepath.Join(s.Settings.DataFolder, blocksFile)}
	if err := blocks.read(); err != nil {
		s.Observer.Emit(event.RecordsUnreadable, "error", err)
	}
	blocks.register(s.mux)
	g, ctx := errgroup.WithContext(ctx)
	s.build(ctx)
	if err := s.listen(ctx); err != nil {
		return err
	}
	s.start(ctx, g)
	g.Go(func() error { return store.Run(ctx) })
	g.Go(func() error { return s.reconciler.Run(ctx) })
	g.Go(func() error {
		return s.repeat(ctx, retireInterval, "retirements", func() { s.reportRetirements(ctx) })
	})
	g.Go(func() error {
		defer cancel()
		select {
		case <-s.Stop:
			s.Observer.Emit(event.Stopping)
		case <-ctx.Done():
		}
		return nil
	})
	s.Observer.Emit(event.Started, "role", s.Settings.Role, "domain", s.Settings.Domain, "vms", s.self.Address, "disk", store.Disk(), "set", store.ReplicaSet().Version)
	err = g.Wait()
	s.client.Close()
	s.Observer.Emit(event.Stopped, "error", err)
	return err
}

func (s *Store) build(ctx context.Context) {
	s.ctx = ctx
	s.reported = map[chestnutcleat.VMID]platform.RetirementState{}
	s.fleet = &peer.Fleet{
		Self:      s.self,
		Describe:  func(m *peer.Summary) { m.Versions, m.PlatformUnreachable = s.versions(), s.platformUnreachable() },
		OnSummary: func(m peer.Summary) { s.fetcher.catchUp(ctx, m.VM, m.Versions) },
		OnDigest:  func(d peer.Digest) { s.fetcher.catchUp(ctx, d.From, d.Versions) },
	}
	s.reconciler = &keeper.Reconciler{
		VM: s.self.VM, Store: s.store, Objects: s.objects, Observer: s.Observer, Kind: fleetKind, Name: replicaSetName,
		// With 2f+1 replicas a write quorum remains after f are lost.
		ReplicaCount: 2*s.Settings.Tolerance + 1, Candidates: s.candidates, Rank: s.rank,
	}
	s.status = func() Status { return s.collectStatus(s.store.ReplicaSet()) }
	s.follow(fleetKind, false, s.fleetChanged)
	s.follow(platform.RetirementKind, false, s.retirementsChanged)
	s.registerGauges()
	s.registerRecordGauges()
}

// registerRecordGauges registers gauges of the records' usage and bounds.
func (s *Store) registerRecordGauges() {
	for name, value := range map[string]func() int64{
		"records_memory_bytes": func() int64 { return s.store.Usage().Memory },
		"records_memory_bound": func() int64 { return s.store.MemoryLimit },
		"records_disk_bytes":   func() int64 { return s.store.Usage().Disk },
		"records_disk_bound":   func() int64 { return s.store.DiskLimit },
		"records_live_bytes":   func() int64 { return s.store.Usage().Live },
	} {
		s.Metrics.NewGauge(name, func() float64 { return float64(value()) })
	}
}

// fleetChanged updates the list of VMs and the replica set. A replica set that can't be decoded leaves the one before in effect.
func (s *Store) fleetChanged(v mirror.Snapshot) []invalidObject {
	list, invalid := s.members(v)
	s.fleet.SetMembers(list)
	disks := slices.DeleteFunc(list, func(m peer.Member) bool { return m.Disk == "" })
	s.mu.Lock()
	s.disks = disks
	s.mu.Unlock()
	for _, o := range v.Objects {
		if o.Name != replicaSetName {
			continue
		}
		if _, err := keeper.DecodeReplicaSet(o); err != nil {
			invalid = append(invalid, invalidObject{o, err})
			continue
		}
		if err := s.reconciler.Observe(s.ctx, o); err != nil && s.ctx.Err() == nil {
			s.Observer.Emit(event.ReplicaSetChangeFailed, "object", o.Version, "error", err)
		}
	}
	return invalid
}

// candidates returns the announced disks and the state of their VMs.
func (s *Store) candidates() []keeper.Candidate {
	heard := map[chestnutcleat.VMID]bool{s.self.VM: true}
	for p := range s.fleet.All() {
		heard[p.VM] = !p.Silent()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]keeper.Candidate, 0, len(s.disks))
	for _, m := range s.disks {
		list = append(list, keeper.Candidate{
			Replica:  chestnutcleat.Replica{Disk: m.Disk, VM: m.VM, Address: m.Address, Domain: m.Domain},
			Alive:    heard[m.VM],
			Retiring: slices.Contains(s.retiring, m.VM),
		})
	}
	return list
}

// rank returns the number of storage VMs with a lower id that are heard.
func (s *Store) rank() int {
	n := 0
	for _, c := range s.candidates() {
		if c.Alive && c.VM < s.self.VM {
			n++
		}
	}
	return n
}

// retirementsChanged updates the list of storage VMs to be emptied. An order that can't be read begins no retirement and ends none.
func (s *Store) retirementsChanged(v mirror.Snapshot) []invalidObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.retiring
	s.retiring = nil
	for _, o := range v.Objects {
		id := chestnutcleat.VMID(o.Name)
		if o.Err() == nil || slices.Contains(before, id) {
			s.retiring = append(s.retiring, id)
		}
	}
	return nil
}

// reportRetirements reports the progress of this VM's retirement to the platform.
func (s *Store) reportRetirements(ctx context.Context) {
	s.mu.Lock()
	retiring := slices.Contains(s.retiring, s.self.VM)
	s.mu.Unlock()
	if retiring {
		s.reportRetirement(ctx, s.self.VM)
	}
}

func (s *Store) reportRetirement(ctx context.Context, id chestnutcleat.VMID) {
	state := platform.RetirementRunning
	set := s.reconciler.ReplicaSet()
	if set.Version > 0 && !slices.ContainsFunc(set.All(), func(c chestnutcleat.Replica) bool { return c.VM == id }) {
		state = platform.RetirementComplete
	}
	s.mu.Lock()
	alreadyReported := s.reported[id] == state
	s.mu.Unlock()
	if alreadyReported {
		return
	}
	if err := s.objects.SetStatus(ctx, platform.RetirementKind, string(id), state.Status()); err != nil {
		s.Observer.Emit(event.ReplicaSetChangeFailed, "retirement", id, "error", err)
		return
	}
	s.mu.Lock()
	s.reported[id] = state
	s.mu.Unlock()
	eventID := event.Retiring
	if state == platform.RetirementComplete {
		eventID = event.Retired
	}
	s.Observer.Emit(eventID, "vm", id, "set", set.Version)
}
