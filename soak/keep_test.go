package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Violations must outlive output that is cut: the lines of one that failed under load were lost.
func TestKeepViolations(t *testing.T) {
	is := is.New(t)
	const violations = 3 * maxResultLines
	r := &recorder{start: time.Now()}
	r.addAttempt(newAttempt("/check/p", 503))
	for i := range violations {
		r.addRunViolation(time.Second, "violation %d", i)
	}
	var out strings.Builder
	s := &Soak{Dir: t.TempDir(), Out: &out}
	is.True(s.report(r, &watchdog{dir: t.TempDir()}, nil) != nil)
	is.True(strings.Count(out.String(), "\n") < 2*maxResultLines)
	kept, err := os.ReadFile(filepath.Join(s.Dir, resultFile))
	is.NoErr(err)
	is.Equal(strings.Count(string(kept), "BROKEN"), violations)
	attempts, err := os.ReadFile(filepath.Join(s.Dir, attemptsFile))
	is.NoErr(err)
	is.True(strings.Contains(string(attempts), `"status":503`))
	_, err = ReadPlan(filepath.Join(s.Dir, planFile))
	is.NoErr(err)
}

// A delay of the machine must be reported with its time: a check that fails during one may show the machine.
func TestWatchdogReportsDelays(t *testing.T) {
	is := is.New(t)
	w := &watchdog{start: time.Now().Add(-2 * time.Second)}
	w.note(&w.syncs, time.Now().Add(-minStall/2))
	w.note(&w.syncs, time.Now().Add(-time.Second))
	lines := strings.Join(w.lines(), "\n")
	is.True(strings.Contains(lines, "0 wake-ups over"))
	is.True(strings.Contains(lines, fmt.Sprintf("1 syncs over %v, longest 1s", minStall)))
	is.True(strings.Contains(lines, "syncs held up from 1.0"))
}

// A VM that waits for a processor must be reported: a soak took such a wait for a VM that did not end a request.
func TestWatchdogReportsWaits(t *testing.T) {
	is := is.New(t)
	known := map[string]time.Duration{}
	if longestWait(known, os.Getpid()); len(known) == 0 {
		t.Skip("the kernel does not count waits of threads")
	}
	for file := range known {
		known[file] -= 3 * time.Second
	}
	w := &watchdog{start: time.Now()}
	longest := longestWait(known, os.Getpid())
	is.True(longest >= 3*time.Second)
	w.noteQueue("entry-4", longest)
	is.True(strings.Contains(strings.Join(w.lines(), "\n"), "1 waits of VMs for a processor"))
}
