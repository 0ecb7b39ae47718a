package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"
	"github.com/tailscale/hujson"

	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/settings"
)

// checkCommand validates settings and manifest files, without asking a VM.
type checkCommand struct {
	kind string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "validate settings or manifest files" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check [-kind settings|role|manifest] FILE...\n\tPrints every error with file, line, field and what was expected.\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "settings, role (settings of the entry and store roles) or manifest; by default the fields of the file decide")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !slices.Contains([]string{"", "settings", "role", "manifest"}, c.kind) {
		return usageError(c, "-kind %q: expected settings or manifest, or role for settings of a role", c.kind)
	}
	if f.NArg() == 0 {
		return usageError(c, "no file is given")
	}
	status := subcommands.ExitSuccess
	for _, name := range f.Args() {
		if err := c.checkFile(name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Printf("%s: ok\n", name)
	}
	return status
}

func (c *checkCommand) checkFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	kind := c.kind
	if kind == "" {
		kind = detectKind(data)
	}
	switch kind {
	case "settings":
		_, err = settings.Parse(name, data)
	case "role":
		_, err = settings.ParseRole(name, data)
	default:
		_, err = manifest.Parse(name, data)
	}
	return err
}

// detectKind tells settings of a role, other settings and manifests apart by their fields; it returns manifest if in doubt.
func detectKind(data []byte) string {
	v, err := hujson.Parse(data)
	if err != nil {
		return "manifest"
	}
	if v.Find("/role") != nil {
		return "role"
	}
	for _, p := range []string{"/vm", "/addresses", "/platform"} {
		if v.Find(p) != nil {
			return "settings"
		}
	}
	return "manifest"
}
