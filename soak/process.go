package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chestnutcleat.example/chestnutcleat/settings"
)

// restartTime is the time between the end of a process and its next start.
const restartTime = 300 * time.Millisecond

// process is a VM's program, which is started again whenever it ends.
type process struct {
	settings settings.Role
	program  string
	folder   string

	mu      sync.Mutex
	command *exec.Cmd
	ending  bool
	// wipe empties the disk before the next start.
	wipe  bool
	ended chan struct{}
}

func newProcess(program, folder string, s settings.Role) (*process, error) {
	p := &process{settings: s, program: program, folder: folder, ended: make(chan struct{})}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.file(".json"), data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", s.VM, err)
	}
	return p, nil
}

func (p *process) file(suffix string) string {
	return filepath.Join(p.folder, string(p.settings.VM)+suffix)
}

// run starts the process again and again until end is called; its lines go to a file.
func (p *process) run() error {
	defer close(p.ended)
	log, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.settings.VM, err)
	}
	defer log.Close()
	for {
		again, err := p.once(log)
		if err != nil || !again {
			return err
		}
		time.Sleep(restartTime)
	}
}

func (p *process) once(log io.Writer) (again bool, err error) {
	p.mu.Lock()
	if p.ending {
		p.mu.Unlock()
		return false, nil
	}
	if p.wipe {
		p.wipe = false
		if err := errors.Join(os.RemoveAll(p.settings.Folder), os.MkdirAll(p.settings.Folder, 0o700)); err != nil {
			p.mu.Unlock()
			return false, fmt.Errorf("empty disk of %s: %w", p.settings.VM, err)
		}
	}
	c := exec.Command(p.program, p.settings.Role, "-settings", p.file(".json"))
	c.Stdout, c.Stderr = log, log
	// The kernel ends the process if the soak dies without ending it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		p.mu.Unlock()
		return false, fmt.Errorf("start %s: %w", p.settings.VM, err)
	}
	p.command = c
	p.mu.Unlock()
	// How it ended is in its log; a process that a signal ended is what faults are for.
	_ = c.Wait()
	return true, nil
}

// signal sends a signal to the running process; one that has ended gets none.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// empty ends the process and lets it start with an empty disk.
func (p *process) empty() {
	p.mu.Lock()
	p.wipe = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// end ends the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.ending = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}
