package e2e

import (
	"bytes"
	"errors"
	"os/exec"
)

// result is the output and the exit code of a command.
type result struct {
	code   int
	stdout string
	stderr string
}

// runCommand runs the command until it ends.
func (f *fleet) runCommand(args ...string) result {
	f.t.Helper()
	var out, errs bytes.Buffer
	c := exec.CommandContext(f.t.Context(), binary, args...)
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Fatal(err)
	}
	return result{code: c.ProcessState.ExitCode(), stdout: out.String(), stderr: errs.String()}
}

// runOperatorCommand runs an operators' command against a VM.
func (f *fleet) runOperatorCommand(vm *vmProcess, name string, args ...string) result {
	f.t.Helper()
	return f.runCommand(append([]string{name, "-operators", string(vm.settings.Addresses.Operators), "-who", "ana"}, args...)...)
}
