package entry

import (
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// crashThreshold is the number of crashes after which a request is refused. A request that crashes every instance it
	// reaches is sent again by its caller and would crash further ones.
	crashThreshold = 3
	// crashWindow is how long a crash count stays in effect after the latest crash, and how long a request is blocked before it is
	// tried again.
	crashWindow = time.Minute
	// reportWindow is how long a crash count is reported to other VMs after the latest crash.
	reportWindow = 5 * time.Second
	// maxFingerprints is the number of requests above which old crash counts are discarded.
	maxFingerprints = 4096
)

// Fingerprint is a hash of a request's customer, method, target and body, and of the stored turn that it continues: its input for the
// instance begins with that turn's.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c chestnutcleat.CustomerID, method, target string, previous chestnutcleat.RequestID, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(c), method, target, string(previous)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// brokenConnection lists the errors of a connection that its other end, or the system in its place, has ended.
var brokenConnection = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT}

// mayBeCrash reports whether an exchange whose request was sent failed as it does when the request crashes the instance. An
// instance that was given up because it is slow or silent, or that sends an invalid answer, has not crashed.
func mayBeCrash(err error) bool {
	return !errors.Is(err, errStalled) && slices.ContainsFunc(brokenConnection, func(e error) bool { return errors.Is(err, e) })
}

// CrashTracker detects requests that crash instances. It counts, over all VMs, the exchanges whose connection broke after a request
// was sent, which may be crashes, and blocks a request after crashThreshold of them until an instance answers it in a trial.
type CrashTracker struct {
	// Rank returns the rank of this VM among those that take turns in trials, and their number; nil stands for a single VM.
	Rank func() (rank, vms int)
	// OnBlock is called when the request was blocked, was tried in vain, or is no longer blocked; optional.
	OnBlock func(f Fingerprint, blocked bool, trials int)

	mu     sync.Mutex
	local  map[Fingerprint]crashCount
	remote map[string]map[Fingerprint]crashCount
	// answered is when an instance last answered a request that had been counted.
	answered map[Fingerprint]time.Time
	blocks   blockTable
}

type crashCount struct {
	count int
	last  time.Time
}

// RecordCrash counts a crash that this VM observed.
func (t *CrashTracker) RecordCrash(f Fingerprint) {
	t.update(f, func() bool {
		t.setLocal(f, t.local[f].count+1)
		return t.blockIfCrashing(f)
	})
}

// setLocal sets this VM's count of a request as of now. The caller holds mu.
func (t *CrashTracker) setLocal(f Fingerprint, count int) {
	if t.local == nil {
		t.local = map[Fingerprint]crashCount{}
	}
	t.prune()
	t.local[f] = crashCount{count: count, last: time.Now()}
}

// prune discards old counts and answers when there are too many. The caller holds mu.
func (t *CrashTracker) prune() {
	if max(len(t.local), len(t.answered)) < maxFingerprints {
		return
	}
	maps.DeleteFunc(t.local, func(_ Fingerprint, c crashCount) bool { return time.Since(c.last) > reportWindow })
	maps.DeleteFunc(t.answered, func(_ Fingerprint, at time.Time) bool { return time.Since(at) > reportWindow })
}

// RecordAnswer ends the count and the block of a request that an instance has answered, here and, by a report of zero crashes, at the
// other VMs: what broke its connections before was not the request.
func (t *CrashTracker) RecordAnswer(f Fingerprint) {
	t.update(f, func() bool {
		ended := t.endBlock(f)
		if ended || t.count(f) > 0 {
			t.forget(f)
			t.setLocal(f, 0)
		}
		return ended
	})
}

// forget removes all counts of a request. The caller holds mu.
func (t *CrashTracker) forget(f Fingerprint) {
	t.prune()
	if t.answered == nil {
		t.answered = map[Fingerprint]time.Time{}
	}
	t.answered[f] = time.Now()
	delete(t.local, f)
	for _, m := range t.remote {
		delete(m, f)
	}
}

// Blocked reports whether the request has crashed so many instances that this VM must not send it to another one now.
func (t *CrashTracker) Blocked(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.blocks.byRequest[f]
	return b.active() && !t.trialDue(b)
}

// count returns the crashes of a request at all VMs. The caller holds mu.
func (t *CrashTracker) count(f Fingerprint) int {
	total := 0
	add := func(c crashCount) {
		if time.Since(c.last) < crashWindow {
			total += c.count
		}
	}
	add(t.local[f])
	for _, m := range t.remote {
		add(m[f])
	}
	return total
}

// RecentCounts returns this VM's recent crash counts for other VMs.
func (t *CrashTracker) RecentCounts() map[uint64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint64]int{}
	for f, c := range t.local {
		if time.Since(c.last) < reportWindow {
			out[uint64(f)] = c.count
		}
	}
	return out
}

// Merge merges the crash counts of another process, or the sums of a group of VMs, under its name. A count of zero means that the request
// was answered there; for a while after that, counts that others reported before they knew may still arrive and are ignored. Repeats of
// such a report tell of the same answer, so they leave the crashes that this VM has seen since.
func (t *CrashTracker) Merge(name string, counts map[uint64]int) {
	for k, n := range counts {
		f := Fingerprint(k)
		t.update(f, func() bool { return t.mergeCount(name, f, n) })
	}
}

// mergeCount merges one count, and reports whether the request is now blocked, or no longer. The caller holds mu.
func (t *CrashTracker) mergeCount(name string, f Fingerprint, n int) (changed bool) {
	known := time.Since(t.answered[f]) < reportWindow
	if known {
		return false
	}
	if n == 0 {
		t.forget(f)
		// A block that began while the answer was being reported counted crashes from before it.
		return time.Since(t.blocks.byRequest[f].changed) < reportWindow && t.endBlock(f)
	}
	m := t.remoteCounts(name)
	m[f] = crashCount{count: max(n, m[f].count), last: time.Now()}
	return t.blockIfCrashing(f)
}

// remoteCounts returns the counts that are kept under a name. Before it adds a name, or if there are too many counts, it drops old ones. The
// caller holds mu.
func (t *CrashTracker) remoteCounts(name string) map[Fingerprint]crashCount {
	if m := t.remote[name]; m == nil || len(m) >= maxFingerprints {
		t.dropOldRemote()
	}
	if t.remote == nil {
		t.remote = map[string]map[Fingerprint]crashCount{}
	}
	if m := t.remote[name]; m == nil || len(m) >= maxFingerprints {
		t.remote[name] = map[Fingerprint]crashCount{}
	}
	return t.remote[name]
}

// dropOldRemote drops the counts that were not reported for crashWindow, and the names without counts. The caller holds mu.
func (t *CrashTracker) dropOldRemote() {
	for name, m := range t.remote {
		maps.DeleteFunc(m, func(_ Fingerprint, c crashCount) bool { return time.Since(c.last) >= crashWindow })
		if len(m) == 0 {
			delete(t.remote, name)
		}
	}
}
