package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// residentMB returns the resident memory of the process in megabytes, or 0 if it does not run.
func (p *vmProcess) residentMB() int {
	p.mu.Lock()
	pid := 0
	if p.cmd != nil && p.cmd.Process != nil {
		pid = p.cmd.Process.Pid
	}
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory kills each process that uses more memory than its machine has, as the platform does, until the returned function is
// called, which returns how often it did so.
func (f *fleet) enforceMemory() (stop func() map[string]int) {
	killed := map[string]int{}
	done := make(chan struct{})
	var mu sync.Mutex
	var watch sync.WaitGroup
	for _, p := range append(append([]*vmProcess{}, f.entries...), f.stores...) {
		limit := f.limits.entryMemory
		if p.role == "store" {
			limit = f.limits.storeMemory
		}
		watch.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				mb := p.residentMB()
				if mb <= limit {
					continue
				}
				f.record.note("%s uses %d MB, the machine has %d MB: it is killed", p.name, mb, limit)
				mu.Lock()
				killed[p.name]++
				mu.Unlock()
				p.signal(syscall.SIGKILL)
				p.awaitEnd()
			}
		})
	}
	return func() map[string]int {
		close(done)
		watch.Wait()
		return killed
	}
}

const (
	// longUsers users have conversations of longTurns turns with longInput bytes of input each, which is under a quarter of max_body_bytes.
	longUsers, longTurns, longInput = 6, 18, 1 << 20
	// width is the number of sub-agents that each user's program starts at once. Programs of the sheet start up to 4.
	width = 6
	// rounds is how often they are started.
	rounds = 5
	// mostEnds is the number of ends of a process from which on the rule counts a machine, and leastMachines the number of such machines.
	mostEnds, leastMachines = 3, 2
)

// runMemory lets the programs of users start sub-agents that go on from long conversations: all at once, or one after the other.
func runMemory(f *fleet, trouble bool) (bool, error) {
	log := &runLog{}
	for i := range 3 {
		s := &server{log: log, service: "refill-llm", zone: zones[i], slots: 64, events: 5, gap: 10 * time.Millisecond}
		if err := f.startServer(s); err != nil {
			return false, err
		}
	}
	f.platform.Set("config", "main", configuration(1, []route{
		{name: "plan", prefix: "/plan/", kind: "streaming", service: "refill-llm", timeoutMS: 4000, targetMS: 200, attempts: 2, retained: true},
	}, []tenant{{"alma", 400, 400}}))
	if err := f.start(2, 3); err != nil {
		return false, err
	}
	time.Sleep(stableTime + 500*time.Millisecond)
	stop := f.enforceMemory()
	input := strings.Repeat("x", longInput)
	for u := range longUsers {
		for n := 1; n <= longTurns; n++ {
			previous := ""
			if n > 1 {
				previous = turnID(u, n-1)
			}
			if r := f.sendTurn(u, turnID(u, n), previous, input); r.status != http.StatusOK || !r.whole {
				stop()
				return false, fmt.Errorf("turn %s before the disruption: %s", turnID(u, n), &r)
			}
		}
	}
	f.noteMemory()
	for round := range rounds {
		var all sync.WaitGroup
		for i := range longUsers * width {
			u, id := i%longUsers, fmt.Sprintf("u%d-r%d-s%d", i%longUsers, round, i/longUsers)
			all.Go(func() {
				r := f.sendTurn(u, id, turnID(u, longTurns), "go on")
				f.record.note("%s goes on from %s: %s", id, turnID(u, longTurns), &r)
			})
			if !trouble {
				all.Wait()
			}
		}
		all.Wait()
		f.noteMemory()
		time.Sleep(stableTime)
	}
	machines := 0
	for name, n := range stop() {
		f.record.note("%s used more memory than its machine has %d times", name, n)
		if n >= mostEnds {
			machines++
		}
	}
	f.record.note("%d machines ended %d times or more by themselves, the rule allows %d", machines, mostEnds, leastMachines-1)
	return machines >= leastMachines, nil
}

func turnID(user, n int) string { return fmt.Sprintf("u%d-t%d", user, n) }

// sendTurn sends a turn of a user at the machine that the user is connected to.
func (f *fleet) sendTurn(user int, id, previous, body string) result {
	q := request{
		id: id, method: http.MethodPost, target: "/plan/a", key: "key-alma", body: body, deadline: 4 * time.Second,
		headers: [][2]string{
			{"Chestnutcleat-Program-Id", fmt.Sprintf("p%d", user)}, {"Chestnutcleat-Program-Deadline-Ms", "60000"},
			{"Chestnutcleat-Token-Budget", "100000"}, {"Chestnutcleat-Token-Count", "1000,95"},
		},
	}
	if previous != "" {
		q.headers = append(q.headers, [2]string{"Chestnutcleat-Previous-Turn", previous})
	}
	return send(f.entries[user%len(f.entries)].frontend, &q)
}

// noteMemory records the memory of all processes.
func (f *fleet) noteMemory() {
	for _, p := range append(append([]*vmProcess{}, f.entries...), f.stores...) {
		f.record.note("%s uses %d MB", p.name, p.residentMB())
	}
}
