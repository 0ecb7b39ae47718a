package e2e

import (
	"bytes"
	"errors"
	"os/exec"
)

// result is what a command printed and its exit code.
type result struct {
	code   int
	out    string
	errors string
}

// execute runs the command to its end.
func (f *fleet) execute(args ...string) result {
	f.t.Helper()
	var out, errs bytes.Buffer
	c := exec.CommandContext(f.t.Context(), command, args...)
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Fatal(err)
	}
	return result{code: c.ProcessState.ExitCode(), out: out.String(), errors: errs.String()}
}

// operate runs an operators' command against a VM.
func (f *fleet) operate(m *member, name string, args ...string) result {
	f.t.Helper()
	return f.execute(append([]string{name, "-operators", string(m.settings.Addresses.Operators), "-who", "ana"}, args...)...)
}
