package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/demo"
	"chestnutcleat.example/chestnutcleat/logs"
	"chestnutcleat.example/chestnutcleat/standin/caller"
)

const (
	demoDecodeRate  = 400    // tokens per second
	demoPrefillRate = 20_000 // tokens per second
	demoCacheTokens = 120_000
	demoProgramRate = 4 // programs per second of each customer
	demoTimeout     = 2 * time.Minute
)

// demoCommand runs programs on a small fleet with stand-ins in one process.
type demoCommand struct {
	vms      int
	engines  int
	programs int
	seed     uint64
	logLevel string
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string {
	return "run programs on a small fleet with stand-ins, in one process"
}

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string { return "demo [-vms N] [-engines N] [-programs N] [-seed N]\n" }

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.vms, "vms", 3, "number of VMs")
	f.IntVar(&c.engines, "engines", 3, "number of engines")
	f.IntVar(&c.programs, "programs", 8, "number of programs of each customer")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the programs")
	f.StringVar(&c.logLevel, "log", "warning", "log level: debug, info, warning or error")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	for _, n := range []struct {
		flag  string
		value int
	}{{"vms", c.vms}, {"engines", c.engines}, {"programs", c.programs}} {
		if n.value < 1 {
			return usageError(c, "-%s %d: expected at least 1", n.flag, n.value)
		}
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	observer, err := logs.New(os.Stderr, c.logLevel, "text", "demo")
	if err != nil {
		return err
	}
	f := &demo.Fleet{VMs: c.vms, Engines: c.engines, Decode: demoDecodeRate, Prefill: demoPrefillRate, Cache: demoCacheTokens, Customers: demoCustomers(), Observer: observer}
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d VMs, %d engines and 1 service are up; running programs\n", c.vms, c.engines)
	load := caller.Load{VMs: f.Callers(), Shape: caller.DefaultShape(), Seed: c.seed}
	for _, customer := range f.Customers {
		load.Customers = append(load.Customers, caller.Customer{
			ID: customer.ID, Key: demo.CustomerKey(customer.ID), Rate: demoProgramRate, MaxPrograms: c.programs, Model: demo.Model,
			Tools: []caller.Tool{{Route: demo.BookRoute, Probability: 0.1}, {Route: demo.LookRoute, Probability: 0.1}},
		})
	}
	r, err := load.Run(ctx)
	if err != nil {
		return fmt.Errorf("run programs: %w", err)
	}
	if err := r.Write(os.Stdout); err != nil {
		return err
	}
	if err := f.Stop(); err != nil {
		return err
	}
	return c.checkReport(f, r)
}

// checkReport returns an error if a program did not finish or a request ran more than once.
func (c *demoCommand) checkReport(f *demo.Fleet, r caller.Report) error {
	if t := r.Total(); t.Finished != t.Started {
		return fmt.Errorf("%d of %d programs did not finish", t.Started-t.Finished, t.Started)
	}
	for id, n := range f.Service.Executions() {
		if n > 1 {
			return fmt.Errorf("request %s ran %d times", id, n)
		}
	}
	return nil
}

func demoCustomers() []chestnutcleat.Customer {
	var list []chestnutcleat.Customer
	for _, id := range []chestnutcleat.CustomerID{"pomar-alto", "sitio-novo", "vale-verde"} {
		list = append(list, chestnutcleat.Customer{ID: id, Rate: 100, Burst: 200})
	}
	return list
}
