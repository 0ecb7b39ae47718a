package e2e

import (
	"fmt"
	"os/exec"
	"testing"
)

// soakSeeds are short runs of the real programs under faults: all kinds, and planned work alone, which must cut no request.
var soakSeeds = []struct {
	seed  int
	kinds string
}{
	{1, ""},
	{101, "stop,reload,platform-down,platform-lost,platform-deaf,compact"},
}

// Real processes under faults from outside must keep what callers and instances can see of their promises; `chestnutcleat soak`
// plays more and longer runs.
func TestSoak(t *testing.T) {
	for _, tt := range soakSeeds {
		t.Run(fmt.Sprint("seed ", tt.seed), func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(command, "soak", "-seed", fmt.Sprint(tt.seed), "-for", "24s", "-kinds", tt.kinds).CombinedOutput()
			if err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}
