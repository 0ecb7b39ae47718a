package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleStore = "store"
)

// Role holds the settings of an entry or storage VM's process on the users' platform.
type Role struct {
	VM     chestnutcleat.VMID          `json:"vm"`
	Role   string                      `json:"role"`
	Domain chestnutcleat.FailureDomain `json:"domain"`
	Region chestnutcleat.Region        `json:"region"`
	IP     string                      `json:"ip"`
	// Ports are the first and last port of the range for messages between VMs.
	Ports []int `json:"ports"`
	// Listen is used only by the entry role.
	Listen Listen `json:"listen,omitempty"`
	// Platform is the IP address and port of the platform's store.
	Platform chestnutcleat.Address `json:"platform"`
	// DataFolder is the store role's data folder.
	DataFolder string `json:"folder,omitempty"`
	// DiskMB bounds the disk usage of the store role's records, in megabytes; zero means no bound.
	DiskMB int `json:"space,omitempty"`
	// Tolerance is the number of storage VMs that may fail at the same time.
	Tolerance int `json:"tolerance"`
	// MemoryMB is the memory limit of the process, in megabytes.
	MemoryMB int `json:"memory"`
	// Grace is the time between SIGTERM and SIGKILL, in seconds.
	Grace float64 `json:"grace"`
	// MaxAddressTTL is the longest time that callers cache a list of addresses, in seconds.
	MaxAddressTTL float64 `json:"hold"`
	Log           Log     `json:"log,omitempty"`
	// ApplyMS is the deadline for a configuration to take effect on all VMs, and DrainMS the deadline after which a leaving
	// instance gets no more requests, both in milliseconds.
	ApplyMS int `json:"apply"`
	DrainMS int `json:"drain"`
	// RateWindow is the time window over which customers' rates are measured, in seconds.
	RateWindow float64 `json:"window"`
	// Overage is the fraction of a customer's limit that may be exceeded within a window.
	Overage float64 `json:"overage"`
	// MetricsPort is the port of the metrics listener; zero means none.
	MetricsPort int `json:"metrics,omitempty"`
	// Answers is used only by the entry role.
	Answers Answers `json:"answers,omitempty"`
}

// Answers limits what an instance may send in answer to one request, in bytes; zero means the default.
type Answers struct {
	// Head limits the status line and header, with all informational responses before them; 32 KiB by default.
	Head int64 `json:"head,omitempty"`
	// Body limits an answer that is passed on once it is complete; 4 MiB by default.
	Body int64 `json:"body,omitempty"`
	// Event limits one event of a stream; 1 MiB by default.
	Event int64 `json:"event,omitempty"`
	// Output limits the data of all events of a turn that is kept; 1 MiB by default.
	Output int64 `json:"output,omitempty"`
}

// Listen holds the listening addresses of the entry role.
type Listen struct {
	Callers  chestnutcleat.Address `json:"callers"`
	Ready    chestnutcleat.Address `json:"ready"`
	Registry chestnutcleat.Address `json:"registry"`
}

// LoadRole reads and parses a settings file of a role.
func LoadRole(path string) (Role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Role{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseRole(path, data)
}

// ParseRole decodes and validates the settings of a role; the error lists every invalid field.
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
	checkOneOf(d, "role", r.Role, []string{RoleEntry, RoleStore})
	checkRequired(d, "domain", string(r.Domain), "the failure domain of this VM")
	checkRequired(d, "ip", r.IP, "the IP address of this VM")
	if len(r.Ports) != 2 || r.Ports[0] <= 0 || r.Ports[1] < r.Ports[0] {
		d.Add("ports", "expected the first and the last port for messages between VMs, found %v", r.Ports)
	}
	checkAddress(d, "platform", r.Platform)
	if r.Role == RoleEntry {
		checkAddress(d, "listen.callers", r.Listen.Callers)
		checkAddress(d, "listen.ready", r.Listen.Ready)
		checkAddress(d, "listen.registry", r.Listen.Registry)
	}
	if r.Role == RoleStore && !filepath.IsAbs(r.DataFolder) {
		d.Add("folder", "expected the absolute path of the data folder, found %q", r.DataFolder)
	}
	if r.DiskMB < 0 {
		d.Add("space", "expected at least 0 megabytes, found %d", r.DiskMB)
	}
	if r.Tolerance < 0 {
		d.Add("tolerance", "expected at least 0 storage VMs, found %d", r.Tolerance)
	}
	if r.MemoryMB <= 0 {
		d.Add("memory", "expected more than 0 megabytes, found %d", r.MemoryMB)
	}
	if r.Grace <= 0 {
		d.Add("grace", "expected more than 0 seconds, found %v", r.Grace)
	}
	if r.ApplyMS <= 0 {
		d.Add("apply", "expected more than 0 milliseconds, found %d", r.ApplyMS)
	}
	if r.DrainMS <= 0 {
		d.Add("drain", "expected more than 0 milliseconds, found %d", r.DrainMS)
	}
	if r.RateWindow <= 0 {
		d.Add("window", "expected more than 0 seconds, found %v", r.RateWindow)
	}
	if r.Overage < 0 {
		d.Add("overage", "expected a fraction of at least 0, found %v", r.Overage)
	}
	for field, limit := range map[string]int64{"head": r.Answers.Head, "body": r.Answers.Body, "event": r.Answers.Event, "output": r.Answers.Output} {
		if limit < 0 {
			d.Add("answers."+field, "expected at least 0 bytes, found %d", limit)
		}
	}
	checkOneOf(d, "log.level", r.Log.Level, levels)
	checkOneOf(d, "log.format", r.Log.Format, formats)
}

// Internal returns the address for messages between VMs.
func (r *Role) Internal() chestnutcleat.Address {
	return chestnutcleat.Address(fmt.Sprintf("%s:%d", r.IP, r.Ports[0]))
}
