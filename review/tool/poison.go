package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// poisonText is in the body of the request that crashes servers.
	poisonText = "poison"
	// mostRetries is the number of retries that the rule allows.
	mostRetries = 3
)

// runPoison sends a request that crashes the servers that run it, again and again. Meanwhile the entry machines are stopped and started
// in turn, as at a planned update.
func runPoison(f *fleet, trouble bool) (bool, error) {
	log := &runLog{}
	var servers []*server
	for i := range 6 {
		s := &server{
			version: "1", log: log, service: "depot-app", zone: zones[i%3], slots: 6, work: 40 * time.Millisecond, poison: poisonText,
			downTime: 2 * time.Second,
		}
		if err := f.startServer(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	f.platform.Set("config", "main", configuration(1, []route{
		{name: "book", prefix: "/book/", kind: "non_idempotent", service: "depot-app", timeoutMS: 2000, targetMS: 200, attempts: 1},
	}, []tenant{{"alma", 100, 100}, {"bruno", 100, 100}}))
	if err := f.start(3, 3); err != nil {
		return false, err
	}
	time.Sleep(stableTime + 500*time.Millisecond)
	sent := map[string]time.Time{}
	started := map[*vmProcess]time.Time{}
	number := 0
	retry := func(e *vmProcess) {
		number++
		q := request{
			id: fmt.Sprintf("poison-%d", number), method: http.MethodPost, target: "/book/7", key: "key-alma",
			body: poisonText, deadline: 2 * time.Second,
		}
		sent[q.id] = time.Now()
		r := send(e.frontend, &q)
		inTouch := time.Since(started[e]) > stableTime+100*time.Millisecond
		f.record.note("client sends %s to %s (in touch %t): %s", q.id, e.name, inTouch, &r)
		if !inTouch {
			delete(sent, q.id)
		}
		time.Sleep(700 * time.Millisecond)
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { f.bookUntil(done) })
	// The request comes at all machines in turn.
	for range 2 {
		for _, e := range f.entries {
			retry(e)
		}
	}
	for _, e := range f.entries {
		time.Sleep(6 * time.Second)
		if trouble {
			f.record.note("SIGTERM to %s", e.name)
			e.signal(syscall.SIGTERM)
			e.awaitEnd()
			if err := f.awaitReady(e); err != nil {
				return false, err
			}
		}
		started[e] = time.Now()
		time.Sleep(stableTime + 500*time.Millisecond)
		for range 4 {
			retry(e)
		}
	}
	close(done)
	clients.Wait()
	cut := 0
	for _, s := range servers {
		cut += len(s.cut)
	}
	f.record.note("%d requests of another tenant, which can't be repeated, were cut by the crashes", cut)
	return f.judgePoison(log, sent), nil
}

// bookUntil sends the requests of another tenant until done is closed.
func (f *fleet) bookUntil(done <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(15 * time.Millisecond):
		}
		all.Go(func() {
			id := fmt.Sprintf("b%d", n)
			q := request{id: id, method: http.MethodPost, target: "/book/" + id, key: "key-bruno", body: "book " + id, deadline: 2 * time.Second}
			// A machine that is stopped may refuse the connection; what counts is seen at the servers.
			_ = send(f.entries[n%len(f.entries)].frontend, &q)
		})
	}
}

// judgePoison counts the retries that reached servers later than stable_ms after the third crash.
func (f *fleet) judgePoison(log *runLog, sent map[string]time.Time) bool {
	crashes, late := 0, 0
	var third time.Time
	for _, v := range log.all() {
		if v.body != poisonText {
			continue
		}
		crashes++
		if crashes == 3 {
			third = v.at
		}
		at, ok := sent[v.id]
		counts := ok && !third.IsZero() && at.After(third.Add(stableTime))
		f.record.note("server %s ran %s %.3f s after the start; crash %d, counts %t", v.server, v.id, v.at.Sub(f.record.start).Seconds(), crashes, counts)
		if counts {
			late++
		}
	}
	f.record.note("%d retries sent later than %v after the third crash reached servers, the rule allows %d", late, stableTime, mostRetries)
	return late > mostRetries
}
