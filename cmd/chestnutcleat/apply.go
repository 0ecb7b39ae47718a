package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/operator"
)

// applyCommand sends a manifest to a VM to put it into effect.
type applyCommand struct {
	operatorTarget
	base     string
	changeID string
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "put a manifest into effect" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return "apply [-operators IP:PORT] [-who NAME] [-base REVISION] [-change ID] FILE\n\tThe base is the revision that the file was made from; by default the file's field \"revision\".\n"
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.operatorTarget.SetFlags(f)
	f.StringVar(&c.base, "base", "", "revision that the change is based on; 0 for the first manifest")
	f.StringVar(&c.changeID, "change", "", "id of a change whose outcome was unknown, to send it again")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(c, "expected one manifest file, found %d", f.NArg())
	}
	if _, err := strconv.ParseUint(c.base, 10, 64); err != nil && c.base != "" {
		return usageError(c, "-base %q: expected a revision, a number from 0", c.base)
	}
	if s, ok := c.requireOperatorName(c); !ok {
		return s
	}
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		change, err := c.readChange(f.Arg(0))
		if err != nil {
			return err
		}
		a, err := o.Apply(ctx, change)
		if err != nil {
			return err
		}
		fmt.Printf("accepted as revision %d, change %s\n", a.Revision, a.Change)
		return nil
	})
}

func (c *applyCommand) readChange(name string) (manifest.Change, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return manifest.Change{}, err
	}
	m, err := manifest.Parse(name, data)
	if err != nil {
		return manifest.Change{}, err
	}
	base := m.Revision
	if c.base != "" {
		n, err := strconv.ParseUint(c.base, 10, 64)
		if err != nil {
			return manifest.Change{}, fmt.Errorf("-base: %w", err)
		}
		base = chestnutcleat.Revision(n)
	}
	return manifest.Change{Raw: data, Base: base, Who: c.operatorName, ID: chestnutcleat.ChangeID(c.changeID)}, nil
}
