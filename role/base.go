package role

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/guard"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/vm"
)

// fleetKind is the kind of this system's own objects: one for each VM, and the replica set of the programs' records.
const fleetKind chestnutcleat.ObjectKind = "fleet"

const (
	vmPrefix       = "vm-"
	replicaSetName = "copies"
	// announceInterval is the time between checks of this VM's own object.
	announceInterval = time.Second
	// memberExpiry is how long a VM must be silent before its object is removed; a VM that is still running announces itself
	// again.
	memberExpiry = 30 * time.Second
	// memberExpiryInterval is the time between checks for expired VMs.
	memberExpiryInterval = 5 * time.Second
	// unreadReportInterval is the minimum time between two reports of unreadable datagrams, and of nameless objects of a kind.
	unreadReportInterval = 10 * time.Second
	// panicReportInterval is the minimum time between two reports of panics at the same place.
	panicReportInterval = time.Second
)

// base is the part that entry and storage VMs share.
type base struct {
	Settings settings.Role
	// Reload delivers changed settings; only Grace and MaxAddressTTL take effect before the next start.
	Reload   <-chan settings.Role
	Observer chestnutcleat.Observer
	Metrics  *metrics.Set

	self    peer.Member
	objects *platform.ObjectClient
	client  *vm.Client
	mux     *vm.Mux
	fleet   *peer.Fleet
	// mirrors holds the mirror of each kind that this VM follows.
	mirrors map[chestnutcleat.ObjectKind]*mirror.Mirror
	fetcher *fetcher
	tcp     net.Listener
	// started is the start time of the process.
	started time.Time

	// knownMembers holds the VMs of the last change of the fleet's objects, of which one is handled at a time.
	knownMembers map[chestnutcleat.VMID]peer.Member
	// status returns the present status of this VM.
	status func() Status

	mu        sync.Mutex
	ownObject chestnutcleat.StoredObject
	// memberVersions holds the versions of the VMs' objects.
	memberVersions map[chestnutcleat.VMID]chestnutcleat.Version
	// lastUnreadReport is the time of the last report of an unreadable datagram, and lastPanicReports those of panics by place.
	lastUnreadReport time.Time
	lastPanicReports map[string]time.Time
	// lastNamelessReports has the times of the last reports of nameless objects by kind.
	lastNamelessReports map[chestnutcleat.ObjectKind]time.Time
	// announced is the data of this VM's object as it announces it.
	announced string
	// leaving is set once the graceful shutdown has begun.
	leaving atomic.Bool
	// reloaded holds the settings of the last reload; nil before the first.
	reloaded atomic.Pointer[settings.Role]
}

// settings returns the settings in effect.
func (b *base) settings() *settings.Role {
	if s := b.reloaded.Load(); s != nil {
		return s
	}
	return &b.Settings
}

// reload applies changed settings until ctx is done.
func (b *base) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-b.Reload:
			b.reloaded.Store(&s)
			b.Observer.Emit(event.SettingsRead, "grace", s.Grace, "hold", s.MaxAddressTTL)
		}
	}
}

func (b *base) init(disk chestnutcleat.DiskID) {
	s := &b.Settings
	if b.Metrics == nil {
		b.Metrics = metrics.NewSet()
	}
	b.self = peer.Member{
		VM: s.VM, Role: s.Role, Domain: s.Domain, Address: s.Internal(), Callers: s.Listen.Callers, Disk: disk,
	}
	b.started = time.Now()
	b.objects = platform.NewObjectClient(s.Platform)
	calls := b.Metrics.NewCounter("platform_calls_total")
	b.objects.OnCall = func(int, error) { calls.Inc() }
	b.objects.OnNameless = b.reportNameless
	b.client = vm.NewClient()
	b.mux = vm.NewMux()
	b.mux.OnPanic = func(m chestnutcleat.Method, err error) { b.reportPanic(string(m), err) }
	b.mirrors = map[chestnutcleat.ObjectKind]*mirror.Mirror{}
	b.fetcher = newFetcher(b.mirrors)
	b.fetcher.peers, b.fetcher.observer, b.fetcher.shouldWatch = b.client, b.Observer, b.shouldWatch
	b.fetcher.onPanic = func(err error) { b.reportPanic("objects of another VM", err) }
	b.fetcher.address = func(id chestnutcleat.VMID) (chestnutcleat.Address, bool) { return b.fleet.Address(id) }
	vm.Handle(b.mux, methodObjects, b.fetcher.serve)
}

// listen opens the TCP and UDP sockets for other VMs.
func (b *base) listen(ctx context.Context) error {
	l := net.ListenConfig{KeepAliveConfig: platform.KeepAlive}
	a := string(b.self.Address)
	tcp, err := l.Listen(ctx, "tcp", a)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a, err)
	}
	udp, err := l.ListenPacket(ctx, "udp", a)
	if err != nil {
		return errors.Join(fmt.Errorf("listen on %s: %w", a, err), tcp.Close())
	}
	b.tcp, b.fleet.Conn, b.fleet.OnError = tcp, udp, b.reportUnreadDatagram
	b.fleet.OnHeard = func(id chestnutcleat.VMID) { b.Observer.Emit(event.PeerBack, "peer", id) }
	b.fleet.OnSilent = func(id chestnutcleat.VMID) { b.Observer.Emit(event.PeerLost, "peer", id) }
	return nil
}

// reportPanic reports a recovered panic with its stack, at most one per place in panicReportInterval; other errors are ignored.
func (b *base) reportPanic(place string, err error) {
	var p *guard.Panic
	if !errors.As(err, &p) {
		return
	}
	b.mu.Lock()
	tooSoon := time.Since(b.lastPanicReports[place]) < panicReportInterval
	if !tooSoon {
		if b.lastPanicReports == nil {
			b.lastPanicReports = map[string]time.Time{}
		}
		b.lastPanicReports[place] = time.Now()
	}
	b.mu.Unlock()
	if !tooSoon {
		b.Observer.Emit(event.Panicked, "at", place, "error", err, "stack", string(p.Stack))
	}
}

// guarded calls f and reports a panic.
func (b *base) guarded(place string, f func()) {
	if err := guard.Call(f); err != nil {
		b.reportPanic(place, err)
	}
}

// repeat calls f after each interval until ctx is done. A panic costs one call.
func (b *base) repeat(ctx context.Context, interval time.Duration, place string, f func()) error {
	for chestnutcleat.Sleep(ctx, interval) == nil {
		b.guarded(place, f)
	}
	return nil
}

// reportNameless reports an object whose name can't be read, at most one of a kind per unreadReportInterval.
func (b *base) reportNameless(k chestnutcleat.ObjectKind, reason string) {
	b.mu.Lock()
	tooSoon := time.Since(b.lastNamelessReports[k]) < unreadReportInterval
	if !tooSoon {
		if b.lastNamelessReports == nil {
			b.lastNamelessReports = map[chestnutcleat.ObjectKind]time.Time{}
		}
		b.lastNamelessReports[k] = time.Now()
	}
	b.mu.Unlock()
	if !tooSoon {
		b.Observer.Emit(event.ObjectInvalid, "kind", k, "object", "", "error", reason)
	}
}

// reportUnreadDatagram counts an unreadable datagram and reports at most one per unreadReportInterval.
func (b *base) reportUnreadDatagram(err error) {
	b.Metrics.GetOrCreateCounter("datagrams_unread_total").Inc()
	b.reportPanic("datagram", err)
	b.mu.Lock()
	tooSoon := time.Since(b.lastUnreadReport) < unreadReportInterval
	if !tooSoon {
		b.lastUnreadReport = time.Now()
	}
	b.mu.Unlock()
	if !tooSoon {
		b.Observer.Emit(event.DatagramInvalid, "error", err)
	}
}

// start runs the tasks that both roles share.
func (b *base) start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return vm.Serve(ctx, b.tcp, b.mux) })
	g.Go(func() error { return b.fleet.Run(ctx) })
	for _, m := range b.mirrors {
		g.Go(func() error { return m.Run(ctx) })
	}
	g.Go(func() error { return b.announce(ctx) })
	g.Go(func() error { return b.reload(ctx) })
	if b.Settings.MetricsPort > 0 {
		g.Go(func() error { return b.serveMetrics(ctx) })
	}
}

// members decodes the VMs among the fleet's objects and stores this VM's own object and the versions of all. An object that can't be
// decoded leaves what was known of its VM, which writes it again; without its disk the replica set would change.
func (b *base) members(s mirror.Snapshot) ([]peer.Member, []invalidObject) {
	var invalid []invalidObject
	var own chestnutcleat.StoredObject
	known := map[chestnutcleat.VMID]peer.Member{}
	versions := map[chestnutcleat.VMID]chestnutcleat.Version{}
	for _, o := range s.Objects {
		name, ok := strings.CutPrefix(o.Name, vmPrefix)
		if !ok {
			continue
		}
		id := chestnutcleat.VMID(name)
		if id == b.self.VM {
			own = o
		}
		m, err := decodeMember(o, id)
		if err != nil {
			invalid = append(invalid, invalidObject{o, err})
			if m, ok = b.knownMembers[id]; !ok {
				continue
			}
		}
		known[id], versions[id] = m, o.Version
	}
	b.knownMembers = known
	b.mu.Lock()
	b.ownObject, b.memberVersions = own, versions
	b.mu.Unlock()
	return slices.Collect(maps.Values(known)), invalid
}

func decodeMember(o chestnutcleat.StoredObject, id chestnutcleat.VMID) (peer.Member, error) {
	if err := o.Err(); err != nil {
		return peer.Member{}, err
	}
	var m peer.Member
	if err := json.Unmarshal(o.Data, &m); err != nil {
		return peer.Member{}, err
	}
	if m.VM != id {
		return peer.Member{}, fmt.Errorf("object of VM %q describes VM %q", id, m.VM)
	}
	return m, nil
}

// removeSilentVMs removes the objects of VMs of this role that have been silent for memberExpiry, so that their shares of rates
// are used again. Only the first of the VMs that are heard does so, and only while it hears more than half of them.
func (b *base) removeSilentVMs(ctx context.Context) {
	rank, heard := b.rankHeard()
	if rank != 0 || 2*heard <= b.fleet.Count()+1 {
		return
	}
	for _, p := range b.fleet.Peers() {
		if p.SilentFor() > memberExpiry {
			b.removeVM(ctx, &p)
		}
	}
}

func (b *base) removeVM(ctx context.Context, p *peer.Peer) {
	b.mu.Lock()
	v := b.memberVersions[p.VM]
	b.mu.Unlock()
	if v == 0 {
		return
	}
	err := b.objects.Remove(ctx, fleetKind, vmPrefix+string(p.VM), v)
	b.Observer.Emit(event.PeerForgotten, "peer", p.VM, "silent", p.SilentFor().Seconds(), "version", v, "error", err)
}

// announce keeps this VM's object at the platform up to date. While the VM leaves, its object may already be that of a process which
// takes its name.
func (b *base) announce(ctx context.Context) error {
	data, err := json.Marshal(b.self)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.announced = string(data)
	b.mu.Unlock()
	m := b.mirrors[fleetKind]
	failed := false
	for ctx.Err() == nil {
		b.mu.Lock()
		own := b.ownObject
		b.mu.Unlock()
		if m.Version() > 0 && string(own.Data) != string(data) && !b.leaving.Load() {
			v, err := b.objects.Write(ctx, fleetKind, chestnutcleat.StoredObject{Name: vmPrefix + string(b.self.VM), Version: own.Version, Data: data})
			switch {
			case err == nil:
				b.Observer.Emit(event.Announced, "version", v)
				b.mu.Lock()
				b.ownObject = chestnutcleat.StoredObject{Name: own.Name, Version: v, Data: data}
				b.mu.Unlock()
				failed = false
			case !failed:
				b.Observer.Emit(event.AnnounceFailed, "error", err)
				failed = true
			}
		}
		wait := announceInterval
		if m.Version() == 0 {
			wait = announceInterval / 10
		}
		_ = chestnutcleat.Sleep(ctx, wait)
	}
	return nil
}
