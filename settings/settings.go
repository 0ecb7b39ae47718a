package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// DefaultGrace is the default time limit of a graceful shutdown.
const DefaultGrace = 30 * time.Second

// Settings holds the settings of one process of chestnutcleat serve.
type Settings struct {
	VM        chestnutcleat.VMID          `json:"vm"`
	Domain    chestnutcleat.FailureDomain `json:"domain"`
	Region    chestnutcleat.Region        `json:"region"`
	Addresses Addresses                   `json:"addresses"`
	// Platform is the URL of the platform's object API.
	Platform string `json:"platform"`
	// Seeds are addresses of other VMs, used if the platform is down at the start.
	Seeds []chestnutcleat.Address `json:"seeds,omitempty"`
	// DataFolder is the data folder of a VM with a disk; empty means no disk.
	DataFolder string `json:"folder,omitempty"`
	Log        Log    `json:"log,omitempty"`
	// Grace is the time limit of a graceful shutdown; requests still in progress after it are cut off.
	Grace chestnutcleat.Duration `json:"grace,omitempty"`
}

// Addresses holds the listening addresses of a process.
type Addresses struct {
	Callers   chestnutcleat.Address `json:"callers"`
	Operators chestnutcleat.Address `json:"operators"`
	VMs       chestnutcleat.Address `json:"vms"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warning or error.
	Level string `json:"level,omitempty"`
	// Format is json or text.
	Format string `json:"format,omitempty"`
}

// vmPattern is the syntax of VM ids, which become part of object names.
var vmPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

var (
	levels  = []string{"debug", "info", "warning", "error"}
	formats = []string{"json", "text"}
)

// Load reads a settings file; its error is a document.Errors with every invalid field, or an error of reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates settings; file is the name of the source in errors.
func Parse(file string, data []byte) (Settings, error) {
	s, d := document.Decode[Settings](file, data)
	s.setDefaults()
	s.validate(d)
	return s, d.Err()
}

func (s *Settings) setDefaults() {
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
	s.Grace = chestnutcleat.Duration(s.Grace.OrDefault(DefaultGrace))
}

func (s *Settings) validate(d *document.Document) {
	if d.Malformed() {
		return
	}
	if !vmPattern.MatchString(string(s.VM)) {
		d.Add("vm", "expected the id of this VM, 1 to 64 letters, digits, '.', '_' or '-', found %q", s.VM)
	}
	checkRequired(d, "domain", string(s.Domain), "the failure domain of this VM")
	checkRequired(d, "region", string(s.Region), "the region of this VM")
	checkAddress(d, "addresses.callers", s.Addresses.Callers)
	checkAddress(d, "addresses.operators", s.Addresses.Operators)
	checkAddress(d, "addresses.vms", s.Addresses.VMs)
	s.checkDistinct(d)
	if u, err := url.Parse(s.Platform); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		d.Add("platform", "expected the URL of the platform, such as \"http://10.0.0.9:8400\", found %q", s.Platform)
	}
	for i, a := range s.Seeds {
		checkAddress(d, fmt.Sprintf("seeds[%d]", i), a)
	}
	if s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		d.Add("folder", "expected an absolute path, found %q", s.DataFolder)
	}
	checkOneOf(d, "log.level", s.Log.Level, levels)
	checkOneOf(d, "log.format", s.Log.Format, formats)
	if s.Grace < 0 {
		d.Add("grace", "expected a duration above 0, found %q", time.Duration(s.Grace))
	}
}

// checkDistinct checks that no two listeners share an address; port 0 is exempt, because the system chooses the port.
func (s *Settings) checkDistinct(d *document.Document) {
	a := s.Addresses
	same := func(x, y chestnutcleat.Address) bool { return x != "" && x == y && !strings.HasSuffix(string(x), ":0") }
	if same(a.Operators, a.Callers) {
		d.Add("addresses.operators", "expected another address than addresses.callers, found %q", a.Operators)
	}
	if same(a.VMs, a.Callers) || same(a.VMs, a.Operators) {
		d.Add("addresses.vms", "expected an address of its own, found %q", a.VMs)
	}
}

func checkRequired(d *document.Document, field, value, what string) {
	if value == "" {
		d.Add(field, "expected %s, found nothing", what)
	}
}

func checkAddress(d *document.Document, field string, a chestnutcleat.Address) {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		d.Add(field, "expected IP:port, such as \"10.0.0.1:8000\", found %q", a)
	}
}

func checkOneOf(d *document.Document, field, value string, list []string) {
	if !slices.Contains(list, value) {
		d.Add(field, "expected one of %s, found %q", strings.Join(list, ", "), value)
	}
}
