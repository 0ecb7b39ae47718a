package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// wakeInterval is the time after which the watchdog wants to be woken, and syncInterval the time between two writes of its own file.
	wakeInterval = 20 * time.Millisecond
	syncInterval = 500 * time.Millisecond
	// minStall is the shortest delay of the machine that is reported. It is below the shortest bound of a guarantee.
	minStall = 150 * time.Millisecond
	// maxStallLines bounds the delays of each kind that are listed one by one.
	maxStallLines = 10
)

// stall is a time in which the machine held up the soak itself, or a VM.
type stall struct {
	vm           string
	from, length time.Duration
}

// watchdog measures how long the machine holds up the soak's own process and its writes to disk, and the VMs. A check that fails during such
// a delay may show the machine and not the fleet.
type watchdog struct {
	start time.Time
	dir   string

	mu    sync.Mutex
	wakes []stall
	syncs []stall
	// queues are the times in which a thread of a VM waited for a processor.
	queues []stall
	err    error
}

// run measures until ctx is done.
func (w *watchdog) run(ctx context.Context, processes map[string]*process) {
	var wg sync.WaitGroup
	wg.Go(func() { w.watchQueues(ctx, processes) })
	wg.Go(func() { w.watchWakes(ctx) })
	w.watchSyncs(ctx)
	wg.Wait()
}

func (w *watchdog) watchWakes(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(wakeInterval)
		if chestnutcleat.Sleep(ctx, wakeInterval) != nil {
			return
		}
		w.note(&w.wakes, due)
	}
}

func (w *watchdog) watchSyncs(ctx context.Context) {
	f, err := os.Create(filepath.Join(w.dir, "watchdog"))
	if err != nil {
		w.fail(err)
		return
	}
	defer f.Close()
	for chestnutcleat.Sleep(ctx, syncInterval) == nil {
		from := time.Now()
		if _, err := f.WriteAt([]byte(from.String()), 0); err != nil {
			w.fail(err)
			return
		}
		if err := f.Sync(); err != nil {
			w.fail(err)
			return
		}
		w.note(&w.syncs, from)
	}
}

// note records a delay from a time until now if it is long enough.
func (w *watchdog) note(list *[]stall, from time.Time) {
	length := time.Since(from)
	if length < minStall {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, stall{from: from.Sub(w.start), length: length})
}

func (w *watchdog) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
}

// lines returns a description of the delays.
func (w *watchdog) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := append(stallLines("wake-ups", minStall, w.wakes), stallLines("syncs", minStall, w.syncs)...)
	lines = append(lines, stallLines("waits of VMs for a processor", minQueueTime, w.queues)...)
	if w.err != nil {
		lines = append(lines, fmt.Sprintf("machine: syncs were not measured: %v", w.err))
	}
	return lines
}

// stallLines describes the delays of one kind.
func stallLines(kind string, shortest time.Duration, list []stall) []string {
	longest := stall{}
	for _, s := range list {
		if s.length > longest.length {
			longest = s
		}
	}
	lines := []string{fmt.Sprintf("machine: %d %s over %v, longest %v", len(list), kind, shortest, longest.length.Round(time.Millisecond))}
	for _, s := range list[:min(len(list), maxStallLines)] {
		lines = append(lines, strings.TrimSpace(fmt.Sprintf("machine: %s held up from %.3f s for %v %s", kind, s.from.Seconds(), s.length.Round(time.Millisecond), s.vm)))
	}
	return lines
}
