package main

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/operator"
)

const manifestText = `{"revision": 7, "customers": [{"id": "a", "rate": 5, "burst": 10}],
"upstreams": [{"id": "s", "kind": "service", "address": "10.0.0.1:80", "domain": "d", "slots": 1}],
"routes": [{"name": "pay", "kind": "service", "upstreams": ["s"], "repeatable": false}]}`

// apply must send the revision that the file was made from as its base. A wrong base overwrites another operator's change.
func TestApplySendsBase(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		base   string
		change string
	}{
		{"from the file", nil, "7", ""},
		{"from the flag", []string{"-base", "9", "-change", "c1"}, "9", "c1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got http.Header
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Header
				w.Write([]byte(`{"revision": 8}`))
			}))
			defer s.Close()
			name := filepath.Join(t.TempDir(), "manifest")
			is.NoErr(os.WriteFile(name, []byte(manifestText), 0o600))
			c := &applyCommand{}
			f := flag.NewFlagSet("apply", flag.ContinueOnError)
			c.SetFlags(f)
			args := append(tt.args, "-who", "op", "-operators", strings.TrimPrefix(s.URL, "http://"), name)
			is.NoErr(f.Parse(args))
			is.Equal(c.Execute(t.Context(), f), subcommands.ExitSuccess)
			is.Equal(got.Get("If-Match"), tt.base)
			is.Equal(got.Get(operator.HeaderChange), tt.change)
			is.Equal(got.Get(operator.HeaderOperator), "op")
		})
	}
}
