package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/settings"
)

const customerKey = "key-of-grower-7c1d9a40b2"

// member is one VM of a fleet.
type member struct {
	*process
	settings settings.Settings
	file     string
}

// fleet is three VMs and the stand-ins, each a process of its own.
type fleet struct {
	t        *testing.T
	dir      string
	service  string
	manifest string
	vms      []*member
}

var (
	listens = regexp.MustCompile(`listens on (\S+)`)
	domains = []chestnutcleat.FailureDomain{"petrolina", "juazeiro", "casa-nova"}
)

// newFleet starts all processes, applies a manifest and waits until every VM is ready.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	platform := f.standin("platform")
	engines := []string{f.standin("engine"), f.standin("engine")}
	f.service = f.standin("service")
	var seeds []chestnutcleat.Address
	for i := range domains {
		a := settings.Addresses{Callers: f.reserve(i), Operators: f.reserve(i), VMs: f.reserve(i)}
		seeds = append(seeds, a.VMs)
		f.vms = append(f.vms, &member{settings: settings.Settings{
			VM: chestnutcleat.VMID(fmt.Sprintf("vm%d", i+1)), Domain: domains[i], Region: "nordeste", Addresses: a,
			Platform: "http://" + platform, Log: settings.Log{Level: "info", Format: "text"}, Grace: chestnutcleat.Duration(time.Minute),
		}})
	}
	for _, m := range f.vms {
		m.settings.Seeds = seeds
		m.file = f.write(string(m.settings.VM)+".json", m.settings)
		f.startVM(m)
	}
	for _, m := range f.vms {
		f.answers(m, "/healthz")
	}
	f.manifest = f.write("manifest.json", manifestFor(engines, f.service))
	f.apply()
	for _, m := range f.vms {
		f.answers(m, "/readyz")
	}
	f.complete()
	return f
}

// standin starts a stand-in and returns its address.
func (f *fleet) standin(kind string) string {
	f.t.Helper()
	p := start(f.t, kind, "standin", "-listen", "127.0.0.1:0", kind)
	var address string
	eventually(f.t, bound, kind+" listens", func() bool {
		if m := listens.FindSubmatch(p.output()); m != nil {
			address = string(m[1])
		}
		return address != ""
	})
	return address
}

// reserve returns a free address of VM i, which stays the same over restarts.
func (f *fleet) reserve(i int) chestnutcleat.Address {
	f.t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 11+i))
	if err != nil {
		f.t.Fatal(err)
	}
	defer l.Close()
	return chestnutcleat.Address(l.Addr().String())
}

func (f *fleet) write(name string, v any) string {
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

func (f *fleet) startVM(m *member) {
	f.t.Helper()
	m.process = start(f.t, string(m.settings.VM), "serve", "-settings", m.file)
}

// answers waits until an operators' path of a VM answers with success.
func (f *fleet) answers(m *member, path string) {
	f.t.Helper()
	eventually(f.t, bound, string(m.settings.VM)+" answers "+path, func() bool {
		select {
		case <-m.done:
			f.t.Fatalf("%s ended: %v", m.name, m.err)
		default:
		}
		r, err := http.Get("http://" + string(m.settings.Addresses.Operators) + path)
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode/100 == 2
	})
}

// complete waits until every VM tells callers about all VMs.
func (f *fleet) complete() {
	f.t.Helper()
	c := newCaller(f, true)
	for _, m := range f.vms {
		eventually(f.t, bound, m.name+" lists all VMs", func() bool { return c.listed(m.settings.Addresses.Callers) == len(f.vms) })
	}
}

// apply applies the fleet's manifest as the first one.
func (f *fleet) apply() {
	f.t.Helper()
	var last result
	eventually(f.t, bound, "the first manifest is accepted", func() bool {
		last = f.operate(f.vms[0], "apply", "-base", "0", f.manifest)
		return last.code == 0
	})
}

// executions returns how often the service ran each request.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	r, err := http.Get("http://" + f.service + "/executions")
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

// owner returns the VM with an address for callers.
func (f *fleet) owner(a chestnutcleat.Address) int {
	f.t.Helper()
	for i, m := range f.vms {
		if m.settings.Addresses.Callers == a {
			return i
		}
	}
	f.t.Fatalf("no VM has the callers' address %q", a)
	return 0
}

func manifestFor(engines []string, service string) chestnutcleat.Manifest {
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
