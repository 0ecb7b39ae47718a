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

// loadCommand sends the programs of one customer to a running fleet.
type loadCommand struct {
	seeds    string
	customer string
	keyFile  string
	model    string
	rate     float64
	duration time.Duration
	seed     uint64
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
	f.StringVar(&c.seeds, "vms", "", "caller addresses of VMs, separated by commas")
	f.StringVar(&c.customer, "customer", "load", "name of the customer in the table")
	f.StringVar(&c.keyFile, "key", "", "file that holds the customer's key")
	f.StringVar(&c.model, "model", "", "model")
	f.Float64Var(&c.rate, "rate", 1, "programs per second")
	f.DurationVar(&c.duration, "duration", 30*time.Second, "how long programs arrive")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the programs")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := surplus(c, f); !ok {
		return s
	}
	for _, r := range []struct{ flag, value, what string }{
		{"vms", c.seeds, "callers' addresses of VMs, such as 127.0.0.11:8000"},
		{"key", c.keyFile, "a file that holds the customer's key"},
		{"model", c.model, "a model of the manifest"},
	} {
		if r.value == "" {
			return misuse(c, "flag -%s is missing: expected %s", r.flag, r.what)
		}
	}
	if c.rate <= 0 || c.duration <= 0 {
		return misuse(c, "expected -rate and -duration above 0, found %v and %v", c.rate, c.duration)
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
		return fmt.Errorf("read the key: %w", err)
	}
	l := caller.Load{Shape: caller.DefaultShape(), Seed: c.seed, Duration: c.duration}
	for _, a := range strings.Split(c.seeds, ",") {
		l.Seeds = append(l.Seeds, chestnutcleat.Address(strings.TrimSpace(a)))
	}
	l.Customers = []caller.Customer{{
		ID: chestnutcleat.CustomerID(c.customer), Key: strings.TrimSpace(string(key)), Rate: c.rate, Model: chestnutcleat.ModelName(c.model),
	}}
	r, err := l.Run(ctx)
	if err != nil {
		return fmt.Errorf("run programs: %w", err)
	}
	return r.Write(os.Stdout)
}
