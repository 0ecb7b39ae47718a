package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/document"
)

const validSettings = `{
  // The entry VM of casa-nova.
  "vm": "e1", "domain": "casa-nova", "region": "nordeste",
  "addresses": {"callers": "127.0.0.1:8000", "operators": "127.0.0.1:8001", "vms": "127.0.0.1:8002"},
  "platform": "http://127.0.0.1:8400",
  "seeds": ["127.0.0.1:9002"],
  "grace": "20s",
}`

// All errors must be reported at once, each with its line; otherwise an operator fixes them one start at a time.
func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"unknown field", `"grace"`, `"graze"`, []string{`s:7: graze: unknown field, expected one of vm,`}},
		{"repeated field", `"grace": "20s"`, `"vm": "e2"`, []string{`s:7: vm: field appears twice`}},
		{"wrong type", `"e1"`, `7`, []string{`s:3: vm: expected a string, found 7`}},
		{"host name", `"127.0.0.1:9002"`, `"localhost:9002"`, []string{`s:6: seeds[0]: expected IP:port`}},
		{"duration", `"20s"`, `"20"`, []string{`s:7: grace: duration "20": expected a number with a unit`}},
		{"missing", `"vm": "e1", `, ``, []string{`s:1: vm: expected the id of this VM, 1 to 64 letters`}},
		{"two at once", `"http://127.0.0.1:8400",`, `"127.0.0.1", "log": {"level": "loud"},`,
			[]string{`s:5: platform: expected the URL`, `s:5: log.level: expected one of debug, info, warning, error, found "loud"`}},
		{"same address", `127.0.0.1:8002`, `127.0.0.1:8000`, []string{`s:4: addresses.vms: expected an address of its own`}},
		{"syntax", `"region"`, `region`, []string{`s:3: expected JSON with comments`}},
		{"null", `"e1"`, `null`, []string{`s:3: vm: expected a string, found null`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("s", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			var list document.Errors
			errors.As(err, &list)
			is.Equal(len(list), len(tt.want))
			for i, w := range tt.want {
				is.True(strings.HasPrefix(list[i].Error(), w))
			}
		})
	}
}

// Malformed settings must not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"seeds": {}, "log": [1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("s", data)
		if err == nil && s.VM == "" {
			t.Fatal("settings without a VM id were accepted")
		}
	})
}
