package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/operator"
)

// drainCommand starts the graceful shutdown of a VM.
type drainCommand struct {
	operatorTarget
}

// Name implements subcommands.Command.
func (*drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCommand) Synopsis() string { return "shut a VM down gracefully" }

// Usage implements subcommands.Command.
func (*drainCommand) Usage() string {
	return "drain [-operators IP:PORT] [-who NAME] VM\n\tThe address may be that of any VM; it forwards the request.\n"
}

// Execute implements subcommands.Command.
func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(c, "expected one VM, found %d", f.NArg())
	}
	if s, ok := c.requireOperatorName(c); !ok {
		return s
	}
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		if err := o.Drain(ctx, chestnutcleat.VMID(f.Arg(0))); err != nil {
			return err
		}
		fmt.Printf("VM %s is shutting down\n", f.Arg(0))
		return nil
	})
}
