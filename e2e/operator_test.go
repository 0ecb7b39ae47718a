package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// maxRevocationDelay is the time within which every VM must refuse a withdrawn key.
const maxRevocationDelay = 5 * time.Second

// Operators' scripts rely on exit codes, and on messages that name the cause.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	vm1, vm2, vm3 := f.vms[0], f.vms[1], f.vms[2]

	r := f.runCommand("check", f.manifestFile, vm1.settingsFile)
	is.Equal(r.code, 0)
	is.Equal(r.stdout, f.manifestFile+": ok\n"+vm1.settingsFile+": ok\n")

	invalid := f.writeJSON("invalid.json", map[string]any{"customers": []any{map[string]any{"id": "grower", "rate": -1, "burst": 1}}})
	for _, r := range []result{f.runCommand("check", invalid), f.runOperatorCommand(vm1, "apply", "-base", "1", invalid)} {
		is.Equal(r.code, 1)
		is.Equal(r.stdout, "")
		checkContains(t, r.stderr, invalid+":6: customers[0].rate: expected requests per second above 0")
	}

	r = f.runOperatorCommand(vm2, "apply", "-base", "1", f.manifestFile)
	is.Equal(r.code, 0)
	checkContains(t, r.stdout, "accepted as revision 2, change ")
	r = f.runOperatorCommand(vm3, "apply", "-base", "1", f.manifestFile)
	is.Equal(r.code, 1) // another operator changed revision 1
	checkContains(t, r.stderr, "revision-conflict", `the current revision is 2 by "ana"`)

	r = f.runOperatorCommand(vm3, "vms")
	is.Equal(r.code, 0)
	is.Equal(strings.Count(r.stdout, " live "), 3)
	checkContains(t, r.stdout, "vm1", "petrolina", string(vm2.settings.Addresses.Callers))

	f.checkKeyLifecycle(is)

	r = f.runOperatorCommand(vm2, "status")
	is.Equal(r.code, 0)
	checkContains(t, r.stdout, "1 customers, 3 upstreams, 2 routes", "\nready\n", "engine1", "engine2", "rota")

	r = f.runOperatorCommand(vm1, "drain", "vm9")
	is.Equal(r.code, 1)
	checkContains(t, r.stderr, "vm-unknown", `VM "vm9" is not a member of the fleet`)
	r = f.runOperatorCommand(vm1, "drain", "vm3")
	is.Equal(r.code, 0)
	is.Equal(r.stdout, "VM vm3 is shutting down\n")
	vm3.waitExit()

	eventually(t, waitTimeout, "the audit trail holds every change", func() bool {
		r = f.runOperatorCommand(vm2, "audit")
		return r.code == 0 && strings.Contains(r.stdout, "drain vm3")
	})
	for _, what := range []string{"manifest", "drain vm3", "ana"} {
		checkContains(t, r.stdout, what)
	}
	r = f.runOperatorCommand(vm2, "audit", "-time", "1999")
	is.Equal(r.code, 0)
	is.Equal(strings.Count(r.stdout, "\n"), 1) // the heading alone

	r = f.runOperatorCommand(vm3, "vms")
	is.Equal(r.code, 1) // the VM has ended
	checkContains(t, r.stderr, string(vm3.settings.Addresses.Operators))
}

// checkKeyLifecycle creates a key, gives it to a customer and withdraws it.
func (f *fleet) checkKeyLifecycle(is *is.I) {
	is.Helper()
	r := f.runCommand("key", "new")
	is.Equal(r.code, 0)
	var key, digest string
	_, err := fmt.Sscanf(r.stdout, "key %s\ndigest %s\n", &key, &digest)
	is.NoErr(err)
	is.Equal(digest, chestnutcleat.DigestOf([]byte(key)).String())

	r = f.runOperatorCommand(f.vms[0], "key", "-customer", "nobody", "give", digest)
	is.Equal(r.code, 1) // no such customer
	r = f.runOperatorCommand(f.vms[0], "key", "-customer", "grower", "give", digest)
	is.Equal(r.code, 0)
	is.Equal(r.stdout, "active  "+digest+"\n")
	for _, vm := range f.vms {
		eventually(f.t, waitTimeout, vm.name+" accepts the key", func() bool { return f.statusWithKey(vm, key) == http.StatusOK })
	}
	r = f.runOperatorCommand(f.vms[1], "key", "withdraw", digest)
	is.Equal(r.code, 0)
	is.Equal(r.stdout, "withdrawn  "+digest+"\n")
	deadline := time.Now().Add(maxRevocationDelay)
	for _, vm := range f.vms {
		eventually(f.t, time.Until(deadline), vm.name+" refuses the withdrawn key", func() bool { return f.statusWithKey(vm, key) == http.StatusUnauthorized })
	}
	r = f.runOperatorCommand(f.vms[0], "key", "-customer", "grower", "give", digest)
	is.Equal(r.code, 1) // withdrawing is final
}

// statusWithKey returns a VM's HTTP status for a request with the key, or 0 if the VM does not answer.
func (f *fleet) statusWithKey(vm *vmProcess, key string) int {
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+string(vm.settings.Addresses.Callers)+"/v1/vms", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func checkContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			t.Errorf("expected %q in:\n%s", p, text)
		}
	}
}

// The error of a command that is used wrongly must say what is missing.
func TestUsageErrors(t *testing.T) {
	f := &fleet{t: t, dir: t.TempDir()}
	missing := f.dir + "/missing.json"
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"serve without settings", []string{"serve"}, 2, "serve: flag -settings is missing"},
		{"serve with an argument", []string{"serve", missing}, 2, "serve: unexpected argument"},
		{"serve without the file", []string{"serve", "-settings", missing}, 1, missing},
		{"check without a file", []string{"check"}, 2, "check: no file is given"},
		{"check of an unknown kind", []string{"check", "-kind", "x", missing}, 2, `check: -kind "x": expected settings or manifest`},
		{"check of a missing file", []string{"check", missing}, 1, missing},
		{"apply without a file", []string{"apply"}, 2, "apply: expected one manifest file"},
		{"apply with a wrong base", []string{"apply", "-base", "x", missing}, 2, `apply: -base "x": expected a revision`},
		{"key without a verb", []string{"key"}, 2, "key: expected new, give or withdraw"},
		{"key give without a customer", []string{"key", "give", "d"}, 2, "key: give needs flag -customer"},
		{"key withdraw without a digest", []string{"key", "withdraw"}, 2, "key: withdraw takes one digest, found 0 arguments"},
		{"key withdraw of a malformed digest", []string{"key", "withdraw", "xyz"}, 2, `key: digest "xyz": digest has 3 characters, expected 64`},
		{"vms with an argument", []string{"vms", "x"}, 2, "vms: unexpected argument"},
		{"drain without a VM", []string{"drain"}, 2, "drain: expected one VM"},
		{"operators' command without a name", []string{"drain", "-who", "", "vm1"}, 2, "drain: flag -who is missing"},
		{"standin without a kind", []string{"standin"}, 2, "standin: expected platform, engine or service"},
		{"load without addresses", []string{"load"}, 2, "load: flag -vms is missing"},
		{"load without a key", []string{"load", "-vms", "127.0.0.1:1"}, 2, "load: flag -key is missing"},
		{"load without a model", []string{"load", "-vms", "127.0.0.1:1", "-key", missing}, 2, "load: flag -model is missing"},
		{"demo without VMs", []string{"demo", "-vms", "0"}, 2, "demo: -vms 0: expected at least 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fleet{t: t}
			r := f.runCommand(tt.args...)
			is.Equal(r.code, tt.code)
			is.Equal(r.stdout, "")
			checkContains(t, r.stderr, tt.want)
		})
	}
	if _, err := os.Stat(missing); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%s exists: %v", missing, err)
	}
}
