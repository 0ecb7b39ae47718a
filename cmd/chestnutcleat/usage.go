package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// misuse reports a wrong use of a command, with the command's usage text.
func misuse(c subcommands.Command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %s\n\nUsage: %s", c.Name(), fmt.Sprintf(format, args...), c.Usage())
	return subcommands.ExitUsageError
}

// surplus reports the first argument of a command that takes none; ok is true if there is none.
func surplus(c subcommands.Command, f *flag.FlagSet) (s subcommands.ExitStatus, ok bool) {
	if f.NArg() == 0 {
		return subcommands.ExitSuccess, true
	}
	return misuse(c, "unexpected argument %q", f.Arg(0)), false
}
