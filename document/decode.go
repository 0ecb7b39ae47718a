package document

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

func decode(d *Document, path string, v hujson.Value, into any) {
	d.decodeValue(path, v, reflect.ValueOf(into).Elem())
}

// decodeValue decodes one value into dst and records its line.
func (d *Document) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	d.lines[path] = d.lineAt(v.StartOffset)
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	_, text := dst.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case text:
		d.decodeLiteral(path, v, dst, "a string")
	case dst.Kind() == reflect.Struct:
		d.decodeObject(path, v, dst)
	case dst.Kind() == reflect.Slice:
		d.decodeArray(path, v, dst)
	default:
		d.decodeLiteral(path, v, dst, expectedKind(dst.Kind()))
	}
}

func (d *Document) decodeObject(path string, v hujson.Value, dst reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "expected an object, found %s", describe(v))
		return
	}
	known := d.fieldsOf(dst.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		line := d.lineAt(m.Name.StartOffset)
		i, ok := known.index[name]
		switch {
		case !ok:
			d.addAt(line, field, "unknown field, expected one of %s", strings.Join(known.names, ", "))
		case seen[name]:
			d.addAt(line, field, "field appears twice, expected once")
		default:
			seen[name] = true
			d.decodeValue(field, m.Value, dst.Field(i))
		}
	}
}

// decodeArray decodes an array; null stands for an empty one, since Go programs encode a nil slice that way.
func (d *Document) decodeArray(path string, v hujson.Value, dst reflect.Value) {
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == 'n' {
		return
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Add(path, "expected an array, found %s", describe(v))
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, dst.Index(i))
	}
}

func (d *Document) decodeLiteral(path string, v hujson.Value, dst reflect.Value, want string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() == 'n' || (want == "a string" && l.Kind() != '"') {
		d.Add(path, "expected %s, found %s", want, describe(v))
		return
	}
	err := json.Unmarshal(l, dst.Addr().Interface())
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong):
		d.Add(path, "expected %s, found %s", want, describe(v))
	case err != nil:
		d.Add(path, "%v", err)
	}
}

// structFields holds the JSON names of a struct's fields and their indices.
type structFields struct {
	names []string
	index map[string]int
}

// fieldsOf returns the fields of a struct type; every field must be exported and have a JSON tag.
func (d *Document) fieldsOf(t reflect.Type) structFields {
	if f, ok := d.fieldsByType[t]; ok {
		return f
	}
	f := structFields{names: make([]string, t.NumField()), index: map[string]int{}}
	for i := range f.names {
		f.names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
		f.index[f.names[i]] = i
	}
	d.fieldsByType[t] = f
	return f
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func expectedKind(k reflect.Kind) string {
	switch {
	case k == reflect.String:
		return "a string"
	case k == reflect.Bool:
		return "true or false"
	case k >= reflect.Uint && k <= reflect.Uint64:
		return "a whole number of at least 0"
	case k >= reflect.Int && k <= reflect.Int64:
		return "a whole number"
	}
	return "a number"
}

// maxDescribedBytes bounds the length of a value quoted in an error, so that errors about large values stay readable.
const maxDescribedBytes = 40

func describe(v hujson.Value) string {
	switch l := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(l) > maxDescribedBytes {
			return string(l[:maxDescribedBytes]) + "..."
		}
		return string(l)
	}
	return "nothing"
}
