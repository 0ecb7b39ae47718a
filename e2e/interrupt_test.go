package e2e

import (
	"bytes"
	"syscall"
	"testing"
	"time"
)

// A second SIGTERM must end the process at once, with an exit status that tells operators that the shutdown was not graceful.
func TestSecondSignal(t *testing.T) {
	f := newFleet(t)
	p := f.vms[2].process
	p.signal(syscall.SIGTERM)
	eventually(t, waitTimeout, "the shutdown begins", func() bool { return bytes.Contains(p.output(), []byte("graceful shutdown started")) })
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end within %v", p.name, waitTimeout)
	}
	if p.err == nil {
		t.Errorf("%s ended with status 0 although its shutdown was interrupted", p.name)
	}
}
