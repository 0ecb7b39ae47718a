package role

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/guard"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	methodObjects = chestnutcleat.Method("mirror/packed")
	// catchUpDelay gives this VM's own watch time to deliver what another VM already has.
	catchUpDelay = 150 * time.Millisecond
	// fetchTimeout bounds a fetch, and secondFetchDelay is the time after which another VM is asked as well.
	fetchTimeout     = 3 * time.Second
	secondFetchDelay = time.Second
	maxFetches       = 2
	// maxObjectsBytes bounds the unpacked objects of a kind, in bytes.
	maxObjectsBytes = 32 << 20
)

// objectsRequest asks another VM for all objects of a kind, or for the changes since a version.
type objectsRequest struct {
	Kind  chestnutcleat.ObjectKind `json:"kind"`
	Since chestnutcleat.Version    `json:"since,omitempty"`
}

// packedObjects is an encoded and compressed mirror.Snapshot. A configuration of many routes repeats itself, and many VMs ask the same
// relay for it at once.
type packedObjects struct {
	Deflated []byte `json:"deflated"`
}

// fetcher copies newer objects from other VMs, and answers them.
type fetcher struct {
	peers    chestnutcleat.Peers
	observer chestnutcleat.Observer
	mirrors  map[chestnutcleat.ObjectKind]*mirror.Mirror
	// address returns the address of another VM.
	address func(chestnutcleat.VMID) (chestnutcleat.Address, bool)
	// shouldWatch reports whether this VM watches the platform itself.
	shouldWatch func() bool
	// onPanic receives the panics of fetches; nil ignores them.
	onPanic func(error)

	mu      sync.Mutex
	running map[chestnutcleat.ObjectKind]runningFetches
	// packed holds the last answer for each kind.
	packed map[chestnutcleat.ObjectKind]packedAnswer
}

// runningFetches describes the fetches of a kind.
type runningFetches struct {
	count     int
	lastStart time.Time
	lastFrom  chestnutcleat.VMID
}

// packedAnswer is an answer with what it depends on.
type packedAnswer struct {
	since, version chestnutcleat.Version
	packedObjects
}

func newFetcher(m map[chestnutcleat.ObjectKind]*mirror.Mirror) *fetcher {
	return &fetcher{
		mirrors: m, running: map[chestnutcleat.ObjectKind]runningFetches{}, packed: map[chestnutcleat.ObjectKind]packedAnswer{},
	}
}

// serve answers the request of a VM that is behind.
func (f *fetcher) serve(_ context.Context, r objectsRequest) (packedObjects, error) {
	m := f.mirrors[r.Kind]
	if m == nil {
		return packedObjects{}, fmt.Errorf("kind %q is not followed here", r.Kind)
	}
	s := wholeIfSingle(m, m.SnapshotSince(r.Since))
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.packed[r.Kind]; p.version == s.Version && p.since == s.Since && len(s.Retained) == 0 {
		return p.packedObjects, nil
	}
	data, err := pack(s)
	if err != nil {
		return packedObjects{}, err
	}
	if len(s.Retained) == 0 {
		f.packed[r.Kind] = packedAnswer{since: s.Since, version: s.Version, packedObjects: data}
	}
	return data, nil
}

// wholeIfSingle returns all of a kind that has a single object, in place of its changes: one answer then serves VMs of all older versions.
func wholeIfSingle(m *mirror.Mirror, changes mirror.Snapshot) mirror.Snapshot {
	if len(changes.Objects) != 1 {
		return changes
	}
	if whole := m.SnapshotSince(0); len(whole.Objects) == 1 {
		return whole
	}
	return changes
}

func pack(s mirror.Snapshot) (packedObjects, error) {
	data, err := vm.Encoding{}.Marshal(s)
	if err != nil {
		return packedObjects{}, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return packedObjects{}, err
	}
	if _, err := w.Write(data); err != nil {
		return packedObjects{}, err
	}
	if err := w.Close(); err != nil {
		return packedObjects{}, err
	}
	return packedObjects{Deflated: b.Bytes()}, nil
}

func (p packedObjects) unpack() (mirror.Snapshot, error) {
	var s mirror.Snapshot
	r := flate.NewReader(bytes.NewReader(p.Deflated))
	data, err := io.ReadAll(io.LimitReader(r, maxObjectsBytes+1))
	if err != nil {
		return s, err
	}
	if len(data) > maxObjectsBytes {
		return s, fmt.Errorf("objects exceed %d bytes", maxObjectsBytes)
	}
	return s, vm.Encoding{}.Unmarshal(data, &s)
}

// catchUp fetches the kinds of which another VM has newer objects.
func (f *fetcher) catchUp(ctx context.Context, id chestnutcleat.VMID, versions map[chestnutcleat.ObjectKind]chestnutcleat.Version) {
	for k, v := range versions {
		if m := f.mirrors[k]; m != nil && m.Version() < v && f.begin(k, id) {
			go f.fetchGuarded(ctx, m, id, v)
		}
	}
}

// begin reports whether a VM may be asked for a kind: if none is, or if the one that was asked takes long.
func (f *fetcher) begin(k chestnutcleat.ObjectKind, id chestnutcleat.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running[k]
	if r.count > 0 && (r.count >= maxFetches || r.lastFrom == id || time.Since(r.lastStart) < secondFetchDelay) {
		return false
	}
	f.running[k] = runningFetches{count: r.count + 1, lastStart: time.Now(), lastFrom: id}
	return true
}

func (f *fetcher) end(k chestnutcleat.ObjectKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running[k]
	r.count--
	f.running[k] = r
}

// fetchGuarded fetches objects; a panic over what another VM sends costs this fetch.
func (f *fetcher) fetchGuarded(ctx context.Context, m *mirror.Mirror, id chestnutcleat.VMID, v chestnutcleat.Version) {
	if err := guard.Call(func() { f.fetch(ctx, m, id, v) }); err != nil && f.onPanic != nil {
		f.onPanic(err)
	}
}

func (f *fetcher) fetch(ctx context.Context, m *mirror.Mirror, id chestnutcleat.VMID, v chestnutcleat.Version) {
	defer f.end(m.Kind)
	if f.shouldWatch() && chestnutcleat.Sleep(ctx, catchUpDelay) != nil || m.Version() >= v {
		return
	}
	a, ok := f.address(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before, started := m.Version(), time.Now()
	var p packedObjects
	err := f.peers.Call(ctx, a, methodObjects, objectsRequest{Kind: m.Kind, Since: before}, &p)
	var s mirror.Snapshot
	if err == nil {
		s, err = p.unpack()
	}
	if err != nil {
		// The next summary of a VM with newer objects starts another fetch.
		f.observer.Emit(event.ObjectsCopyFailed, "kind", m.Kind, "before", before, "expected", v, "from", id, "took", time.Since(started).Seconds(), "error", err)
		return
	}
	f.observer.Emit(event.ObjectsCopied, "kind", m.Kind, "version", s.Version, "before", before, "from", id, "bytes", len(p.Deflated))
	m.Merge(s)
}
