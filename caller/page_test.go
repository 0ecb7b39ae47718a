package caller

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// docs/CALLERS.md must list every code that callers may get, with its status.
func TestPageListsEveryCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/CALLERS.md")
	is.NoErr(err)
	row := regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d{3})")
	seen := map[chestnutcleat.Code]bool{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		code := chestnutcleat.Code(m[1])
		seen[code] = true
		status, err := strconv.Atoi(m[2])
		is.NoErr(err)
		is.Equal(chestnutcleat.NewProblem(code, chestnutcleat.NotRun, "").Status, status)
	}
	for _, c := range codes(t) {
		if !seen[c] {
			t.Errorf("docs/CALLERS.md: code %q is missing", c)
		}
		delete(seen, c)
	}
	is.Equal(len(seen), 0) // codes on the page that callers never get
}

// codes parses the codes that callers may get from their declaration.
func codes(t *testing.T) []chestnutcleat.Code {
	t.Helper()
	source, err := os.ReadFile("../problem.go")
	if err != nil {
		t.Fatal(err)
	}
	block := regexp.MustCompile(`(?s)// Codes of problems that callers see\.\nconst \((.*?)\n\)`).FindSubmatch(source)
	if block == nil {
		t.Fatal("problem.go has no block of codes that callers see")
	}
	var list []chestnutcleat.Code
	for _, m := range regexp.MustCompile(`Code = "([a-z-]+)"`).FindAllSubmatch(block[1], -1) {
		list = append(list, chestnutcleat.Code(m[1]))
	}
	return list
}
