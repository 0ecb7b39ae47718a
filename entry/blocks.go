package entry

import (
	"encoding/binary"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockLifetime is how long a block is kept after it began, ended or was last tried.
	blockLifetime = 24 * time.Hour
	// maxBlocks bounds the blocked requests.
	maxBlocks = 1024
	// maxTrials is the number of trials without an answer after which a request stays blocked for blockLifetime.
	maxTrials = 3
	// trialBackoff multiplies the time until the next trial after each one that crashed; the first is due after crashWindow.
	trialBackoff = 8
	// Once a trial is due, the VMs take turns of trialTurn, so that only one of them makes it. A VM begins it only in the first
	// trialOpening of its turn, as the others have to hear of it before the next turn.
	trialTurn    = 5 * time.Second
	trialOpening = time.Second
)

// Block tells other VMs that a request is blocked since it crashed instances, or no longer is. Each VM keeps all blocks: one that has just
// started copies them.
type Block struct {
	Fingerprint Fingerprint `json:"request"`
	// Generation counts how often the request was blocked, and how often an answer ended that: it is blocked at an odd one. The higher
	// generation of two holds.
	Generation uint32 `json:"generation"`
	// Trials counts the trials of this generation that were not answered.
	Trials uint32 `json:"trials,omitempty"`
	// AgeSeconds is the time since the last change.
	AgeSeconds float64 `json:"age"`
}

// Err returns an error if the block can't be one of another VM.
func (b Block) Err() error {
	if b.Generation == 0 || b.Trials > maxTrials || !(b.AgeSeconds >= 0 && b.AgeSeconds < blockLifetime.Seconds()) {
		return fmt.Errorf("block %+v: expected a generation, up to %d trials and an age of less than %v", b, maxTrials, blockLifetime)
	}
	return nil
}

// block is a block as a VM keeps it.
type block struct {
	generation, trials uint32
	// changed is when the block began or ended, or when its last trial began.
	changed time.Time
}

func (b block) active() bool { return b.generation%2 == 1 }

// newerThan reports whether the block replaces another one of the same request. The earlier time of two equal ones holds, as times that
// were told come late.
func (b block) newerThan(o block) bool {
	switch {
	case b.generation != o.generation:
		return b.generation > o.generation
	case b.trials != o.trials:
		return b.trials > o.trials
	}
	return b.changed.Before(o.changed)
}

// hash identifies the state of a request's block without its time.
func (b block) hash(f Fingerprint) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:], uint64(f))
	binary.LittleEndian.PutUint32(data[8:], b.generation)
	binary.LittleEndian.PutUint32(data[12:], b.trials)
	return xxhash.Sum64(data[:])
}

// trialAt returns when the next trial of the request is due, or when its block is forgotten.
func (b block) trialAt() time.Time {
	if b.trials >= maxTrials {
		return b.changed.Add(blockLifetime)
	}
	wait := crashWindow
	for range b.trials {
		wait *= trialBackoff
	}
	return b.changed.Add(wait)
}

// blockTable holds the blocks that a VM knows, with their common hash.
type blockTable struct {
	byRequest map[Fingerprint]block
	hash      uint64
}

// set stores a block. A full table drops the one that changed first.
func (t *blockTable) set(f Fingerprint, b block) {
	if t.byRequest == nil {
		t.byRequest = map[Fingerprint]block{}
	}
	if _, known := t.byRequest[f]; !known && len(t.byRequest) >= maxBlocks {
		t.dropOldest()
	}
	t.remove(f)
	t.byRequest[f] = b
	t.hash ^= b.hash(f)
}

// startGeneration begins the next generation of a request's block.
func (t *blockTable) startGeneration(f Fingerprint) {
	t.set(f, block{generation: t.byRequest[f].generation + 1, changed: time.Now()})
}

func (t *blockTable) remove(f Fingerprint) {
	if b, ok := t.byRequest[f]; ok {
		t.hash ^= b.hash(f)
		delete(t.byRequest, f)
	}
}

// dropOldest removes the block that changed first.
func (t *blockTable) dropOldest() {
	var oldest Fingerprint
	first := true
	for f, b := range t.byRequest {
		if first || b.changed.Before(t.byRequest[oldest].changed) {
			oldest, first = f, false
		}
	}
	t.remove(oldest)
}

// expire removes the blocks whose lifetime has passed.
func (t *blockTable) expire() {
	for f, b := range maps.Clone(t.byRequest) {
		if time.Since(b.changed) >= blockLifetime {
			t.remove(f)
		}
	}
}

// Blocks returns all blocks for another VM.
func (t *CrashTracker) Blocks() []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocks.expire()
	list := make([]Block, 0, len(t.blocks.byRequest))
	for f, b := range t.blocks.byRequest {
		list = append(list, Block{Fingerprint: f, Generation: b.generation, Trials: b.trials, AgeSeconds: time.Since(b.changed).Seconds()})
	}
	return list
}

// BlocksHash returns a hash of all blocks; it is zero if there are none. VMs with the same hash have the same blocks.
func (t *CrashTracker) BlocksHash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocks.hash
}

// MergeBlocks merges the blocks of another VM and reports whether it brought anything new.
func (t *CrashTracker) MergeBlocks(list []Block) (changed bool) {
	for _, b := range list[:min(len(list), maxBlocks)] {
		if b.Err() != nil {
			continue
		}
		age := time.Duration(b.AgeSeconds * float64(time.Second))
		if t.mergeBlock(b.Fingerprint, block{generation: b.Generation, trials: b.Trials, changed: time.Now().Add(-age)}) {
			changed = true
		}
	}
	return changed
}

// mergeBlock merges one block and reports whether it changed more than the time.
func (t *CrashTracker) mergeBlock(f Fingerprint, b block) bool {
	return t.update(f, func() bool {
		known, ok := t.blocks.byRequest[f]
		if ok && !b.newerThan(known) {
			return false
		}
		t.blocks.set(f, b)
		changed := !ok || b.hash(f) != known.hash(f)
		if changed && !b.active() {
			// The answer that ended the block ended the counts as well.
			t.forget(f)
		}
		return changed
	})
}

// blockIfCrashing blocks a request whose crashes have reached crashThreshold, and reports whether it did. The caller holds mu.
func (t *CrashTracker) blockIfCrashing(f Fingerprint) bool {
	b := t.blocks.byRequest[f]
	if b.active() || t.count(f) < crashThreshold {
		return false
	}
	t.blocks.startGeneration(f)
	return true
}

// endBlock ends the block of a request that was answered, and reports whether there was one. The caller holds mu.
func (t *CrashTracker) endBlock(f Fingerprint) bool {
	if !t.blocks.byRequest[f].active() {
		return false
	}
	t.blocks.startGeneration(f)
	return true
}

// trialDue reports whether this VM may make a trial of a blocked request now. The caller holds mu.
func (t *CrashTracker) trialDue(b block) bool {
	since := time.Since(b.trialAt())
	if since < 0 {
		return false
	}
	rank, vms := 0, 1
	if t.Rank != nil {
		rank, vms = t.Rank()
	}
	return int(since/trialTurn)%vms == rank && since%trialTurn < trialOpening
}

// Begin records that the request is about to be sent to an instance. It returns false if the request is blocked. A request that is due for
// a trial counts as crashed until it is answered, so that no other VM sends it meanwhile.
func (t *CrashTracker) Begin(f Fingerprint) bool {
	blocked := false
	t.update(f, func() (tried bool) {
		b := t.blocks.byRequest[f]
		tried = b.active() && t.trialDue(b)
		blocked = b.active() && !tried
		if tried {
			t.blocks.set(f, block{generation: b.generation, trials: min(b.trials+1, maxTrials), changed: time.Now()})
		}
		return tried
	})
	return !blocked
}

// RetryAfter returns the time until a blocked request may be tried again.
func (t *CrashTracker) RetryAfter(f Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(trialTurn, time.Until(t.blocks.byRequest[f].trialAt()))
}

// update changes the state of a request under the lock, and calls OnBlock if change reports that its block changed.
func (t *CrashTracker) update(f Fingerprint, change func() bool) bool {
	changed, b := t.locked(f, change)
	if changed && t.OnBlock != nil {
		t.OnBlock(f, b.active(), int(b.trials))
	}
	return changed
}

// locked calls change under the lock and returns its result and the block of the request after it.
func (t *CrashTracker) locked(f Fingerprint, change func() bool) (changed bool, b block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = change()
	return changed, t.blocks.byRequest[f]
}
