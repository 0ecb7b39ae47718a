package e2e

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	// waitTimeout is how long to wait for a condition; it is long, as the machine may be busy.
	waitTimeout  = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a running process of the command; its output goes to a file.
type process struct {
	t       *testing.T
	name    string
	logFile string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// start starts the command. The process is killed at the end of the test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	f, err := os.CreateTemp(t.TempDir(), filepath.Base(name)+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p := &process{t: t, name: name, logFile: f.Name(), done: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	// The kernel kills the process if the test process dies without its cleanup.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("end of the output of %s:\n%s", name, p.tail())
		}
	})
	return p
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("send %v to %s: %v", s, p.name, err)
	}
}

// waitExit waits until the process has ended by itself, and fails the test unless its exit code is 0.
func (p *process) waitExit() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not end within %v", p.name, waitTimeout)
	}
	if p.err != nil {
		p.t.Fatalf("%s ended with %v", p.name, p.err)
	}
}

func (p *process) output() []byte {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		p.t.Errorf("read the output of %s: %v", p.name, err)
	}
	return data
}

// tail returns the last lines of the output.
func (p *process) tail() []byte {
	lines := bytes.Split(p.output(), []byte("\n"))
	return bytes.Join(lines[max(0, len(lines)-25):], []byte("\n"))
}

// eventually polls until the condition is true, and fails the test if it is not within the limit.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
	}
}
