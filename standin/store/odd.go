package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// nestingLevels is more than decoders of JSON accept, and longTextBytes more than any entry needs.
	nestingLevels = 20_000
	longTextBytes = 1 << 20
)

// soundMembers are the members of the spec of a sound instance.
const soundMembers = `"service":"tool","address":"10.0.0.9:80","zone":"a","version":"v1","slots":6,"state":"ready","born":1,"sequence":1`

// Kinds returns the kinds of objects that the platform holds for a deployment.
func Kinds() []string { return []string{"servers", "config", "fleet", "retirements"} }

// OddEntries returns entries as another writer may leave them, by what is odd about them. Each is the JSON of a whole object, in which
// NAME and REVISION stand for its name and revision.
func OddEntries() map[string]string {
	nested := strings.Repeat("[", nestingLevels) + strings.Repeat("]", nestingLevels)
	entries := map[string]string{
		"no metadata":               `{"spec":{}}`,
		"metadata is a number":      `{"metadata":7,"spec":{}}`,
		"metadata is null":          `{"metadata":null,"spec":{}}`,
		"metadata nested too deep":  `{"metadata":` + nested + `,"spec":{}}`,
		"name is a number":          `{"metadata":{"name":7,"revision":REVISION},"spec":{}}`,
		"name nested too deep":      `{"metadata":{"name":` + nested + `,"revision":REVISION},"spec":{}}`,
		"revision is a text":        `{"metadata":{"name":"NAME","revision":"REVISION"},"spec":{}}`,
		"revision is too large":     `{"metadata":{"name":"NAME","revision":1e999999},"spec":{}}`,
		"revision beyond 64 bits":   `{"metadata":{"name":"NAME","revision":18446744073709551616},"spec":{}}`,
		"deleting is a text":        `{"metadata":{"name":"NAME","revision":REVISION,"deleting":"no"},"spec":{}}`,
		"null":                      `null`,
		"a number":                  `7`,
		"a text":                    `"NAME"`,
		"an array":                  `[{"metadata":{"name":"NAME","revision":REVISION}}]`,
		"nested too deep":           nested,
		"spec nested too deep":      `{"metadata":{"name":"NAME","revision":REVISION},"spec":` + nested + `}`,
		"spec is missing":           `{"metadata":{"name":"NAME","revision":REVISION}}`,
		"spec is null":              `{"metadata":{"name":"NAME","revision":REVISION},"spec":null}`,
		"spec is no JSON":           `{"metadata":{"name":"NAME","revision":REVISION},"spec":{"a":[}]}`,
		"spec has a broken literal": `{"metadata":{"name":"NAME","revision":REVISION},"spec":{"a":tru}}`,
		"spec of a megabyte":        `{"metadata":{"name":"NAME","revision":REVISION},"spec":{"service":"` + strings.Repeat("x", longTextBytes) + `"}}`,
		"invalid UTF-8":             "{\"metadata\":{\"name\":\"NAME\",\"revision\":REVISION},\"spec\":{\"service\":\"\xff\",\"\xfe\":\"\xc0\"}}",
	}
	for name, member := range map[string]string{
		"port out of range":        `"address":"10.0.0.9:70000"`,
		"port zero":                `"address":"10.0.0.9:0"`,
		"address of no host":       `"address":"0.0.0.0:80"`,
		"address is a number":      `"address":10`,
		"slots are too many":       `"slots":1e999999`,
		"slots are far too many":   `"slots":4611686018427387904`,
		"slots are negative":       `"slots":-1`,
		"born is too large":        `"born":100000000000000000000`,
		"sequence is too large":    `"sequence":1e999999`,
		"state is not known":       `"state":"asleep"`,
		"version is null":          `"version":null`,
		"service is missing":       `"service":""`,
		"a member nested too deep": `"extra":` + nested,
	} {
		// The last of several members of a name counts.
		entries[name] = `{"metadata":{"name":"NAME","revision":REVISION},"spec":{` + soundMembers + `,` + member + `}}`
	}
	return entries
}

// SetEntry writes an object as the given JSON, which the store does not check, and returns its revision. NAME and REVISION in it stand
// for its name and revision.
func (s *Store) SetEntry(kind, name, entry string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec, o.entry = name, nil, entry
	return s.write(kind, o).Metadata.Revision
}

// encoded returns the JSON of the object.
func (o *Object) encoded() []byte {
	if o.entry != "" {
		return []byte(strings.NewReplacer("NAME", o.Metadata.Name, "REVISION", fmt.Sprint(o.Metadata.Revision)).Replace(o.entry))
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return data
}

// writeList writes an answer with a list under the given name and the other members of the answer, all of them JSON already: an encoder
// would reject odd entries.
func writeList(w http.ResponseWriter, name string, list [][]byte, others string) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client disconnected.
	_, _ = io.WriteString(w, `{"`+name+`":[`+string(bytes.Join(list, []byte(",")))+`],`+others+`}`)
}
