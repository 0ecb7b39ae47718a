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
	d.value(path, v, reflect.ValueOf(into).Elem())
}

// value decodes one value into dst and records its line.
func (d *Document) value(path string, v hujson.Value, dst reflect.Value) {
	d.lines[path] = d.lineAt(v.StartOffset)
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	_, text := dst.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case text:
		d.literal(path, v, dst, "a string")
	case dst.Kind() == reflect.Struct:
		d.object(path, v, dst)
	case dst.Kind() == reflect.Slice:
		d.array(path, v, dst)
	default:
		d.literal(path, v, dst, expected(dst.Kind()))
	}
}

func (d *Document) object(path string, v hujson.Value, dst reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "expected an object, found %s", found(v))
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
			d.value(field, m.Value, dst.Field(i))
		}
	}
}

// array decodes a list; null stands for an empty one, as Go programs write it.
func (d *Document) array(path string, v hujson.Value, dst reflect.Value) {
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == 'n' {
		return
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Add(path, "expected an array, found %s", found(v))
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, dst.Index(i))
	}
}

func (d *Document) literal(path string, v hujson.Value, dst reflect.Value, want string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() == 'n' || (want == "a string" && l.Kind() != '"') {
		d.Add(path, "expected %s, found %s", want, found(v))
		return
	}
	err := json.Unmarshal(l, dst.Addr().Interface())
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong):
		d.Add(path, "expected %s, found %s", want, found(v))
	case err != nil:
		d.Add(path, "%v", err)
	}
}

// fields holds the JSON names of a struct's fields and their indices.
type fields struct {
	names []string
	index map[string]int
}

// fieldsOf returns the fields of a struct, in which every field is exported and has a tag.
func (d *Document) fieldsOf(t reflect.Type) fields {
	if f, ok := d.fields[t]; ok {
		return f
	}
	f := fields{names: make([]string, t.NumField()), index: map[string]int{}}
	for i := range f.names {
		f.names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
		f.index[f.names[i]] = i
	}
	d.fields[t] = f
	return f
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func expected(k reflect.Kind) string {
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

// maxFound bounds the text of a found value in an error, so that a misplaced large value stays readable.
const maxFound = 40

func found(v hujson.Value) string {
	switch l := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(l) > maxFound {
			return string(l[:maxFound]) + "..."
		}
		return string(l)
	}
	return "nothing"
}
