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

// revoked is the time within which a withdrawn key must have stopped everywhere.
const revoked = 5 * time.Second

// Operators' scripts rely on exit codes and on the text that names the fault.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	vm1, vm2, vm3 := f.vms[0], f.vms[1], f.vms[2]

	r := f.execute("check", f.manifest, vm1.file)
	is.Equal(r.code, 0)
	is.Equal(r.out, f.manifest+": ok\n"+vm1.file+": ok\n")

	invalid := f.write("invalid.json", map[string]any{"customers": []any{map[string]any{"id": "grower", "rate": -1, "burst": 1}}})
	for _, r := range []result{f.execute("check", invalid), f.operate(vm1, "apply", "-base", "1", invalid)} {
		is.Equal(r.code, 1)
		is.Equal(r.out, "")
		contains(t, r.errors, invalid+":6: customers[0].rate: expected requests per second above 0")
	}

	r = f.operate(vm2, "apply", "-base", "1", f.manifest)
	is.Equal(r.code, 0)
	contains(t, r.out, "accepted as revision 2, change ")
	r = f.operate(vm3, "apply", "-base", "1", f.manifest)
	is.Equal(r.code, 1) // another operator changed revision 1
	contains(t, r.errors, "revision-conflict", `the current revision is 2 by "ana"`)

	r = f.operate(vm3, "vms")
	is.Equal(r.code, 0)
	is.Equal(strings.Count(r.out, " live "), 3)
	contains(t, r.out, "vm1", "petrolina", string(vm2.settings.Addresses.Callers))

	f.keys(is)

	r = f.operate(vm2, "status")
	is.Equal(r.code, 0)
	contains(t, r.out, "1 customers, 3 upstreams, 2 routes", "\nready\n", "engine1", "engine2", "rota")

	r = f.operate(vm1, "drain", "vm9")
	is.Equal(r.code, 1)
	contains(t, r.errors, "vm-unknown", `VM "vm9" is not a member of the fleet`)
	r = f.operate(vm1, "drain", "vm3")
	is.Equal(r.code, 0)
	is.Equal(r.out, "VM vm3 is shutting down\n")
	vm3.exited()

	eventually(t, bound, "the audit trail holds every change", func() bool {
		r = f.operate(vm2, "audit")
		return r.code == 0 && strings.Contains(r.out, "drain vm3")
	})
	for _, what := range []string{"manifest", "drain vm3", "ana"} {
		contains(t, r.out, what)
	}
	r = f.operate(vm2, "audit", "-time", "1999")
	is.Equal(r.code, 0)
	is.Equal(strings.Count(r.out, "\n"), 1) // the heading alone

	r = f.operate(vm3, "vms")
	is.Equal(r.code, 1) // the VM has ended
	contains(t, r.errors, string(vm3.settings.Addresses.Operators))
}

// keys makes a key, gives it to the customer, and withdraws it.
func (f *fleet) keys(is *is.I) {
	is.Helper()
	r := f.execute("key", "new")
	is.Equal(r.code, 0)
	var key, digest string
	_, err := fmt.Sscanf(r.out, "key %s\ndigest %s\n", &key, &digest)
	is.NoErr(err)
	is.Equal(digest, chestnutcleat.DigestOf([]byte(key)).String())

	r = f.operate(f.vms[0], "key", "-customer", "nobody", "give", digest)
	is.Equal(r.code, 1) // no such customer
	r = f.operate(f.vms[0], "key", "-customer", "grower", "give", digest)
	is.Equal(r.code, 0)
	is.Equal(r.out, "active  "+digest+"\n")
	for _, m := range f.vms {
		eventually(f.t, bound, m.name+" accepts the key", func() bool { return f.status(m, key) == http.StatusOK })
	}
	r = f.operate(f.vms[1], "key", "withdraw", digest)
	is.Equal(r.code, 0)
	is.Equal(r.out, "withdrawn  "+digest+"\n")
	end := time.Now().Add(revoked)
	for _, m := range f.vms {
		eventually(f.t, time.Until(end), m.name+" refuses the withdrawn key", func() bool { return f.status(m, key) == http.StatusUnauthorized })
	}
	r = f.operate(f.vms[0], "key", "-customer", "grower", "give", digest)
	is.Equal(r.code, 1) // withdrawing is final
}

// status returns the status that a VM answers a request with the key with; 0 if it does not answer.
func (f *fleet) status(m *member, key string) int {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+string(m.settings.Addresses.Callers)+"/v1/vms", nil)
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+key)
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	p.Body.Close()
	return p.StatusCode
}

func contains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			t.Errorf("expected %q in:\n%s", p, text)
		}
	}
}

// A command that is used wrongly must say what is missing.
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
			r := f.execute(tt.args...)
			is.Equal(r.code, tt.code)
			is.Equal(r.out, "")
			contains(t, r.errors, tt.want)
		})
	}
	if _, err := os.Stat(missing); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%s exists: %v", missing, err)
	}
}
