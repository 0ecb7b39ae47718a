package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// catchUpTime is the bound catch_up_s of the site lundmark-refill, and recoverTime its recover_s.
	catchUpTime = 7700 * time.Millisecond
	recoverTime = 12 * time.Second
	// mostDownTime is how long the first storage machine is down at most.
	mostDownTime = 5 * time.Second
	// wipedDownTime is how long the machine that loses its disk is down.
	wipedDownTime = time.Second
	// tries is the number of tries after which the rule counts a turn that reaches no server.
	tries = 5
)

// retire has a storage machine emptied, and removes it with its disk once the system says that it is.
func (f *fleet) retire(p *vmProcess) error {
	f.record.note("retirement of %s is ordered", p.name)
	f.platform.Set("retirements", p.name, map[string]any{"duration_s": 12})
	for end := time.Now().Add(20 * time.Second); !strings.Contains(f.platform.Status("retirements", p.name), "complete"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("retirement of %s is not complete", p.name)
		}
	}
	f.record.note("retirement of %s is complete, it is removed", p.name)
	p.stop()
	f.platform.Delete("retirements", p.name)
	return os.RemoveAll(p.disk)
}

// runOneLeft lets one of two storage machines lose power for some seconds, and the other one its disk while the first is down.
func runOneLeft(f *fleet, trouble bool) (bool, error) {
	log := &runLog{}
	for i := range 3 {
		s := &server{log: log, service: "refill-llm", zone: zones[i], slots: 32, events: 3, gap: 10 * time.Millisecond}
		if err := f.startServer(s); err != nil {
			return false, err
		}
	}
	f.platform.Set("config", "main", configuration(1, []route{
		{name: "reorder", prefix: "/reorder/", kind: "streaming", service: "refill-llm", timeoutMS: 4000, targetMS: 200, attempts: 2, retained: true},
	}, []tenant{{"alma", 400, 400}}))
	if err := f.start(2, 3); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	number := 0
	turn := func(previous string) (id string, r result) {
		number++
		id = fmt.Sprintf("turn-%d", number)
		e := f.entries[number%len(f.entries)]
		q := request{id: id, method: http.MethodPost, target: "/reorder/a", key: "key-alma", body: "input of " + id, deadline: 4 * time.Second}
		after := "a first turn"
		if previous != "" {
			q.headers = [][2]string{{"Chestnutcleat-Previous-Turn", previous}}
			after = "goes on from " + previous
		}
		r = send(e.frontend, &q)
		f.record.note("%s at %s, %s: %s", id, e.name, after, &r)
		return id, r
	}
	if err := f.retire(f.stores[2]); err != nil {
		return false, err
	}
	time.Sleep(catchUpTime + stableTime)
	var kept []string
	write := func() {
		if id, r := turn(""); r.status == http.StatusOK && r.whole {
			kept = append(kept, id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	down, wiped := f.stores[0], f.stores[1]
	if trouble {
		f.record.note("%s loses power", down.name)
		down.hold(true)
		down.signal(syscall.SIGKILL)
	}
	for start := time.Now(); time.Since(start) < mostDownTime-500*time.Millisecond && len(kept) < 10; {
		write()
	}
	f.record.note("turns answered whole: %s", strings.Join(kept, " "))
	if trouble {
		f.record.note("%s loses its disk", wiped.name)
		wiped.hold(true)
		wiped.signal(syscall.SIGKILL)
		wiped.awaitEnd()
		if err := emptyFolder(wiped.disk); err != nil {
			return false, err
		}
		f.record.note("%s is back with its disk", down.name)
		down.hold(false)
		time.Sleep(wipedDownTime)
		f.record.note("%s is back with an empty disk", wiped.name)
		wiped.hold(false)
	}
	time.Sleep(recoverTime + stableTime)
	return f.judgeKept(log, kept, turn), nil
}

// judgeKept goes on from turns that were answered whole, and reports whether some of them are lost.
func (f *fleet) judgeKept(log *runLog, kept []string, turn func(previous string) (string, result)) bool {
	ran := func(id string) bool {
		for _, v := range log.all() {
			if v.id == id {
				return true
			}
		}
		return false
	}
	firstReached, lost, denied := 0, 0, 0
	for range 10 {
		if id, _ := turn(""); ran(id) {
			firstReached++
		}
	}
	for _, previous := range kept {
		reached := false
		for range tries {
			id, r := turn(previous)
			reached = reached || ran(id)
			if r.status == http.StatusNotFound || r.status == http.StatusGone {
				denied++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !reached {
			lost++
		}
	}
	f.record.note("%d of 10 first turns reached a server; of %d turns that were answered whole, %d reached none in %d tries; %d tries were answered 404 or 410",
		firstReached, len(kept), lost, tries, denied)
	return denied > 0 || lost > 0 && firstReached >= 9
}

// emptyFolder removes all files of a folder.
func emptyFolder(path string) error {
	if err := os.RemoveAll(path); err != nil {
		return err
	}
	return os.Mkdir(path, 0o700)
}
