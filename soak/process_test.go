package soak

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// A process that ends by itself, crashes at SIGTERM or runs beyond its grace period is a violation. The end after SIGKILL or in a graceful
// shutdown is not.
func TestCheckProcesses(t *testing.T) {
	paused := []Fault{{Kind: Pause, Target: "entry-1", At: chestnutcleat.Duration(10 * time.Second), Duration: chestnutcleat.Duration(20 * time.Second)}}
	for _, tt := range []struct {
		name   string
		exit   int
		killed bool
		// stopped is the time since SIGTERM; zero for none.
		stopped time.Duration
		faults  []Fault
		want    string
	}{
		{"killed", 1, true, 0, nil, ""},
		{"ended", 0, false, 0, nil, "entry-1 ended by itself"},
		{"crashed", 2, false, 0, nil, "entry-1 ended by itself"},
		{"stopped", 0, false, time.Second, nil, ""},
		{"crashed while it stopped", 2, false, time.Second, nil, "after SIGTERM"},
		{"stopped late", 0, false, 9 * time.Second, nil, "after SIGTERM"},
		{"stopped late and paused", 0, false, 9 * time.Second, paused, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cmd := exec.Command("sh", "-c", fmt.Sprint("exit ", tt.exit))
			// The exit status is part of the state.
			_ = cmd.Run()
			p := &process{killed: tt.killed}
			if tt.stopped > 0 {
				p.stoppedAt = time.Now().Add(-tt.stopped)
			}
			p.recordEnd(cmd.ProcessState)
			r := &recorder{start: time.Now().Add(-20 * time.Second)}
			r.checkProcesses(map[string]*process{"entry-1": p}, &Plan{Faults: tt.faults})
			violations := fmt.Sprint(r.violations)
			if tt.want == "" && violations != "[]" || !strings.Contains(violations, tt.want) {
				t.Errorf("found %s, expected %q", violations, tt.want)
			}
		})
	}
}
