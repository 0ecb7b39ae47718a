package manifest

import (
	"fmt"
	"reflect"
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// maxDiffLines bounds the lines of a diff.
const maxDiffLines = 20

// Diff lists how another manifest differs from the current one, in at most maxDiffLines lines and a count of the rest.
func Diff(current, other chestnutcleat.Manifest) []string {
	list := diff("customer", current.Customers, other.Customers, func(c chestnutcleat.Customer) string { return string(c.ID) })
	list = append(list, diff("upstream", current.Upstreams, other.Upstreams, func(u chestnutcleat.Upstream) string { return string(u.ID) })...)
	list = append(list, diff("route", current.Routes, other.Routes, func(r chestnutcleat.Route) string { return string(r.Name) })...)
	if current.Limits != other.Limits {
		list = append(list, "limits differ")
	}
	if n := len(list); n > maxDiffLines {
		list = append(list[:maxDiffLines], fmt.Sprintf("and %d more", n-maxDiffLines))
	}
	return list
}

func diff[T any](what string, current, other []T, id func(T) string) []string {
	have := make(map[string]T, len(current))
	for _, c := range current {
		have[id(c)] = c
	}
	var list []string
	for _, o := range other {
		c, ok := have[id(o)]
		delete(have, id(o))
		switch {
		case !ok:
			list = append(list, fmt.Sprintf("%s %q is not in the current revision", what, id(o)))
		case !same(c, o):
			list = append(list, fmt.Sprintf("%s %q differs", what, id(o)))
		}
	}
	for k := range have {
		list = append(list, fmt.Sprintf("%s %q is only in the current revision", what, k))
	}
	slices.Sort(list)
	return list
}

// same compares two structs field by field; nil and empty slices are equal.
func same[T any](a, b T) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		f, g := x.Field(i), y.Field(i)
		if f.Kind() == reflect.Slice && f.Len() == 0 && g.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(f.Interface(), g.Interface()) {
			return false
		}
	}
	return true
}
