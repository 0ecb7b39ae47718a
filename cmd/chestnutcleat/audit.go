package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/operator"
)

// auditCommand prints the audit trail.
type auditCommand struct {
	operatorTarget
	timePrefix string
}

// Name implements subcommands.Command.
func (*auditCommand) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*auditCommand) Synopsis() string { return "print who changed what" }

// Usage implements subcommands.Command.
func (*auditCommand) Usage() string { return "audit [-operators IP:PORT] [-time PREFIX]\n" }

// SetFlags implements subcommands.Command.
func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	c.operatorTarget.SetFlags(f)
	f.StringVar(&c.timePrefix, "time", "", "only records whose UTC time starts with this, such as 2026-05-01")
}

// Execute implements subcommands.Command.
func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		list, err := o.Audit(ctx, c.timePrefix)
		if err != nil {
			return err
		}
		w := newTable()
		fmt.Fprintln(w, "TIME\tWHO\tWHAT\tREVISION\tRESULT\tVM\tCHANGE")
		for _, r := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", r.Time.Format(time.RFC3339), r.Who, r.What, r.Revision, r.Result, r.VM, r.Change)
		}
		return w.Flush()
	})
}
