package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/operator"
)

// keyCommand creates keys, gives them to customers and withdraws them.
type keyCommand struct {
	operatorTarget
	customer string
}

// Name implements subcommands.Command.
func (*keyCommand) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (*keyCommand) Synopsis() string { return "create, give or withdraw a caller's key" }

// Usage implements subcommands.Command.
func (*keyCommand) Usage() string {
	return `key new
	Prints a random key, which is not stored anywhere, and its digest.
key [-operators IP:PORT] [-who NAME] -customer ID give DIGEST
	Lets a customer use the key with this digest.
key [-operators IP:PORT] [-who NAME] withdraw DIGEST
	Stops the key on every VM, also while the platform is down. This is final.
`
}

// SetFlags implements subcommands.Command.
func (c *keyCommand) SetFlags(f *flag.FlagSet) {
	c.operatorTarget.SetFlags(f)
	f.StringVar(&c.customer, "customer", "", "customer that a key is given to")
}

// Execute implements subcommands.Command.
func (c *keyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch verb := f.Arg(0); {
	case verb == "new" && f.NArg() == 1:
		printKey()
		return subcommands.ExitSuccess
	case verb == "new":
		return usageError(c, "new takes no argument, found %q", f.Arg(1))
	case verb != "give" && verb != "withdraw":
		return usageError(c, "expected new, give or withdraw, found %q", verb)
	case verb == "give" && c.customer == "":
		return usageError(c, "give needs flag -customer, which must come before \"give\"")
	case f.NArg() != 2:
		return usageError(c, "%s takes one digest, found %d arguments", verb, f.NArg()-1)
	case verb == "give":
		return c.runWithDigest(ctx, f.Arg(1), func(ctx context.Context, o *operator.Client, d chestnutcleat.Digest) (operator.KeyReply, error) {
			return o.Give(ctx, operator.GiveRequest{Customer: chestnutcleat.CustomerID(c.customer), Digest: d})
		})
	default:
		return c.runWithDigest(ctx, f.Arg(1), func(ctx context.Context, o *operator.Client, d chestnutcleat.Digest) (operator.KeyReply, error) {
			return o.Withdraw(ctx, d)
		})
	}
}

// printKey prints a new key with at least 128 random bits, and its digest.
func printKey() {
	key := rand.Text()
	fmt.Printf("key     %s\ndigest  %s\n", key, chestnutcleat.DigestOf([]byte(key)))
}

func (c *keyCommand) runWithDigest(ctx context.Context, text string, change func(context.Context, *operator.Client, chestnutcleat.Digest) (operator.KeyReply, error)) subcommands.ExitStatus {
	var d chestnutcleat.Digest
	if err := d.UnmarshalText([]byte(text)); err != nil {
		return usageError(c, "digest %q: %v", text, err)
	}
	if s, ok := c.requireOperatorName(c); !ok {
		return s
	}
	return c.run(ctx, func(ctx context.Context, o *operator.Client) error {
		r, err := change(ctx, o, d)
		if err != nil {
			return err
		}
		fmt.Printf("%s  %s\n", r.State, r.Digest)
		return nil
	})
}
