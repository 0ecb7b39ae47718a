package role

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
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
	// polled are the kinds that the VMs list in turn.
	polled  []chestnutcleat.ObjectKind
	fetcher *fetcher
	tcp     net.Listener
	// started is the start time of the process.
	started time.Time

	// panicReports limits the reports of panics, by place.
	panicReports throttle
	// datagramReports limits the reports of unreadable datagrams, and namelessReports those of nameless objects, by kind.
	datagramReports, namelessReports throttle

	// knownMembers holds the VMs as of the last change of the fleet's objects. Changes are handled one at a time.
	knownMembers map[chestnutcleat.VMID]peer.Member
	// status returns the present status of this VM.
	status func() Status

	mu        sync.Mutex
	ownObject chestnutcleat.StoredObject
	// memberVersions holds the versions of the VMs' objects.
	memberVersions map[chestnutcleat.VMID]chestnutcleat.Version
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
