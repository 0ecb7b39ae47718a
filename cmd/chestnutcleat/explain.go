package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/logs"
)

// explainCommand merges the log lines of several processes that concern an id into one timeline.
type explainCommand struct {
	id     string
	around time.Duration
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "show what all processes logged about a request or a program"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "explain -id ID [-around DURATION] FILE...\n\tReads logs in JSON, \"-\" for standard input, and prints one timeline.\n"
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "id of a request, call, program or anything else that log lines mention")
	f.DurationVar(&c.around, "around", 0, "also show the state changes that the same VMs logged within this time before and after")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.id == "" {
		return usageError(c, "no id is given")
	}
	if f.NArg() == 0 {
		return usageError(c, "no file is given")
	}
	found, err := c.printTimeline(os.Stdout, f.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if !found {
		fmt.Fprintf(os.Stderr, "no log line mentions %q\n", c.id)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *explainCommand) printTimeline(w io.Writer, names []string) (found bool, err error) {
	var readers []io.Reader
	for _, name := range names {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return false, err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	lines, skipped, err := logs.Timeline(c.id, c.around, readers...)
	if err != nil {
		return false, err
	}
	for _, line := range lines {
		fmt.Fprintf(w, "%s %-16s %d %s%s\n", line.Time.Format("15:04:05.000"), line.VM, line.Event, line.Text, formatAttributes(line.Attributes))
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines were skipped, as they are not log lines in JSON\n", skipped)
	}
	return len(lines) > 0, nil
}

// formatAttributes formats the attributes of a log line, sorted by name.
func formatAttributes(m map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(m)) {
		data, err := json.Marshal(m[name])
		if err != nil {
			data = []byte(err.Error())
		}
		fmt.Fprintf(&b, " %s=%s", name, data)
	}
	return b.String()
}
