package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// usageError prints an error in the use of a command, with the command's usage text.
func usageError(c subcommands.Command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %s\n\nUsage: %s", c.Name(), fmt.Sprintf(format, args...), c.Usage())
	return subcommands.ExitUsageError
}

// rejectArguments prints a usage error if a command that takes no arguments has any; ok is true if it has none.
func rejectArguments(c subcommands.Command, f *flag.FlagSet) (s subcommands.ExitStatus, ok bool) {
	if f.NArg() == 0 {
		return subcommands.ExitSuccess, true
	}
	return usageError(c, "unexpected argument %q", f.Arg(0)), false
}
