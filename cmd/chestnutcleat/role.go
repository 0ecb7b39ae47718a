package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/logs"
	"chestnutcleat.example/chestnutcleat/role"
	"chestnutcleat.example/chestnutcleat/settings"
)

// memoryLimitPercent is the part of the process's memory that the Go runtime aims to stay below; the rest is for sockets and
// stacks.
const memoryLimitPercent = 70

// settingsPollInterval is how often the settings file is checked for changes, in case no signal is sent.
const settingsPollInterval = 2 * time.Second

// droppedReportInterval is the time between reports of dropped log lines.
const droppedReportInterval = 10 * time.Second

// roleCommand runs the process of an entry or storage VM.
type roleCommand struct {
	name, synopsis string
	settingsFile   string
}

func (c *roleCommand) Name() string { return c.name }

func (c *roleCommand) Synopsis() string { return c.synopsis }

func (c *roleCommand) Usage() string {
	return c.name + " -settings FILE\n\tSIGTERM starts a graceful shutdown, which takes no longer than the setting grace; SIGINT after it ends the process at once.\n"
}

func (c *roleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file, JSON with comments")
}

func (c *roleCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := rejectArguments(c, f); !ok {
		return s
	}
	if c.settingsFile == "" {
		return usageError(c, "flag -settings is missing: expected the settings file of the role")
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *roleCommand) run(ctx context.Context) error {
	// Registered first, as SIGHUP ends a process that does not handle it.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	s, err := settings.LoadRole(c.settingsFile)
	if err != nil {
		return err
	}
	if s.Role != c.name {
		return fmt.Errorf("settings %s are for role %q, expected %q", c.settingsFile, s.Role, c.name)
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	w := logs.NewAsyncWriter(os.Stdout)
	defer w.Close()
	l, err := logs.New(w, s.Log.Level, s.Log.Format, s.VM)
	if err != nil {
		return err
	}
	ctx, stop, release := shutdownSignalsFunc(ctx, func(s os.Signal) bool { return s == os.Interrupt })
	defer release()
	reload := c.watchSettings(ctx, l, reloadSignals)
	go reportDropped(ctx, w, l)
	if s.Role == settings.RoleStore {
		p := &role.Store{Stop: stop}
		p.Settings, p.Observer, p.Reload = s, l, reload
		return p.Run(ctx)
	}
	p := &role.Entry{Stop: stop}
	p.Settings, p.Observer, p.Reload = s, l, reload
	return p.Run(ctx)
}

// watchSettings returns a channel of new settings. It reads the file at SIGHUP, and when it has changed without a signal.
func (c *roleCommand) watchSettings(ctx context.Context, l chestnutcleat.Observer, reloadSignals <-chan os.Signal) <-chan settings.Role {
	out := make(chan settings.Role)
	last, err := os.ReadFile(c.settingsFile)
	if err != nil {
		l.Emit(event.SettingsInvalid, "file", c.settingsFile, "error", err)
	}
	go func() {
		t := time.NewTicker(settingsPollInterval)
		defer t.Stop()
		for {
			signaled := false
			select {
			case <-ctx.Done():
				return
			case <-reloadSignals:
				signaled = true
			case <-t.C:
			}
			data, err := os.ReadFile(c.settingsFile)
			if err == nil && !signaled && bytes.Equal(data, last) {
				continue
			}
			last = data
			s, parseErr := settings.ParseRole(c.settingsFile, data)
			if err := errors.Join(err, parseErr); err != nil {
				l.Emit(event.SettingsInvalid, "file", c.settingsFile, "error", err)
				continue
			}
			select {
			case out <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// reportDropped logs how many log lines were dropped since its last report.
func reportDropped(ctx context.Context, w *logs.AsyncWriter, l chestnutcleat.Observer) {
	reported := int64(0)
	for chestnutcleat.Sleep(ctx, droppedReportInterval) == nil {
		if n := w.Dropped(); n > reported {
			l.Emit(event.LogLinesDropped, "lines", n-reported)
			reported = n
		}
	}
}
