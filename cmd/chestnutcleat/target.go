package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/operator"
)

const (
	defaultAddress = "127.0.0.1:8001"
	// commandTimeout is above the time after which a VM reports a change as unresolved.
	commandTimeout = 90 * time.Second
)

// target is the VM that a command is sent to, and the operator's name.
type target struct {
	address string
	who     string
}

// SetFlags adds the flags that the operators' commands share.
func (t *target) SetFlags(f *flag.FlagSet) {
	f.StringVar(&t.address, "operators", defaultAddress, "operators' address of any VM, as IP:port")
	f.StringVar(&t.who, "who", os.Getenv("USER"), "operator's name for the audit trail; by default $USER")
}

// named reports a change without the operator's name, which the audit trail needs.
func (t *target) named(c subcommands.Command) (s subcommands.ExitStatus, ok bool) {
	if t.who == "" {
		return misuse(c, "flag -who is missing: expected the operator's name for the audit trail"), false
	}
	return subcommands.ExitSuccess, true
}

func (t *target) client() *operator.Client {
	return &operator.Client{Address: chestnutcleat.Address(t.address), Who: t.who}
}

// run calls f within the command's time and reports its error.
func (t *target) run(ctx context.Context, f func(context.Context, *operator.Client) error) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return report(os.Stderr, f(ctx, t.client()))
}

// report prints an error with what the VM told about it.
func report(w io.Writer, err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(w, err)
	var p *operator.Problem
	if !errors.As(err, &p) {
		return subcommands.ExitFailure
	}
	for _, e := range p.Errors {
		fmt.Fprintln(w, e)
	}
	for _, d := range p.Diff {
		fmt.Fprintln(w, "  "+d)
	}
	if p.Change != "" {
		fmt.Fprintf(w, "repeat the command with -change %s\n", p.Change)
	}
	return subcommands.ExitFailure
}
