package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/operator"
)

// statusCommand shows what a VM knows of the manifest and the upstreams.
type statusCommand struct {
	target
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show the manifest's revision and the upstreams" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string { return "status [-operators IP:PORT]\n" }

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := surplus(c, f); !ok {
		return s
	}
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		m, err := o.Manifest(ctx)
		if err != nil {
			return err
		}
		fmt.Printf("revision %d: %d customers, %d upstreams, %d routes\n", m.Revision, len(m.Customers), len(m.Upstreams), len(m.Routes))
		if err := o.Ready(ctx); err != nil {
			fmt.Printf("not ready: %v\n", err)
		} else {
			fmt.Println("ready")
		}
		list, err := o.Upstreams(ctx)
		if err != nil {
			return err
		}
		w := newTable()
		fmt.Fprintln(w, "UPSTREAM\tHEALTH\tRUNNING\tQUEUED\tWAIT")
		for _, u := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", u.Upstream, u.Health, u.Running, u.Queued, u.Wait)
		}
		return w.Flush()
	})
}
