package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/soak"
)

// soakCommand runs the processes of a small fleet under injected faults.
type soakCommand struct {
	seed     uint64
	runs     int
	length   time.Duration
	kinds    string
	planFile string
	disks    string
	size     soak.Size
	print    bool
	keep     bool
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string {
	return "run entry and storage VMs as processes under random faults and check what callers see"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return "soak [-seed N] [-runs N] [-for DURATION] [-kinds LIST] [-plan FILE] [-entries N] [-routes N] [-disks FOLDER] [-print] [-keep]\n" +
		"\tViolated guarantees are printed, with the request if there is one; the logs of all processes are then kept, and the exit status is 1.\n"
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the first run's faults and callers")
	f.IntVar(&c.runs, "runs", 1, "number of runs, each with the next seed")
	f.DurationVar(&c.length, "for", time.Minute, "length of a run; 8 s at its start and end are without faults")
	f.StringVar(&c.kinds, "kinds", "", "kinds of faults, separated by commas; empty for all")
	f.StringVar(&c.planFile, "plan", "", "file with a plan, as -print writes it")
	f.IntVar(&c.size.Entries, "entries", 0, "number of entry VMs; 0 for a small fleet")
	f.IntVar(&c.size.Routes, "routes", 0, "number of routes besides those that callers use")
	f.StringVar(&c.disks, "disks", "", "folder for the storage VMs' disks, best in a file system in memory; empty for the folder of the run")
	f.BoolVar(&c.keep, "keep", false, "keep the logs of all processes in any case")
	f.BoolVar(&c.print, "print", false, "print the plan instead of running it")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	if c.runs < 1 || c.length < soak.MinLength {
		return usageError(c, "expected -runs of at least 1 and -for of at least %v, found %d and %v", soak.MinLength, c.runs, c.length)
	}
	for i := range c.runs {
		if err := c.run(ctx, c.seed+uint64(i)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *soakCommand) run(ctx context.Context, seed uint64) error {
	plan, err := c.makePlan(seed)
	if err != nil {
		return err
	}
	if c.print {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(plan)
	}
	binary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the executable: %w", err)
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return fmt.Errorf("create temporary folder: %w", err)
	}
	s := soak.Soak{Binary: binary, Plan: plan, Dir: dir, Disks: c.disks, Keep: c.keep, Out: os.Stdout}
	return s.Run(ctx)
}

func (c *soakCommand) makePlan(seed uint64) (soak.Plan, error) {
	if c.planFile != "" {
		return soak.ReadPlan(c.planFile)
	}
	var kinds []soak.FaultKind
	for k := range strings.SplitSeq(c.kinds, ",") {
		if k != "" {
			kinds = append(kinds, soak.FaultKind(k))
		}
	}
	return soak.NewPlan(seed, c.length, c.size, kinds...)
}
