package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// Names of roles.
const (
	RoleEntry = "entry"
	RoleStore = "store"
)

// Role is the settings of a process of one role on the users' platform.
type Role struct {
	VM     chestnutcleat.VMID          `json:"vm"`
	Role   string                      `json:"role"`
	Domain chestnutcleat.FailureDomain `json:"domain"`
	Region chestnutcleat.Region        `json:"region"`
	IP     string                      `json:"ip"`
	// Ports are the first and last port for messages between VMs.
	Ports []int `json:"ports"`
	// Listen is used by the entry role.
	Listen Listen `json:"listen,omitempty"`
	// Platform is the IP address and port of the platform's store.
	Platform chestnutcleat.Address `json:"platform"`
	// Folder is the data folder of the store role.
	Folder string `json:"folder,omitempty"`
	// Space is what the records of the store role may take of the folder's disk, in megabytes; zero is no bound.
	Space int `json:"space,omitempty"`
	// Tolerance is the number of storage VMs that may be lost at once.
	Tolerance int `json:"tolerance"`
	// Memory is what the process may use, in megabytes.
	Memory int `json:"memory"`
	// Grace is the time between SIGTERM and SIGKILL, in seconds.
	Grace float64 `json:"grace"`
	// Hold is the longest time that callers keep a list of addresses, in seconds.
	Hold float64 `json:"hold"`
	Log  Log     `json:"log,omitempty"`
	// Apply is the time in which a configuration must be in effect on all VMs, and Drain that in which a leaving instance must get no
	// more work, in milliseconds.
	Apply int `json:"apply"`
	Drain int `json:"drain"`
	// Window is the span over which customers' rates hold, in seconds.
	Window float64 `json:"window"`
	// Overage is the part of a customer's limit that may pass beyond it in a window.
	Overage float64 `json:"overage"`
	// Metrics is the port of the metrics address; zero for none.
	Metrics int `json:"metrics,omitempty"`
}

// Listen has the addresses of the entry role.
type Listen struct {
	Callers  chestnutcleat.Address `json:"callers"`
	Ready    chestnutcleat.Address `json:"ready"`
	Registry chestnutcleat.Address `json:"registry"`
}

// LoadRole reads the settings of a role.
func LoadRole(path string) (Role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Role{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseRole(path, data)
}

// ParseRole decodes and checks the settings of a role; the error names all faults.
func ParseRole(file string, data []byte) (Role, error) {
	r, d := document.Decode[Role](file, data)
	if r.Log.Level == "" {
		r.Log.Level = "info"
	}
	if r.Log.Format == "" {
		r.Log.Format = "json"
	}
	r.validate(d)
	return r, d.Err()
}

func (r *Role) validate(d *document.Document) {
	if d.Malformed() {
		return
	}
	if !vmPattern.MatchString(string(r.VM)) {
		d.Add("vm", "expected the id of this VM, 1 to 64 letters, digits, '.', '_' or '-', found %q", r.VM)
	}
	oneOf(d, "role", r.Role, []string{RoleEntry, RoleStore})
	required(d, "domain", string(r.Domain), "the failure domain of this VM")
	required(d, "ip", r.IP, "the IP address of this VM")
	if len(r.Ports) != 2 || r.Ports[0] <= 0 || r.Ports[1] < r.Ports[0] {
		d.Add("ports", "expected the first and the last port for messages between VMs, found %v", r.Ports)
	}
	address(d, "platform", r.Platform)
	if r.Role == RoleEntry {
		address(d, "listen.callers", r.Listen.Callers)
		address(d, "listen.ready", r.Listen.Ready)
		address(d, "listen.registry", r.Listen.Registry)
	}
	if r.Role == RoleStore && !filepath.IsAbs(r.Folder) {
		d.Add("folder", "expected the absolute path of the data folder, found %q", r.Folder)
	}
	if r.Space < 0 {
		d.Add("space", "expected megabytes from 0, found %d", r.Space)
	}
	if r.Tolerance < 0 {
		d.Add("tolerance", "expected a number from 0, found %d", r.Tolerance)
	}
	if r.Memory <= 0 {
		d.Add("memory", "expected megabytes above 0, found %d", r.Memory)
	}
	if r.Grace <= 0 {
		d.Add("grace", "expected seconds above 0, found %v", r.Grace)
	}
	if r.Apply <= 0 {
		d.Add("apply", "expected milliseconds above 0, found %d", r.Apply)
	}
	if r.Drain <= 0 {
		d.Add("drain", "expected milliseconds above 0, found %d", r.Drain)
	}
	if r.Window <= 0 {
		d.Add("window", "expected seconds above 0, found %v", r.Window)
	}
	if r.Overage < 0 {
		d.Add("overage", "expected a part of the limit from 0, found %v", r.Overage)
	}
	oneOf(d, "log.level", r.Log.Level, levels)
	oneOf(d, "log.format", r.Log.Format, formats)
}

// Internal is the address for messages between VMs.
func (r *Role) Internal() chestnutcleat.Address {
	return chestnutcleat.Address(fmt.Sprintf("%s:%d", r.IP, r.Ports[0]))
}
