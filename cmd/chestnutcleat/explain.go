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

// explainCommand merges the log lines of several processes that concern an id into one timeline, or counts the lost and late
// requests in them by cause.
type explainCommand struct {
	id      string
	around  time.Duration
	account bool
	by      string
	slow    time.Duration
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "show what all processes logged about a request or a program, or count lost and late requests by cause"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "explain -id ID [-around DURATION] FILE...\n\tReads logs in JSON, \"-\" for standard input, and prints one timeline.\n" +
		"explain -account [-by customer|route|second] [-slow DURATION] FILE...\n\tCounts lost and late requests by cause.\n"
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "id of a request, call, program or anything else that log lines mention")
	f.DurationVar(&c.around, "around", 0, "also show the state changes that the same VMs logged within this time before and after")
	f.BoolVar(&c.account, "account", false, "count the lost and late requests by cause")
	f.StringVar(&c.by, "by", string(logs.ByCustomer), "what the rows of an account are divided by: customer, route or second")
	f.DurationVar(&c.slow, "slow", 0, "answers that took longer are counted as late in an account; 0 counts none")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.id == "" && !c.account {
		return usageError(c, "no id is given")
	}
	if !slices.Contains([]logs.Grouping{logs.ByCustomer, logs.ByRoute, logs.BySecond}, logs.Grouping(c.by)) {
		return usageError(c, "-by is none of customer, route and second")
	}
	if f.NArg() == 0 {
		return usageError(c, "no file is given")
	}
	show := c.printTimeline
	if c.account {
		show = c.printAccount
	}
	found, err := show(os.Stdout, f.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if !found {
		fmt.Fprintln(os.Stderr, "no log line was found")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// openLogs opens log files; "-" is standard input. The returned function closes them.
func openLogs(names []string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range names {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return readers, closeAll, nil
}

func (c *explainCommand) printTimeline(w io.Writer, names []string) (found bool, err error) {
	readers, closeAll, err := openLogs(names)
	if err != nil {
		return false, err
	}
	defer closeAll()
	lines, skipped, err := logs.Timeline(c.id, c.around, readers...)
	if err != nil {
		return false, err
	}
	for _, line := range lines {
		fmt.Fprintf(w, "%s %-16s %d %s%s\n", line.Time.Format("15:04:05.000"), line.VM, line.Event, line.Text, formatAttributes(line.Attributes))
	}
	reportSkipped(skipped)
	return len(lines) > 0, nil
}

// printAccount prints a row for each cause of lost and late requests, those that ended most programs first.
func (c *explainCommand) printAccount(w io.Writer, names []string) (found bool, err error) {
	readers, closeAll, err := openLogs(names)
	if err != nil {
		return false, err
	}
	defer closeAll()
	rows, programs, skipped, err := logs.Account(logs.Grouping(c.by), c.slow, readers...)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(w, "%-34s %-20s %8s %8s %8s %6s\n", "cause", c.by, "requests", "programs", "ended", "share")
	for _, r := range rows {
		fmt.Fprintf(w, "%-34s %-20s %8d %8d %8d %6.3f\n", r.Cause, r.Group, r.Requests, r.Programs, r.Ended, float64(r.Ended)/float64(programs))
	}
	fmt.Fprintf(w, "%d programs; ended: the last line of the program has this cause; share: of all programs\n", programs)
	reportSkipped(skipped)
	return programs > 0, nil
}

func reportSkipped(n int) {
	if n > 0 {
		fmt.Fprintf(os.Stderr, "%d lines were skipped, as they are not log lines in JSON\n", n)
	}
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
