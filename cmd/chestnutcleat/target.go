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
	// commandTimeout is longer than the time after which a VM reports the outcome of a change as unknown.
	commandTimeout = 90 * time.Second
)

// operatorTarget holds the flags that operators' commands share: the VM to send to, and the operator's name.
type operatorTarget struct {
	address      string
	operatorName string
}

// SetFlags adds the flags to f.
func (t *operatorTarget) SetFlags(f *flag.FlagSet) {
	f.StringVar(&t.address, "operators", defaultAddress, "operators' address of any VM, as IP:port")
	f.StringVar(&t.operatorName, "who", os.Getenv("USER"), "operator's name for the audit trail; by default $USER")
}

// requireOperatorName reports a usage error if the operator's name is missing, which the audit trail needs.
func (t *operatorTarget) requireOperatorName(c subcommands.Command) (s subcommands.ExitStatus, ok bool) {
	if t.operatorName == "" {
		return usageError(c, "flag -who is missing: expected the operator's name for the audit trail"), false
	}
	return subcommands.ExitSuccess, true
}

func (t *operatorTarget) client() *operator.Client {
	return &operator.Client{Address: chestnutcleat.Address(t.address), Who: t.operatorName}
}

// run calls f with a client and the command's timeout, and reports its error.
func (t *operatorTarget) run(ctx context.Context, f func(context.Context, *operator.Client) error) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return reportError(os.Stderr, f(ctx, t.client()))
}

// reportError prints an error and, if a VM sent it, its details.
func reportError(w io.Writer, err error) subcommands.ExitStatus {
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
