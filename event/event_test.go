package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

const page = "../docs/EVENTS.md"

// tableRow matches one row of the tables of the page.
var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (\w+) \| (.*) \| (.*) \|$`)

// The page must describe each event exactly as the catalogue does, as operators look up what to do there.
func TestPage(t *testing.T) {
	is := is.New(t)
	names := eventNames(t)
	is.Equal(len(names), len(catalogue)) // one name for each event
	data, err := os.ReadFile(page)
	is.NoErr(err)
	seen := map[chestnutcleat.EventID]bool{}
	for _, m := range tableRow.FindAllStringSubmatch(string(data), -1) {
		n, err := strconv.Atoi(m[1])
		is.NoErr(err)
		id := chestnutcleat.EventID(n)
		e, ok := Lookup(id)
		if !ok || seen[id] {
			t.Errorf("%s: event %d is not in the code or occurs twice", page, id)
			continue
		}
		seen[id] = true
		action := e.Action
		if action == "" {
			action = "-"
		}
		is.Equal(m[2:], []string{names[id], string(e.Severity), e.Text, action})
	}
	for id := range catalogue {
		if !seen[id] {
			t.Errorf("%s: event %d (%s) is missing", page, id, names[id])
		}
	}
}

// Each warning and error must tell the operator what to do.
func TestActions(t *testing.T) {
	for id, e := range All() {
		if e.Severity != Info && e.Action == "" {
			t.Errorf("event %d has severity %s and no action", id, e.Severity)
		}
	}
}

// Each event must be emitted outside this package: operators would expect one that never occurs.
func TestEveryEventIsUsed(t *testing.T) {
	used := usedNames(t)
	for id, name := range eventNames(t) {
		if !used[name] {
			t.Errorf("event %d (%s) is not used outside this package", id, name)
		}
	}
}

// eventNames returns the names of the events by number, parsed from the calls of add.
func eventNames(t *testing.T) map[chestnutcleat.EventID]string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[chestnutcleat.EventID]string{}
	for _, f := range files {
		ast.Inspect(parse(t, f), func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Values) != 1 {
				return true
			}
			c, ok := v.Values[0].(*ast.CallExpr)
			if !ok || len(c.Args) != 4 {
				return true
			}
			if f, ok := c.Fun.(*ast.Ident); !ok || f.Name != "add" {
				return true
			}
			id, err := strconv.Atoi(c.Args[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			names[chestnutcleat.EventID(id)] = v.Names[0].Name
			return true
		})
	}
	return names
}

// usedNames returns the names of package event that are used in other packages, except in tests.
func usedNames(t *testing.T) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		ast.Inspect(parse(t, path), func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "event" {
				used[s.Sel.Name] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return used
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return f
}
