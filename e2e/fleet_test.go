package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/settings"
	"chestnutcleat.example/chestnutcleat/standin/loopback"
)

const customerKey = "key-of-grower-7c1d9a40b2"

// vmProcess is the process of one VM of a fleet.
type vmProcess struct {
	*process
	settings     settings.Settings
	settingsFile string
}

// fleet is three VMs and the stand-ins, each as its own process.
type fleet struct {
	t              *testing.T
	dir            string
	serviceAddress string
	manifestFile   string
	vms            []*vmProcess
}

var (
	listenPattern = regexp.MustCompile(`listens on (\S+)`)
	domains       = []chestnutcleat.FailureDomain{"petrolina", "juazeiro", "casa-nova"}
)

// newFleet starts all processes, applies a manifest and waits until every VM is ready.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	platform := f.startStandin("platform")
	engines := []string{f.startStandin("engine"), f.startStandin("engine")}
	f.serviceAddress = f.startStandin("service")
	var seeds []chestnutcleat.Address
	for i := range domains {
		addresses := f.reserveAddresses(i)
		seeds = append(seeds, addresses.VMs)
		f.vms = append(f.vms, &vmProcess{settings: settings.Settings{
			VM: chestnutcleat.VMID(fmt.Sprintf("vm%d", i+1)), Domain: domains[i], Region: "nordeste", Addresses: addresses,
			Platform: "http://" + platform, Log: settings.Log{Level: "info", Format: "text"}, Grace: chestnutcleat.Duration(time.Minute),
		}})
	}
	for _, vm := range f.vms {
		vm.settings.Seeds = seeds
		vm.settingsFile = f.writeJSON(string(vm.settings.VM)+".json", vm.settings)
		f.startVM(vm)
	}
	for _, vm := range f.vms {
		f.waitOK(vm, "/healthz")
	}
	f.manifestFile = f.writeJSON("manifest.json", newManifest(engines, f.serviceAddress))
	f.applyFirstManifest()
	for _, vm := range f.vms {
		f.waitOK(vm, "/readyz")
	}
	f.waitVMLists()
	return f
}

// startStandin starts a stand-in and returns its address.
func (f *fleet) startStandin(kind string) string {
	f.t.Helper()
	p := start(f.t, kind, "standin", "-listen", "127.0.0.1:0", kind)
	var address string
	eventually(f.t, waitTimeout, kind+" listens", func() bool {
		if match := listenPattern.FindSubmatch(p.output()); match != nil {
			address = string(match[1])
		}
		return address != ""
	})
	return address
}

// reserveAddresses returns free addresses for VM i, which it keeps over restarts.
func (f *fleet) reserveAddresses(i int) settings.Addresses {
	f.t.Helper()
	a, err := loopback.Reserve(loopback.IP(1+i), 3)
	if err != nil {
		f.t.Fatal(err)
	}
	return settings.Addresses{Callers: a[0], Operators: a[1], VMs: a[2]}
}

func (f *fleet) writeJSON(name string, v any) string {
	f.t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) startVM(vm *vmProcess) {
	f.t.Helper()
	vm.process = start(f.t, string(vm.settings.VM), "serve", "-settings", vm.settingsFile)
}

// waitOK waits until a GET of a path at a VM's operators' address succeeds.
func (f *fleet) waitOK(vm *vmProcess, path string) {
	f.t.Helper()
	eventually(f.t, waitTimeout, string(vm.settings.VM)+" answers "+path, func() bool {
		select {
		case <-vm.done:
			f.t.Fatalf("%s ended: %v", vm.name, vm.err)
		default:
		}
		r, err := http.Get("http://" + string(vm.settings.Addresses.Operators) + path)
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode/100 == 2
	})
}

// waitVMLists waits until every VM lists all VMs to callers.
func (f *fleet) waitVMLists() {
	f.t.Helper()
	c := newCaller(f, true)
	for _, vm := range f.vms {
		eventually(f.t, waitTimeout, vm.name+" lists all VMs", func() bool { return c.vmListLength(vm.settings.Addresses.Callers) == len(f.vms) })
	}
}

// applyFirstManifest applies the fleet's manifest with base revision 0.
func (f *fleet) applyFirstManifest() {
	f.t.Helper()
	var last result
	eventually(f.t, waitTimeout, "the first manifest is accepted", func() bool {
		last = f.runOperatorCommand(f.vms[0], "apply", "-base", "0", f.manifestFile)
		return last.code == 0
	})
}

// executions returns how often the service ran each request, by request id.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	r, err := http.Get("http://" + f.serviceAddress + "/executions")
	if err != nil {
		f.t.Fatal(err)
	}
	defer r.Body.Close()
	out := map[string]int{}
	if err := json.NewDecoder(r.Body).Decode(&out); err != nil {
		f.t.Fatal(err)
	}
	return out
}

// vmIndex returns the index of the VM with a caller address.
func (f *fleet) vmIndex(a chestnutcleat.Address) int {
	f.t.Helper()
	for i, vm := range f.vms {
		if vm.settings.Addresses.Callers == a {
			return i
		}
	}
	f.t.Fatalf("no VM has the callers' address %q", a)
	return 0
}

func newManifest(engines []string, service string) chestnutcleat.Manifest {
	m := chestnutcleat.Manifest{
		Customers: []chestnutcleat.Customer{{ID: "grower", Keys: []chestnutcleat.Digest{chestnutcleat.DigestOf([]byte(customerKey))}, Rate: 500, Burst: 1000}},
		Upstreams: []chestnutcleat.Upstream{{ID: "rota", Kind: chestnutcleat.UpstreamService, Address: chestnutcleat.Address(service), Domain: domains[1], Slots: 16}},
	}
	chat := chestnutcleat.Route{Name: "chat", Kind: chestnutcleat.UpstreamEngine, Model: "small", Repeatable: true, Timeout: chestnutcleat.Duration(2 * time.Minute)}
	for i, a := range engines {
		id := chestnutcleat.UpstreamID(fmt.Sprintf("engine%d", i+1))
		m.Upstreams = append(m.Upstreams, chestnutcleat.Upstream{
			ID: id, Kind: chestnutcleat.UpstreamEngine, Address: chestnutcleat.Address(a), Domain: domains[i],
			Models: []chestnutcleat.ModelName{"small"}, Slots: 6, Cache: 120_000, Prefill: 10_000, Decode: 100,
		})
		chat.Upstreams = append(chat.Upstreams, id)
	}
	rota := []chestnutcleat.UpstreamID{"rota"}
	m.Routes = []chestnutcleat.Route{
		chat,
		{Name: "book", Kind: chestnutcleat.UpstreamService, Upstreams: rota, Timeout: chestnutcleat.Duration(30 * time.Second)},
	}
	return m
}
