package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat/logs"
	"chestnutcleat.example/chestnutcleat/object"
	"chestnutcleat.example/chestnutcleat/process"
	"chestnutcleat.example/chestnutcleat/settings"
)

// serveCommand runs the process of one VM.
type serveCommand struct {
	settingsFile string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run the process of one VM" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve -settings FILE\n\tSIGTERM starts a graceful shutdown, a second one ends the process at once.\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	if c.settingsFile == "" {
		return usageError(c, "flag -settings is missing: expected the VM's settings file, such as examples/vm1.json")
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *serveCommand) run(ctx context.Context) error {
	s, err := settings.Load(c.settingsFile)
	if err != nil {
		return err
	}
	l, err := logs.New(os.Stderr, s.Log.Level, s.Log.Format, s.VM)
	if err != nil {
		return err
	}
	ctx, stop, release := shutdownSignals(ctx)
	defer release()
	p := process.Process{Settings: s, Platform: &object.Client{URL: s.Platform, Name: string(s.VM)}, Observer: l, Stop: stop}
	return p.Run(ctx)
}

// shutdownSignals returns a channel that the first SIGTERM or SIGINT closes, and a context that the second one cancels.
func shutdownSignals(parent context.Context) (ctx context.Context, stop <-chan struct{}, release func()) {
	return shutdownSignalsFunc(parent, func(os.Signal) bool { return true })
}

// shutdownSignalsFunc is like shutdownSignals, but after the first signal only those for which cancels returns true have an effect.
func shutdownSignalsFunc(parent context.Context, cancels func(os.Signal) bool) (ctx context.Context, stop <-chan struct{}, release func()) {
	ctx, cancel := context.WithCancel(parent)
	shutdown := make(chan struct{})
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		defer cancel()
		shuttingDown := false
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-received:
				if shuttingDown && cancels(s) {
					return
				}
			}
			if !shuttingDown {
				close(shutdown)
			}
			shuttingDown = true
		}
	}()
	return ctx, shutdown, func() { signal.Stop(received); cancel() }
}
