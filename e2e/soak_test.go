package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// soakSeeds are short runs of the real programs under faults: all kinds, and planned work alone, which must cut no request.
var soakSeeds = []struct {
	seed  int
	kinds string
}{
	{1, ""},
	{101, "stop,reload,platform-down,platform-lost,platform-deaf,compact,change,withdraw,leave"},
}

// soakPlans are faults that once broke a promise, each with its cause.
var soakPlans = map[string]string{
	// Seed 104 of planned work: a second SIGTERM within the grace ended the process at once and cut its requests.
	"two stops": `{"seed": 104, "length": "24s", "faults": [
		{"at": "8s", "kind": "stop", "on": "entry-4"}, {"at": "8.1s", "kind": "stop", "on": "entry-4"}, {"at": "12s", "kind": "stop", "on": "entry-4"}]}`,
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

// Faults that broke a promise before must not do so again.
func TestSoakPlans(t *testing.T) {
	for name, plan := range soakPlans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playPlan(t, plan)
		})
	}
}

// A customer that uses its limit in a burst must not get a second limit in the same window as all processes are killed and start
// again: nobody knows then what was admitted before.
func TestSoakRateAfterKillAll(t *testing.T) {
	playPlan(t, `{"seed": 505, "length": "32s", "faults": [{"at": "17.86s", "kind": "kill-all"}]}`)
}

func playPlan(t *testing.T, plan string) {
	file := filepath.Join(t.TempDir(), "plan.json")
	if err := os.WriteFile(file, []byte(plan), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(command, "soak", "-plan", file).CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}
