package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/operator"
)

// vmsCommand lists the VMs of the fleet.
type vmsCommand struct {
	operatorTarget
}

// Name implements subcommands.Command.
func (*vmsCommand) Name() string { return "vms" }

// Synopsis implements subcommands.Command.
func (*vmsCommand) Synopsis() string { return "list the VMs of the fleet" }

// Usage implements subcommands.Command.
func (*vmsCommand) Usage() string { return "vms [-operators IP:PORT]\n" }

// Execute implements subcommands.Command.
func (c *vmsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		list, err := o.VMs(ctx)
		if err != nil {
			return err
		}
		w := newTable()
		fmt.Fprintln(w, "VM\tSTATE\tDOMAIN\tREGION\tCALLERS\tVMS")
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", v.ID, v.State, v.Domain, v.Region, v.CallerAddress, v.Address)
		}
		return w.Flush()
	})
}

// newTable returns a writer that aligns columns on standard output.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }
