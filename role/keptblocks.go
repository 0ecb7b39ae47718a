package role

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/checkpoint"
	"chestnutcleat.example/chestnutcleat/entry"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	methodKeepBlocks = chestnutcleat.Method("entry/keep")
	// blocksFile is the file of the blocked requests within the data folder of a storage VM.
	blocksFile = "blocks"
	// keepInterval is the time between checks whether storage VMs lack blocks, and restoreInterval between attempts to read them after a
	// start.
	keepInterval    = time.Second
	restoreInterval = 50 * time.Millisecond
)

// savedBlocks are blocks in a file, with the time of day at which they were saved.
type savedBlocks struct {
	At     time.Time     `json:"at"`
	Blocks []entry.Block `json:"blocks"`
}

// keepReply acknowledges blocks.
type keepReply struct{}

// blockStore keeps the blocked requests at a storage VM, so that they outlast the processes of all entry VMs. The file is not synced: a loss of
// power may lose the last seconds.
type blockStore struct {
	path    string
	tracker entry.CrashTracker

	// mu serializes the writing of the file.
	mu sync.Mutex
}

// register registers the store's methods.
func (s *blockStore) register(m *vm.Mux) {
	handleBlocks(m, &s.tracker)
	vm.Handle(m, methodKeepBlocks, s.keep)
}

// keep merges the blocks of an entry VM.
func (s *blockStore) keep(_ context.Context, r blocksReply) (keepReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tracker.MergeBlocks(r.Blocks) {
		return keepReply{}, nil
	}
	return keepReply{}, s.write()
}

// write replaces the file. The caller holds mu.
func (s *blockStore) write() error {
	data, err := vm.Encode(savedBlocks{At: time.Now(), Blocks: s.tracker.Blocks()})
	if err != nil {
		return err
	}
	return checkpoint.ReplaceFile(s.path, data)
}

// read reads the file of the process before. Without one nothing was kept.
func (s *blockStore) read() error {
	data, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	saved, err := vm.Decode[savedBlocks](data)
	if err != nil {
		return fmt.Errorf("file %s: %w", s.path, err)
	}
	age := max(0, time.Since(saved.At.Round(0)))
	for i := range saved.Blocks {
		saved.Blocks[i].AgeSeconds += age.Seconds()
	}
	s.tracker.MergeBlocks(saved.Blocks)
	return nil
}

// blockBackup keeps an entry VM's blocked requests at storage VMs, and reads them after a start.
type blockBackup struct {
	tracker  *entry.CrashTracker
	peers    chestnutcleat.Peers
	observer chestnutcleat.Observer
	// stores returns the addresses of the storage VMs that keep the blocks, known whether the fleet is known, and isFirst whether this VM
	// tells them.
	stores         func() []chestnutcleat.Address
	known, isFirst func() bool
	// changed receives a value after a change, unless one is already pending.
	changed chan struct{}
	// restored is set once the kept blocks are known.
	restored atomic.Bool
}

// run reads the kept blocks and then keeps each change, until ctx is done.
func (b *blockBackup) run(ctx context.Context) error {
	b.restore(ctx)
	var kept uint64
	var keptAt []chestnutcleat.Address
	for b.await(ctx) == nil {
		hash, stores := b.tracker.BlocksHash(), b.stores()
		if !b.isFirst() || hash == 0 || len(stores) == 0 || hash == kept && slices.Equal(stores, keptAt) {
			continue
		}
		if b.keep(ctx, stores) == nil {
			kept, keptAt = hash, stores
		}
	}
	return nil
}

// await waits for a change, at most keepInterval.
func (b *blockBackup) await(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-b.changed:
	case <-time.After(keepInterval):
	}
	return nil
}

// notify tells that a block has changed.
func (b *blockBackup) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// keep sends all blocks to the storage VMs.
func (b *blockBackup) keep(ctx context.Context, stores []chestnutcleat.Address) error {
	blocks := blocksReply{Blocks: b.tracker.Blocks()}
	var errs error
	for _, a := range stores {
		callCtx, cancel := context.WithTimeout(ctx, blocksTimeout)
		var reply keepReply
		errs = errors.Join(errs, b.peers.Call(callCtx, a, methodKeepBlocks, blocks, &reply))
		cancel()
	}
	return errs
}

// restore reads the blocks from the first storage VM that answers, for startCopyTime. In a new fleet without storage VMs there is nothing to
// read.
func (b *blockBackup) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startCopyTime)
	defer cancel()
	for chestnutcleat.Sleep(ctx, restoreInterval) == nil {
		stores := b.stores()
		if len(stores) == 0 && b.known() {
			b.restored.Store(true)
			return
		}
		for _, a := range stores {
			if _, err := copyBlocks(ctx, b.peers, a, b.tracker); err != nil {
				b.observer.Emit(event.BlocksCopyFailed, "address", a, "error", err)
				continue
			}
			b.restored.Store(true)
			return
		}
	}
}

// blockStores returns the addresses of the storage VMs that keep blocked requests, the same ones at all entry VMs.
func (e *Entry) blockStores() []chestnutcleat.Address {
	return e.firstStores(func(a, b chestnutcleat.Replica) int { return cmp.Compare(a.VM, b.VM) })
}
