package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/operator"
	"chestnutcleat.example/chestnutcleat/role"
)

// statusCommand shows the manifest and the upstreams as a VM sees them, or the state of VMs on the users' platform.
type statusCommand struct {
	operatorTarget
	// roleAddress is the metrics address of an entry or storage VM whose status is shown.
	roleAddress string
	// fleetAddress is the metrics address of one VM; all VMs of its role are compared.
	fleetAddress string
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.operatorTarget.SetFlags(f)
	f.StringVar(&c.fleetAddress, "fleet", "", "metrics address of one VM on the users' platform; asks all VMs of its role and shows where they differ")
	f.StringVar(&c.roleAddress, "role", "", "metrics address of an entry or storage VM on the users' platform; shows its view of the configuration, the platform and its peers")
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show the manifest's revision and the upstreams" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "status [-operators IP:PORT | -role IP:PORT | -fleet IP:PORT]\n"
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	if c.roleAddress != "" {
		return c.printStatus(ctx)
	}
	if c.fleetAddress != "" {
		return c.printOutliers(ctx)
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

// printStatus prints what a VM on the users' platform knows of the configuration, the platform's objects and its peers, with
// ages.
func (c *statusCommand) printStatus(ctx context.Context) subcommands.ExitStatus {
	status, err := role.FetchStatus(ctx, chestnutcleat.Address(c.roleAddress))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("%s: %s in failure domain %s\n", status.VM, status.Role, status.Domain)
	if config := status.Configuration; config != nil {
		fmt.Printf("configuration %d at version %d: %d routes, %d customers\n", config.Number, config.Version, config.Routes, config.Customers)
	}
	fmt.Printf("copies at version %d: %d, next %d\n", status.ReplicaSet.Version, len(status.ReplicaSet.Disks), len(status.ReplicaSet.NextDisks))
	w := newTable()
	fmt.Fprintln(w, "KIND\tVERSION\tOBJECTS\tLAPSED\tPLATFORM AWAY\tAGE")
	for _, k := range status.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\t%.1fs\n", k.Kind, k.Version, k.Objects, k.Retained, k.PlatformUnreachable, k.Age)
	}
	fmt.Fprintln(w, "\nPEER\tSILENT\tLEAVING\tPLATFORM AWAY\tAGE")
	for _, p := range status.Peers {
		fmt.Fprintf(w, "%s\t%t\t%t\t%t\t%.1fs\n", p.VM, p.Silent, p.Leaving, p.PlatformUnreachable, p.Age)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// printOutliers prints the VMs whose state differs from that of most VMs.
func (c *statusCommand) printOutliers(ctx context.Context) subcommands.ExitStatus {
	answers, err := role.Survey(ctx, chestnutcleat.Address(c.fleetAddress))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	outliers := role.Outliers(answers)
	fmt.Printf("%d VMs asked, %d differences\n", len(answers), len(outliers))
	for _, o := range outliers {
		fmt.Printf("%s: %s\n", o.VM, o.Difference)
	}
	return subcommands.ExitSuccess
}
