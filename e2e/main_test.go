package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the chestnutcleat command under test.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the command and runs all tests with it.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutcleat-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "chestnutcleat")
	out, err := exec.Command("go", "build", "-o", binary, "chestnutcleat.example/chestnutcleat/cmd/chestnutcleat").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the command: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
