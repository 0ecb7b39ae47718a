package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// command is the path of the built command.
var command string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the command once for all tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutcleat-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	command = filepath.Join(dir, "chestnutcleat")
	out, err := exec.Command("go", "build", "-o", command, "chestnutcleat.example/chestnutcleat/cmd/chestnutcleat").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the command: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
