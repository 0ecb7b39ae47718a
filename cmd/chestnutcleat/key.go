package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/operator"
)

// keyCommand makes, gives and withdraws keys.
type keyCommand struct {
	target
	customer string
}

// Name implements subcommands.Command.
func (*keyCommand) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (*keyCommand) Synopsis() string { return "make, give or withdraw a caller's key" }

// Usage implements subcommands.Command.
func (*keyCommand) Usage() string {
	return `key new
	Prints a random key, which is not stored anywhere, and its digest.
key -customer ID give DIGEST
	Lets a customer use the key with this digest.
key withdraw DIGEST
	Stops the key on every VM, also while the platform is down. This is final.
`
}

// SetFlags implements subcommands.Command.
func (c *keyCommand) SetFlags(f *flag.FlagSet) {
	c.target.SetFlags(f)
	f.StringVar(&c.customer, "customer", "", "customer that a key is given to")
}

// Execute implements subcommands.Command.
func (c *keyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.NArg() == 1 && f.Arg(0) == "new":
		printKey()
		return subcommands.ExitSuccess
	case f.NArg() == 2 && f.Arg(0) == "give" && c.customer != "":
		return c.withDigest(ctx, f.Arg(1), func(ctx context.Context, o *operator.Client, d chestnutcleat.Digest) (operator.KeyReply, error) {
			return o.Give(ctx, operator.GiveRequest{Customer: chestnutcleat.CustomerID(c.customer), Digest: d})
		})
	case f.NArg() == 2 && f.Arg(0) == "withdraw":
		return c.withDigest(ctx, f.Arg(1), func(ctx context.Context, o *operator.Client, d chestnutcleat.Digest) (operator.KeyReply, error) {
			return o.Withdraw(ctx, d)
		})
	}
	fmt.Fprint(os.Stderr, c.Usage())
	return subcommands.ExitUsageError
}

// printKey prints a key of at least 128 random bits.
func printKey() {
	key := rand.Text()
	fmt.Printf("key     %s\ndigest  %s\n", key, chestnutcleat.DigestOf([]byte(key)))
}

func (c *keyCommand) withDigest(ctx context.Context, text string, f func(context.Context, *operator.Client, chestnutcleat.Digest) (operator.KeyReply, error)) subcommands.ExitStatus {
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		var d chestnutcleat.Digest
		if err := d.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		r, err := f(ctx, o, d)
		if err != nil {
			return err
		}
		fmt.Printf("%s  %s\n", r.State, r.Digest)
		return nil
	})
}
