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

// memoryShare is the part of the process's memory, in percent, that the garbage collector aims to keep below; the rest is
// for sockets and stacks.
const memoryShare = 70

// settingsInterval is the time between looks for a change of the settings file without a signal.
const settingsInterval = 2 * time.Second

// droppedInterval is the time between two reports of dropped log lines.
const droppedInterval = 10 * time.Second

// roleCommand runs a process of one role.
type roleCommand struct {
	name, synopsis string
	settings       string
}

func (c *roleCommand) Name() string { return c.name }

func (c *roleCommand) Synopsis() string { return c.synopsis }

func (c *roleCommand) Usage() string {
	return c.name + " -settings FILE\n\tSIGTERM starts a graceful shutdown, which the grace bounds; SIGINT after it ends the process at once.\n"
}

func (c *roleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file, JSON with comments")
}

func (c *roleCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s, ok := surplus(c, f); !ok {
		return s
	}
	if c.settings == "" {
		return misuse(c, "flag -settings is missing: expected the settings file of the role")
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *roleCommand) run(ctx context.Context) error {
	// Before it is asked for, SIGHUP ends a process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := settings.LoadRole(c.settings)
	if err != nil {
		return err
	}
	if s.Role != c.name {
		return fmt.Errorf("settings %s are of role %q, expected %q", c.settings, s.Role, c.name)
	}
	debug.SetMemoryLimit(int64(s.Memory) << 20 * memoryShare / 100)
	w := logs.NewBounded(os.Stdout)
	defer w.Close()
	l, err := logs.New(w, s.Log.Level, s.Log.Format, s.VM)
	if err != nil {
		return err
	}
	ctx, stop, end := signalsOf(ctx, func(s os.Signal) bool { return s == os.Interrupt })
	defer end()
	reload := c.watch(ctx, l, hangups)
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

// watch reads the settings again at SIGHUP and when the file changes without a signal.
func (c *roleCommand) watch(ctx context.Context, l chestnutcleat.Observer, hangups <-chan os.Signal) <-chan settings.Role {
	out := make(chan settings.Role)
	known, err := os.ReadFile(c.settings)
	if err != nil {
		l.Emit(event.SettingsBad, "file", c.settings, "error", err)
	}
	go func() {
		t := time.NewTicker(settingsInterval)
		defer t.Stop()
		for {
			asked := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				asked = true
			case <-t.C:
			}
			data, err := os.ReadFile(c.settings)
			if err == nil && !asked && bytes.Equal(data, known) {
				continue
			}
			known = data
			s, invalid := settings.ParseRole(c.settings, data)
			if err := errors.Join(err, invalid); err != nil {
				l.Emit(event.SettingsBad, "file", c.settings, "error", err)
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

// reportDropped logs how many lines were dropped since the last time.
func reportDropped(ctx context.Context, w *logs.Bounded, l chestnutcleat.Observer) {
	known := int64(0)
	for chestnutcleat.Sleep(ctx, droppedInterval) == nil {
		if n := w.Dropped(); n > known {
			l.Emit(event.LinesDropped, "lines", n-known)
			known = n
		}
	}
}
