package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/settings"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&checkCommand{}, "files")
	subcommands.Register(&demoCommand{}, "processes")
	subcommands.Register(&loadCommand{}, "processes")
	subcommands.Register(&serveCommand{}, "processes")
	subcommands.Register(&roleCommand{name: settings.RoleEntry, synopsis: "run the process of an entry VM on the users' platform"}, "processes")
	subcommands.Register(&roleCommand{name: settings.RoleStore, synopsis: "run the process of a storage VM on the users' platform"}, "processes")
	subcommands.Register(&standinCommand{}, "processes")
	subcommands.Register(&soakCommand{}, "processes")
	subcommands.Register(&applyCommand{}, "operators")
	subcommands.Register(&keyCommand{}, "operators")
	subcommands.Register(&vmsCommand{}, "operators")
	subcommands.Register(&statusCommand{}, "operators")
	subcommands.Register(&drainCommand{}, "operators")
	subcommands.Register(&auditCommand{}, "operators")
	subcommands.Register(&explainCommand{}, "operators")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
