package manifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

const sample = `{
  // Two customers.
  "customers": [
    {"id": "a", "rate": 5, "burst": 10, "keys": ["` + digestA + `"]},
    {"id": "b", "rate": 5, "burst": 10},
  ],
  "upstreams": [
    {"id": "e1", "kind": "engine", "address": "10.0.0.1:80", "domain": "d1", "models": ["m"], "slots": 6},
    {"id": "s1", "kind": "service", "address": "10.0.0.2:80", "domain": "d1", "slots": 6},
  ],
  "routes": [
    {"name": "chat", "kind": "engine", "model": "m", "upstreams": ["e1"], "repeatable": true},
    {"name": "pay", "kind": "service", "upstreams": ["s1"], "repeatable": false, "customers": ["a"]},
  ],
  "limits": {"tokens": 1000, "wall": "1h"},
}`

const digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// Each mistake in a manifest must be rejected with its line and field: an accepted one would reach every VM.
func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"duplicate customer", `"id": "b"`, `"id": "a"`, []string{`m:5: customers[1].id: expected a unique id, "a" is also customers[0]`}},
		{"duplicate key", `"id": "b",`, `"id": "b", "keys": ["` + digestA + `"],`, []string{`m:5: customers[1].keys[0]: expected a unique key, the digest is also customers[0].keys[0]`}},
		{"short digest", digestA, "aa", []string{`m:4: customers[0].keys[0]: digest has 2 characters, expected 64`}},
		{"rate", `"id": "b", "rate": 5, "burst": 10`, `"id": "b", "rate": 0, "burst": 0.5`,
			[]string{`m:5: customers[1].rate: expected requests per second above 0, found 0`, `m:5: customers[1].burst: expected at least 1 request, found 0.5`}},
		{"negative weight", `"id": "b",`, `"id": "b", "weight": -1,`, []string{`m:5: customers[1].weight: expected at least 0`}},
		{"unknown upstream", `["e1"]`, `["e1", "e2"]`, []string{`m:12: routes[0].upstreams[1]: expected the id of an upstream, found "e2"`}},
		{"upstream twice", `["e1"]`, `["e1", "e1"]`, []string{`m:12: routes[0].upstreams[1]: expected each upstream once`}},
		{"upstream of other kind", `["s1"]`, `["e1"]`, []string{`m:13: routes[1].upstreams[0]: expected an upstream of kind "service"`}},
		{"model not loaded", `"models": ["m"]`, `"models": ["n"]`, []string{`m:12: routes[0].upstreams[0]: expected an engine with model "m"`}},
		{"unknown customer", `["a"]},` + "\n  ]", `["c"]},` + "\n  ]", []string{`m:13: routes[1].customers[0]: expected the id of a customer, found "c"`}},
		{"address", `10.0.0.2:80`, `service:80`, []string{`m:9: upstreams[1].address: expected IP:port`}},
		{"version", `"domain": "d1", "models"`, `"domain": "d1", "version": "v2-rc.1", "models"`, nil},
		{"version with spaces", `"domain": "d1", "models"`, `"domain": "d1", "version": "v 2", "models"`, []string{`m:8: upstreams[0].version: expected at most 128 printable`}},
		{"repeatable missing", `, "repeatable": true`, ``, []string{`m:12: routes[0].repeatable: expected true or false`}},
		{"open and not repeatable", `"repeatable": false, "customers": ["a"]`, `"repeatable": false, "open": true`, []string{`m:13: routes[1].open: expected a repeatable route`}},
		{"unknown field", `"limits"`, `"limit"`, []string{`m:15: limit: unknown field`}},
		{"duration", `"1h"`, `"1"`, []string{`m:15: limits.wall: duration "1": expected a number with a unit`}},
		{"several", `"slots": 6},` + "\n    {\"id\": \"s1\"", `"slots": 0},` + "\n    {\"id\": \"s 1\"",
			[]string{`m:8: upstreams[0].slots: expected at least 1`, `m:9: upstreams[1].id: expected 1 to 128 printable characters`, `m:13: routes[1].upstreams[0]: expected the id of an upstream`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(sample, tt.old))
			_, err := Parse("m", []byte(strings.Replace(sample, tt.old, tt.new, 1)))
			var list document.Errors
			errors.As(err, &list)
			is.Equal(len(list), len(tt.want))
			for i, w := range tt.want {
				if !strings.HasPrefix(list[i].Error(), w) {
					t.Errorf("got  %s\nwant %s", list[i], w)
				}
			}
		})
	}
}

func largeManifest(customers int) chestnutcleat.Manifest {
	m, err := Parse("m", []byte(sample))
	if err != nil {
		panic(err)
	}
	for i := range customers {
		id := fmt.Sprintf("customer-%d", i)
		m.Customers = append(m.Customers, chestnutcleat.Customer{ID: chestnutcleat.CustomerID(id), Rate: 1, Burst: 1, Keys: []chestnutcleat.Digest{chestnutcleat.DigestOf([]byte(id))}})
	}
	return m
}

// A change of one customer of 5,000 must replace only one part, to stay within each VM's share of network traffic.
func TestSmallChangeReplacesOnePart(t *testing.T) {
	is := is.New(t)
	m := largeManifest(5000)
	before, err := split(m)
	is.NoErr(err)
	m.Customers[4000].Rate = 2
	after, err := split(m)
	is.NoErr(err)
	is.Equal(len(before), len(after))
	changed := 0
	for i := range before {
		is.True(len(before[i]) <= maxPartBytes)
		if string(before[i]) != string(after[i]) {
			changed++
		}
	}
	is.Equal(changed, 1)
	parts := map[chestnutcleat.Digest][]byte{}
	r := Root{Revision: 1, Limits: m.Limits}
	for _, p := range after {
		r.Parts = append(r.Parts, chestnutcleat.DigestOf(p))
		parts[chestnutcleat.DigestOf(p)] = p
	}
	back, err := join(r, parts)
	is.NoErr(err)
	is.Equal(Diff(m, back), nil)
}

// No input may cause a panic, and an accepted manifest must be the same after it is split into parts and joined.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"customers": [{"keys": [null, 1]}], "routes": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse("m", data)
		if err != nil {
			return
		}
		parts, err := split(m)
		if err != nil {
			t.Skip()
		}
		r := Root{Limits: m.Limits}
		have := map[chestnutcleat.Digest][]byte{}
		for _, p := range parts {
			r.Parts = append(r.Parts, chestnutcleat.DigestOf(p))
			have[chestnutcleat.DigestOf(p)] = p
		}
		back, err := join(r, have)
		if err != nil {
			t.Fatal(err)
		}
		if d := Diff(m, back); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

// The response to GET /manifest must be valid as the text of the next change.
func TestEncodedManifestIsValid(t *testing.T) {
	is := is.New(t)
	m := largeManifest(3)
	data, err := json.Marshal(m)
	is.NoErr(err)
	back, err := Parse("m", data)
	is.NoErr(err)
	is.Equal(Diff(m, back), nil)
}

func BenchmarkDeactivatedKeys5000(b *testing.B) {
	m := largeManifest(5000)
	v, next := NewView(m), NewView(m)
	b.ReportAllocs()
	for b.Loop() {
		if len(v.deactivatedKeys(next)) != 0 {
			b.Fatal("keys ended")
		}
	}
}

func BenchmarkParse5000(b *testing.B) {
	data, err := json.Marshal(largeManifest(5000))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Parse("m", data); err != nil {
			b.Fatal(err)
		}
	}
}
