package event

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	testName     = regexp.MustCompile("`([a-z]+)\\.((?:Test|Fuzz)[A-Za-z0-9]+)`")
	testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9]+)\(`)
)

// The promises page must not name tests that were renamed or removed: such a promise would look tested but is not.
func TestPromisesNameTests(t *testing.T) {
	is := is.New(t)
	known := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name := filepath.Base(filepath.Dir(path))
		if filepath.Dir(path) == ".." {
			name = "chestnutcleat"
		}
		if strings.HasPrefix(path, filepath.Join("..", "standin")) {
			name = "standin" + name
		}
		for _, m := range testFunction.FindAllSubmatch(data, -1) {
			known[name+"."+string(m[1])] = true
		}
		return nil
	})
	is.NoErr(err)
	page, err := os.ReadFile("../docs/PROMISES.md")
	is.NoErr(err)
	named := testName.FindAllSubmatch(page, -1)
	is.True(len(named) > 0)
	for _, m := range named {
		if name := string(m[1]) + "." + string(m[2]); !known[name] {
			t.Errorf("docs/PROMISES.md names %s, which does not exist", name)
		}
	}
}
