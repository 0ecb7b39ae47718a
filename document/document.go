package document

import (
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Document holds the line of each field of a decoded document, and the errors found in it.
type Document struct {
	File   string
	Errors Errors

	newlineOffsets []int
	lines          map[string]int
	hasError       map[string]bool
	fieldsByType   map[reflect.Type]structFields
}

// Decode strictly decodes JSON with comments: unknown fields, repeated fields and wrong types are recorded as errors.
func Decode[T any](file string, data []byte) (T, *Document) {
	var v T
	d := &Document{File: file, lines: map[string]int{}, hasError: map[string]bool{}, fieldsByType: map[reflect.Type]structFields{}}
	for i, c := range data {
		if c == '\n' {
			d.newlineOffsets = append(d.newlineOffsets, i)
		}
	}
	if i := tooDeepOffset(data); i >= 0 {
		d.addAt(d.lineAt(i), "", "expected at most %d nested objects and arrays", maxNesting)
		return v, d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return v, d
	}
	decode(d, "", root, &v)
	return v, d
}

var syntaxPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (d *Document) addSyntaxError(err error) {
	m := syntaxPattern.FindStringSubmatch(err.Error())
	if m == nil {
		d.addAt(1, "", "expected JSON with comments: %v", err)
		return
	}
	line, _ := strconv.Atoi(m[1])
	d.addAt(line, "", "expected JSON with comments: column %s: %s", m[2], m[3])
}

// Add records an error of a field at the field's line, or at its parent's line if the field is missing.
// Only the first error of a field is kept, since later ones follow from it.
func (d *Document) Add(field, format string, args ...any) {
	d.addAt(d.Line(field), field, format, args...)
}

// Malformed reports whether the document as a whole is invalid, so that nothing was decoded.
func (d *Document) Malformed() bool { return d.hasError[""] }

func (d *Document) addAt(line int, field, format string, args ...any) {
	if d.hasError[field] {
		return
	}
	d.hasError[field] = true
	d.Errors = append(d.Errors, &Error{File: d.File, Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// Line returns the line of a field, or of its closest parent that is present.
func (d *Document) Line(field string) int {
	for field != "" {
		if l, ok := d.lines[field]; ok {
			return l
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return max(d.lines[""], 1)
}

// Has reports whether a field is present.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Err returns all errors sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.Errors) == 0 {
		return nil
	}
	sort.SliceStable(d.Errors, func(i, j int) bool { return d.Errors[i].Line < d.Errors[j].Line })
	return d.Errors
}

func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.newlineOffsets, offset) + 1
}
