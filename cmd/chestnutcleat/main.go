// Command chestnutcleat schedules agent programs over model engines and services.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	for _, c := range []subcommands.Command{
		subcommands.HelpCommand(), subcommands.FlagsCommand(), subcommands.CommandsCommand(),
		&serveCommand{}, &standinCommand{},
	} {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
