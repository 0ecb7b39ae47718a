package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The timeline of an id must include the lines of all processes, in order of time.
func TestExplain(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	var names []string
	for name, line := range map[string]string{
		"e1": `{"event":851,"msg":"answered","request":"r1","runs":1,"time":"2026-12-04T10:00:01.250Z","vm":"e1"}`,
		"e2": `{"event":852,"msg":"refused","code":"busy","program":"r1","time":"2026-12-04T10:00:01.100Z","vm":"e2"}`,
	} {
		path := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(path, []byte(line+"\n"), 0o600))
		names = append(names, path)
	}
	var b strings.Builder
	found, err := (&explainCommand{id: "r1"}).printTimeline(&b, names)
	is.NoErr(err)
	is.True(found)
	is.Equal(b.String(), `10:00:01.100 e2               852 refused code="busy" program="r1"
10:00:01.250 e1               851 answered request="r1" runs=1
`)
	found, err = (&explainCommand{id: "r2"}).printTimeline(&b, names)
	is.NoErr(err)
	is.True(!found)
	_, err = (&explainCommand{id: "r1"}).printTimeline(&b, []string{filepath.Join(folder, "missing")})
	is.True(err != nil)
}
