package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat/settings"
)

const (
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// maxStopTime is how long after SIGTERM a process may run.
	maxStopTime = (graceSeconds + 1) * time.Second
	// exitCrashed is the exit status of a process that ended with a panic.
	exitCrashed = 2
)

// process runs a VM's process and starts it again whenever it ends.
type process struct {
	settings settings.Role
	binary   string
	dir      string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// wipePending requests an empty disk for the next start.
	wipePending bool
	// starts are the times at which the process was started.
	starts []time.Time
	// killed is set if the running process was sent SIGKILL, and stoppedAt is when it was first sent SIGTERM.
	killed    bool
	stoppedAt time.Time
	// oddEnds are the ends that no signal explains.
	oddEnds []oddEnd
	done    chan struct{}
}

func newProcess(binary, dir string, s settings.Role) (*process, error) {
	p := &process{settings: s, binary: binary, dir: dir, done: make(chan struct{})}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.path(".json"), data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", s.VM, err)
	}
	return p, nil
}

func (p *process) path(suffix string) string {
	return filepath.Join(p.dir, string(p.settings.VM)+suffix)
}

// run starts the process again and again until stop is called; its output goes to a log file.
func (p *process) run() error {
	defer close(p.done)
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.settings.VM, err)
	}
	defer log.Close()
	for {
		restart, err := p.runOnce(log)
		if err != nil || !restart {
			return err
		}
		time.Sleep(restartDelay)
	}
}

func (p *process) runOnce(log io.Writer) (restart bool, err error) {
	p.mu.Lock()
	if p.stopping {
		p.mu.Unlock()
		return false, nil
	}
	if p.wipePending {
		p.wipePending = false
		if err := errors.Join(os.RemoveAll(p.settings.DataFolder), os.MkdirAll(p.settings.DataFolder, 0o700)); err != nil {
			p.mu.Unlock()
			return false, fmt.Errorf("wipe disk of %s: %w", p.settings.VM, err)
		}
	}
	cmd := exec.Command(p.binary, p.settings.Role, "-settings", p.path(".json"))
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process if the soak command dies without stopping it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		return false, fmt.Errorf("start %s: %w", p.settings.VM, err)
	}
	p.cmd = cmd
	p.starts = append(p.starts, time.Now())
	p.killed, p.stoppedAt = false, time.Time{}
	p.mu.Unlock()
	// The error is ignored: faults end the process on purpose, and recordEnd looks at its state.
	_ = cmd.Wait()
	p.recordEnd(cmd.ProcessState)
	return true, nil
}

// oddEnd is the end of a process that no signal explains.
type oddEnd struct {
	// at is the time of the end, and stoppedAt that of the SIGTERM before it, if any.
	at, stoppedAt time.Time
	state         string
}

// recordEnd records the end of the process if it was sent no signal to end, if it failed at SIGTERM, or if it ran beyond its grace period.
func (p *process) recordEnd(state *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	graceful := !p.stoppedAt.IsZero() && state.Exited() && state.ExitCode() != exitCrashed && now.Sub(p.stoppedAt) < maxStopTime
	if !p.killed && !graceful {
		p.oddEnds = append(p.oddEnds, oddEnd{at: now, stoppedAt: p.stoppedAt, state: state.String()})
	}
}

// signal sends a signal to the process, or does nothing if it has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == syscall.SIGKILL:
		p.killed = true
	case s == syscall.SIGTERM && p.stoppedAt.IsZero():
		p.stoppedAt = time.Now()
	}
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// pid returns the id of the process that was started last, or 0 before the first start.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// peakMemory returns the peak resident memory of the running process in bytes, from its metrics.
func (p *process) peakMemory(ctx context.Context) (int64, error) {
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.MetricsPort))
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), peakMemoryMetric); ok {
			return strconv.ParseInt(value, 10, 64)
		}
	}
	return 0, errors.Join(fmt.Errorf("metric %s is missing", peakMemoryMetric), lines.Err())
}

// wipeDisk kills the process and empties its disk before the next start.
func (p *process) wipeDisk() {
	p.mu.Lock()
	p.wipePending = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// checkProcesses finds processes that ended by themselves, or ran beyond their grace period without being paused.
func (r *recorder) checkProcesses(processes map[string]*process, p *Plan) {
	for id, proc := range processes {
		for _, e := range proc.oddEnds {
			at := e.at.Sub(r.start)
			switch {
			case e.stoppedAt.IsZero():
				r.addRunViolation(at, "%s ended by itself: %s", id, e.state)
			case !p.pauses(id, e.stoppedAt.Sub(r.start), at):
				r.addRunViolation(at, "%s ended %v after SIGTERM: %s", id, e.at.Sub(e.stoppedAt), e.state)
			}
		}
	}
}
