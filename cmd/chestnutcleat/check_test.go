package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// check must detect the kind of each file. With the wrong kind, it reports every field of a valid file as unknown.
func TestCheckNamesFieldAndLine(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"settings", "{\n  \"vm\": \"e1\",\n  \"platfrom\": \"x\"\n}", ":3: platfrom: unknown field, expected one of vm,"},
		{"manifest", "{\n  \"customers\": [\n    {\"id\": \"a\", \"rate\": 0, \"burst\": 1}\n  ]\n}", ":3: customers[0].rate: expected requests per second above 0"},
		{"role", "{\n  \"role\": \"entry\",\n  \"ports\": [7, 3]\n}", ":3: ports: expected the first and the last port for messages between VMs"},
		{"malformed", "{\n  customers\n}", ":2: expected JSON with comments"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			name := filepath.Join(t.TempDir(), tt.name)
			is.NoErr(os.WriteFile(name, []byte(tt.text), 0o600))
			err := (&checkCommand{}).checkFile(name)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), name+tt.want))
		})
	}
}
