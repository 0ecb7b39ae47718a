package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// queueInterval is the time between two looks at how long threads waited for a processor.
	queueInterval = 500 * time.Millisecond
	// minQueueTime is what a thread must have waited between two looks. As the kernel counts a wait when it ends, this was longer than an
	// interval.
	minQueueTime = time.Second
)

// watchQueues records the waits for a processor of the VMs' threads, where the kernel counts them: a VM that does nothing while it waits is
// held up by the machine.
func (w *watchdog) watchQueues(ctx context.Context, processes map[string]*process) {
	known := map[string]time.Duration{}
	for chestnutcleat.Sleep(ctx, queueInterval) == nil {
		for id, p := range processes {
			if longest := longestWait(known, p.pid()); longest >= minQueueTime {
				w.noteQueue(id, longest)
			}
		}
	}
}

func (w *watchdog) noteQueue(vm string, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queues = append(w.queues, stall{vm: vm, from: time.Since(w.start) - length, length: length})
}

// longestWait returns the longest time that a thread of a process has waited since the last look, and updates the known times.
func longestWait(known map[string]time.Duration, pid int) time.Duration {
	// A pattern without errors, and no threads where there is no such folder.
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	longest := time.Duration(0)
	for _, file := range files {
		waited, err := waitTime(file)
		if err != nil {
			continue // the thread has ended
		}
		longest = max(longest, waited-known[file])
		known[file] = waited
	}
	return longest
}

// waitTime returns the time that a thread has waited for a processor, the second number of the file.
func waitTime(file string) (time.Duration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s: expected two numbers or more", file)
	}
	n, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(n), err
}
