package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/engine"
	standinplatform "chestnutcleat.example/chestnutcleat/standin/platform"
	"chestnutcleat.example/chestnutcleat/standin/service"
)

// standinCommand runs a stand-in for an external system.
type standinCommand struct {
	listen  string
	models  string
	slots   int
	decode  float64
	prefill float64
	fencing bool
	seed    uint64
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in platform, engine or service" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "standin [-listen IP:PORT] [-models a,b] platform|engine|service\n\tPrints the address that it listens on.\n"
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.models, "models", "small", "models of an engine, separated by commas")
	f.IntVar(&c.slots, "slots", 6, "requests that an engine runs at once")
	f.Float64Var(&c.decode, "decode", 100, "tokens per second that an engine generates for one request")
	f.Float64Var(&c.prefill, "prefill", 10_000, "prompt tokens per second that an engine reads")
	f.BoolVar(&c.fencing, "fencing", false, "let an engine refuse orders with an old fencing token")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the faults")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	h := c.handler(f.Arg(0))
	if f.NArg() != 1 || h == nil {
		return usageError(c, "expected platform, engine or service, found %q", f.Args())
	}
	if err := c.run(ctx, f.Arg(0), h); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// handler returns the stand-in of a kind, or nil if the kind is unknown.
func (c *standinCommand) handler(kind string) http.Handler {
	switch kind {
	case "platform":
		return standinplatform.NewStore(c.seed).Handler()
	case "engine":
		return &engine.Engine{Models: modelNames(c.models), Slots: c.slots, Decode: c.decode, Prefill: c.prefill, Fencing: c.fencing, Seed: c.seed, ReportDelay: time.Second}
	case "service":
		return &service.Service{}
	}
	return nil
}

func (c *standinCommand) run(ctx context.Context, kind string, h http.Handler) error {
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.listen, err)
	}
	fmt.Printf("stand-in %s listens on %s\n", kind, l.Addr())
	_, stop, release := shutdownSignals(ctx)
	defer release()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { <-stop; s.Close() }()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("stand-in %s: %w", kind, err)
	}
	return nil
}

func modelNames(list string) []chestnutcleat.ModelName {
	var names []chestnutcleat.ModelName
	for _, n := range strings.Split(list, ",") {
		names = append(names, chestnutcleat.ModelName(strings.TrimSpace(n)))
	}
	return names
}
