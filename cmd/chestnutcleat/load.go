package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/caller"
)

// loadCommand sends programs of one customer to a running fleet.
type loadCommand struct {
	vmAddresses string
	customer    string
	keyFile     string
	model       string
	rate        float64
	duration    time.Duration
	seed        uint64
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "send programs to a running fleet and print their latency"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load -vms IP:PORT[,IP:PORT] -customer ID -key FILE -model NAME [-rate N] [-duration D]\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.vmAddresses, "vms", "", "caller addresses of VMs, separated by commas")
	f.StringVar(&c.customer, "customer", "load", "customer's name in the printed table")
	f.StringVar(&c.keyFile, "key", "", "file that holds the customer's key")
	f.StringVar(&c.model, "model", "", "model")
	f.Float64Var(&c.rate, "rate", 1, "programs per second")
	f.DurationVar(&c.duration, "duration", 30*time.Second, "how long new programs are started")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the programs")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	for _, required := range []struct{ flag, value, what string }{
		{"vms", c.vmAddresses, "callers' addresses of VMs, such as 127.0.0.11:8000"},
		{"key", c.keyFile, "a file that holds the customer's key"},
		{"model", c.model, "a model of the manifest"},
	} {
		if required.value == "" {
			return usageError(c, "flag -%s is missing: expected %s", required.flag, required.what)
		}
	}
	if c.rate <= 0 || c.duration <= 0 {
		return usageError(c, "expected -rate and -duration above 0, found %v and %v", c.rate, c.duration)
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) error {
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return fmt.Errorf("read key file: %w", err)
	}
	load := caller.Load{Shape: caller.DefaultShape(), Seed: c.seed, Duration: c.duration}
	for _, a := range strings.Split(c.vmAddresses, ",") {
		load.VMs = append(load.VMs, chestnutcleat.Address(strings.TrimSpace(a)))
	}
	load.Customers = []caller.Customer{{
		ID: chestnutcleat.CustomerID(c.customer), Key: strings.TrimSpace(string(key)), Rate: c.rate, Model: chestnutcleat.ModelName(c.model),
	}}
	r, err := load.Run(ctx)
	if err != nil {
		return fmt.Errorf("run programs: %w", err)
	}
	return r.Write(os.Stdout)
}
