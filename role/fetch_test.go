package role

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	configKind = chestnutcleat.ObjectKind("config")
	// linkBytesPerSecond is the link of a small VM, 30 Mbit/s.
	linkBytesPerSecond = 30_000_000 / 8
	// maxApplyTime is the time in which a configuration must be in effect on all VMs of the large deployments.
	maxApplyTime = 3 * time.Second
	// summaryInterval is the interval at which VMs hear which versions others have.
	summaryInterval = 200 * time.Millisecond
)

type ignoreEvents struct{}

func (ignoreEvents) Emit(chestnutcleat.EventID, ...any) {}

// fetchingVM is a VM that copies configurations from others.
type fetchingVM struct {
	*fetcher
	id chestnutcleat.VMID
}

func newFetchingVM(n *vm.Network, id chestnutcleat.VMID) *fetchingVM {
	m := &mirror.Mirror{Kind: configKind}
	v := &fetchingVM{id: id, fetcher: newFetcher(map[chestnutcleat.ObjectKind]*mirror.Mirror{configKind: m})}
	v.peers, v.observer, v.shouldWatch = n.From(chestnutcleat.Address(id)), ignoreEvents{}, func() bool { return false }
	v.address = func(id chestnutcleat.VMID) (chestnutcleat.Address, bool) { return chestnutcleat.Address(id), true }
	mux := vm.NewMux()
	vm.Handle(mux, methodObjects, v.serve)
	n.Attach(chestnutcleat.Address(id), mux)
	return v
}

func (v *fetchingVM) version() chestnutcleat.Version { return v.mirrors[configKind].Version() }

// configOf returns a configuration of some routes with names that don't repeat.
func configOf(version chestnutcleat.Version, routes int) mirror.Snapshot {
	random := rand.New(rand.NewPCG(uint64(version), 1))
	name := func() string { return fmt.Sprintf("%07x", random.Uint32()) }
	list := make([]map[string]any, routes)
	for i := range list {
		list[i] = map[string]any{
			"name": "r-" + name(), "host": name() + ".example", "path_prefix": "/" + name() + "/", "type": "idempotent", "timeout_ms": 1200,
			"target_latency_ms": 150, "max_attempts": 2, "priority": 2, "traffic_split": []any{map[string]any{"service": "s-" + name(), "weight": 1}},
		}
	}
	data, err := json.Marshal(map[string]any{"version": version, "routes": list})
	if err != nil {
		panic(err)
	}
	return mirror.Snapshot{Version: version, Objects: []chestnutcleat.StoredObject{{Name: "main", Version: version, Data: data}}}
}

// A large configuration must reach all VMs of a group in time although they copy it from one relay with a small link, and although
// a newer version comes each second. It once reached five of 24 after seven seconds: a fetch that took over a second began anew.
func TestLargeConfigurationReachesGroup(t *testing.T) {
	const members, routes, versions = 24, 1828, 6
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := vm.NewNetwork(1)
		n.Delay = time.Millisecond
		n.SetBytesPerSecond(linkBytesPerSecond)
		relay := newFetchingVM(n, "relay")
		var list []*fetchingVM
		for i := range members {
			list = append(list, newFetchingVM(n, chestnutcleat.VMID(fmt.Sprint("v", i))))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		slowest := time.Duration(0)
		acknowledged := map[chestnutcleat.Version]time.Time{}
		for step := range versions * 5 * 2 {
			if version := chestnutcleat.Version(step/5 + 1); step%5 == 0 && version <= versions {
				relay.mirrors[configKind].Merge(configOf(version, routes))
				acknowledged[version] = time.Now()
			}
			for _, v := range list {
				v.catchUp(ctx, relay.id, map[chestnutcleat.ObjectKind]chestnutcleat.Version{configKind: relay.version()})
			}
			time.Sleep(summaryInterval)
			for _, v := range list {
				for version, at := range acknowledged {
					if v.version() < version {
						slowest = max(slowest, time.Since(at))
					}
				}
			}
		}
		for _, v := range list {
			is.Equal(v.version(), chestnutcleat.Version(versions))
		}
		t.Logf("slowest: %v after the acknowledgement", slowest)
		is.True(slowest <= maxApplyTime)
		cancel()
		synctest.Wait()
	})
}

// A VM whose source does not answer must ask the next one that has the newer objects, and not all of them at once.
func TestFetchAsksAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := vm.NewNetwork(1)
		good, behind := newFetchingVM(n, "good"), newFetchingVM(n, "behind")
		good.mirrors[configKind].Merge(configOf(7, 3))
		newer := map[chestnutcleat.ObjectKind]chestnutcleat.Version{configKind: 7}
		ctx, cancel := context.WithCancel(t.Context())
		behind.catchUp(ctx, "silent", newer)
		behind.catchUp(ctx, "good", newer)
		time.Sleep(summaryInterval)
		is.Equal(behind.version(), chestnutcleat.Version(0))
		time.Sleep(secondFetchDelay)
		behind.catchUp(ctx, "good", newer)
		time.Sleep(summaryInterval)
		is.Equal(behind.version(), chestnutcleat.Version(7))
		cancel()
		synctest.Wait()
	})
}

// Whatever another VM sends in place of packed objects must end as an error.
func FuzzUnpack(f *testing.F) {
	p, err := pack(configOf(1, 2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Deflated)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := packedObjects{Deflated: data}.unpack()
		if err == nil && len(s.Objects) > len(data)*2000 {
			t.Errorf("%d objects of %d bytes", len(s.Objects), len(data))
		}
	})
}

// An answer that was made for one VM must not be given to another one that is further behind: it holds the changes since a version that the
// other lacks, so the other drops it and keeps an old configuration although it asks again and again.
func TestAnswerOfAnotherVMIsNotReused(t *testing.T) {
	object := func(name string, v chestnutcleat.Version) chestnutcleat.StoredObject {
		return chestnutcleat.StoredObject{Name: name, Version: v}
	}
	for name, tt := range map[string]struct {
		// others are objects besides the one that changes, and behind is the version of the VM that is further behind.
		others []chestnutcleat.StoredObject
		behind chestnutcleat.Version
	}{
		"a kind of one object":                  {nil, 10},
		"several objects":                       {[]chestnutcleat.StoredObject{object("a", 9)}, 10},
		"several objects, all of them are due":  {[]chestnutcleat.StoredObject{object("a", 9), object("b", 8)}, 5},
		"a kind of one object, it is due whole": {nil, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				snapshot := func(v chestnutcleat.Version) mirror.Snapshot {
					return mirror.Snapshot{Version: v, Objects: append(slices.Clone(tt.others), object("main", v))}
				}
				n := vm.NewNetwork(1)
				relay, near, far := newFetchingVM(n, "relay"), newFetchingVM(n, "near"), newFetchingVM(n, "far")
				far.mirrors[configKind].Merge(mirror.Snapshot{Version: tt.behind})
				for v := chestnutcleat.Version(10); v <= 30; v += 10 {
					relay.mirrors[configKind].Merge(snapshot(v))
					if v < 30 {
						near.mirrors[configKind].Merge(snapshot(v))
					}
				}
				for _, behind := range []*fetchingVM{near, far} {
					behind.catchUp(t.Context(), "relay", map[chestnutcleat.ObjectKind]chestnutcleat.Version{configKind: 30})
					time.Sleep(time.Second)
					is.Equal(behind.version(), chestnutcleat.Version(30))
				}
				is.Equal(len(near.mirrors[configKind].SnapshotSince(0).Objects), 1+len(tt.others))
			})
		})
	}
}
