package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/tailscale/hujson"

	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/settings"
)

// checkCommand validates files without a VM.
type checkCommand struct {
	kind string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings or manifest files" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check [-kind settings|manifest] FILE...\n\tPrints every error with file, line, field and what was expected.\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "settings or manifest; by default the fields of the file decide")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.kind != "" && c.kind != "settings" && c.kind != "manifest" {
		return misuse(c, "-kind %q: expected settings or manifest", c.kind)
	}
	if f.NArg() == 0 {
		return misuse(c, "no file is given")
	}
	status := subcommands.ExitSuccess
	for _, name := range f.Args() {
		if err := c.check(name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Printf("%s: ok\n", name)
	}
	return status
}

func (c *checkCommand) check(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	kind := c.kind
	if kind == "" {
		kind = kindOf(data)
	}
	if kind == "settings" {
		_, err = settings.Parse(name, data)
		return err
	}
	_, err = manifest.Parse(name, data)
	return err
}

// kindOf takes a file with a field that only settings have as settings.
func kindOf(data []byte) string {
	v, err := hujson.Parse(data)
	if err != nil {
		return "manifest"
	}
	for _, p := range []string{"/vm", "/addresses", "/platform"} {
		if v.Find(p) != nil {
			return "settings"
		}
	}
	return "manifest"
}
