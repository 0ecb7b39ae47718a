package role

import (
	"context"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/entry"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/guard"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	methodBlocks = chestnutcleat.Method("entry/blocks")
	// blocksTimeout bounds the copying of blocks from another VM.
	blocksTimeout = time.Second
	// minCopyInterval and maxCopyInterval bound the time between copies. It doubles after one that brought nothing new, as the other VM is
	// the one that lacks something then.
	minCopyInterval = 250 * time.Millisecond
	maxCopyInterval = 30 * time.Second
	// startCopyTime bounds how long a VM that has a configuration waits for the blocks of others before it is ready.
	startCopyTime = 2 * time.Second
)

// blocksRequest asks another VM for the requests that it knows to be blocked.
type blocksRequest struct{}

// blocksReply holds all blocks that a VM knows.
type blocksReply struct {
	Blocks []entry.Block `json:"blocks"`
}

// handleBlocks registers the method by which other VMs copy the blocks of a tracker.
func handleBlocks(m *vm.Mux, t *entry.CrashTracker) {
	vm.Handle(m, methodBlocks, func(context.Context, blocksRequest) (blocksReply, error) {
		return blocksReply{Blocks: t.Blocks()}, nil
	})
}

// copyBlocks copies the blocks of the VM at an address and reports whether any was new.
func copyBlocks(ctx context.Context, peers chestnutcleat.Peers, a chestnutcleat.Address, t *entry.CrashTracker) (changed bool, err error) {
	var r blocksReply
	if err := peers.Call(ctx, a, methodBlocks, blocksRequest{}, &r); err != nil {
		return false, err
	}
	return t.MergeBlocks(r.Blocks), nil
}

// blockCopier keeps this VM's blocked requests equal to those of the other VMs. A VM that has just started, or was cut off from the others,
// copies them from the first one that it hears.
type blockCopier struct {
	tracker  *entry.CrashTracker
	peers    chestnutcleat.Peers
	observer chestnutcleat.Observer
	// address returns the address of another VM.
	address func(chestnutcleat.VMID) (chestnutcleat.Address, bool)
	// onPanic receives the panics of copies.
	onPanic func(error)

	mu      sync.Mutex
	running bool
	// next is when the next copy may begin, and interval the time that it waits after the last one.
	next     time.Time
	interval time.Duration
	// copied is set once the blocks of another VM are known.
	copied bool
}

// catchUp copies the blocks of another VM if theirs have another hash than its own.
func (c *blockCopier) catchUp(ctx context.Context, id chestnutcleat.VMID, hash uint64) {
	if !c.begin(hash == c.tracker.BlocksHash()) {
		return
	}
	go func() {
		changed, err := false, error(nil)
		if p := guard.Call(func() { changed, err = c.copyFrom(ctx, id) }); p != nil {
			c.onPanic(p)
			err = p
		}
		c.end(changed, err)
	}()
}

// begin reports whether to copy now.
func (c *blockCopier) begin(same bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if same {
		c.copied, c.interval, c.next = true, 0, time.Time{}
	}
	if same || c.running || time.Now().Before(c.next) {
		return false
	}
	c.running = true
	return true
}

// end ends a copy and sets when the next one may begin.
func (c *blockCopier) end(changed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	switch {
	case err != nil || changed:
		c.interval = minCopyInterval
	default:
		c.interval = min(max(minCopyInterval, 2*c.interval), maxCopyInterval)
	}
	c.copied = c.copied || err == nil
	c.next = time.Now().Add(c.interval)
}

// copyFrom copies the blocks of another VM and reports whether any was new.
func (c *blockCopier) copyFrom(ctx context.Context, id chestnutcleat.VMID) (changed bool, err error) {
	a, ok := c.address(id)
	if !ok {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, blocksTimeout)
	defer cancel()
	if changed, err = copyBlocks(ctx, c.peers, a, c.tracker); err != nil {
		c.observer.Emit(event.BlocksCopyFailed, "from", id, "error", err)
	}
	return changed, err
}

// hasCopied reports whether the blocks of another VM are known.
func (c *blockCopier) hasCopied() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copied
}

// initBlocks connects the tracker of crashing requests with the other VMs.
func (e *Entry) initBlocks() {
	t := e.handler.Crashes
	handleBlocks(e.mux, t)
	t.Rank = e.rankHeard
	t.OnBlock = func(f entry.Fingerprint, blocked bool, trials int) {
		if blocked {
			e.Observer.Emit(event.RequestBlocked, "fingerprint", f, "trials", trials)
		} else {
			e.Observer.Emit(event.RequestUnblocked, "fingerprint", f)
		}
		e.fleet.SendSoon()
		e.backup.notify()
	}
	e.blocks = &blockCopier{
		tracker: t, peers: e.client, observer: e.Observer, address: e.fleet.Address,
		onPanic: func(err error) { e.reportPanic("blocked requests of another VM", err) },
	}
	e.backup = &blockBackup{
		tracker: t, peers: e.client, observer: e.Observer, stores: e.blockStores,
		isFirst: func() bool { rank, _ := e.rankHeard(); return rank == 0 },
		known:   func() bool { return e.mirrors[fleetKind].Version() > 0 },
		changed: make(chan struct{}, 1),
	}
}

// knowsBlocks reports whether this VM knows which requests are blocked, as far as other VMs can tell it. One that reaches no storage VM, or no
// other entry VM of those that it knows, waits no longer than startCopyTime.
func (e *Entry) knowsBlocks() bool {
	return time.Since(e.started) > startCopyTime || e.backup.restored.Load() && (e.blocks.hasCopied() || e.isAlone())
}

// isAlone reports whether this VM knows the fleet and hears no other entry VM.
func (e *Entry) isAlone() bool {
	_, heard := e.rankHeard()
	return heard == 1 && e.backup.known()
}
