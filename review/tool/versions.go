package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/store"
)

const (
	// storeDownTime is how long the platform's store answers 503.
	storeDownTime = 4500 * time.Millisecond
	// updateTime is how long a server is away while it starts again at another software version, and updateGap the time between two such
	// starts.
	updateTime = 150 * time.Millisecond
	updateGap  = 860 * time.Millisecond
	// updates is the number of servers of nine that are updated while the store is down, and outages how often it is.
	updates, outages = 4, 6
	// mostJoined is the number of joined streams that the rule allows.
	mostJoined = 2
	// streamClients is the number of clients, each with one stream at a time of streamEvents events with streamGap between them.
	streamClients, streamEvents = 20, 31
	streamGap                   = 95 * time.Millisecond
)

// update starts the server again under its id and address at another software version. Its registration follows when the store is back.
func (s *server) update(version string, registered <-chan struct{}) {
	s.mu.Lock()
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.version = version
	s.mu.Unlock()
	time.Sleep(updateTime)
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		s.fleet.record.note("server %s does not start again: %v", s.id, err)
		return
	}
	born := time.Now()
	s.listen(l)
	s.fleet.record.note("server %s has started again at version %s", s.id, version)
	<-registered
	s.register(version, born)
	s.fleet.record.note("server %s registers version %s", s.id, version)
}

// runVersions updates servers one after the other, in place, while the store is down, and looks for streams of two versions. The clients
// have about two streams at each server.
func runVersions(f *fleet, trouble bool) (bool, error) {
	log := &runLog{}
	var servers []*server
	for i := range 9 {
		s := &server{log: log, service: "refill-llm", version: "1", zone: zones[i%3], slots: 32, events: streamEvents, gap: streamGap}
		if err := f.startServer(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	f.platform.Set("config", "main", configuration(1, []route{
		{name: "check", prefix: "/check/", kind: "streaming", service: "refill-llm", timeoutMS: 4000, targetMS: 200, attempts: 2, resumable: true},
	}, []tenant{{"alma", 400, 400}}))
	if err := f.start(2, 3); err != nil {
		return false, err
	}
	time.Sleep(stableTime + 500*time.Millisecond)
	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	joined, streams := 0, 0
	for c := range streamClients {
		clients.Go(func() {
			time.Sleep(rand.N(streamEvents * streamGap))
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				ok := f.readStream(fmt.Sprintf("c%d-%d", c, n), f.entries[(c+n)%len(f.entries)], f.entries[(c+n+1)%len(f.entries)])
				mu.Lock()
				streams++
				if !ok {
					joined++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(streamEvents * streamGap)
	for round := range outages {
		f.updateServers(servers, round, trouble)
		time.Sleep(2 * streamEvents * streamGap)
	}
	close(done)
	clients.Wait()
	f.record.note("%d of %d streams hold events of two software versions, the rule allows %d", joined, streams, mostJoined)
	return joined > mostJoined, nil
}

// updateServers starts some of the servers again at another software version, one after the other, while the store is down.
func (f *fleet) updateServers(servers []*server, round int, trouble bool) {
	registered := make(chan struct{})
	if !trouble {
		time.Sleep(storeDownTime)
		return
	}
	f.record.note("the store answers 503 for %v", storeDownTime)
	f.platform.SetFaults(store.Faults{Status: http.StatusServiceUnavailable})
	time.AfterFunc(storeDownTime, func() {
		f.platform.SetFaults(store.Faults{})
		f.record.note("the store is back")
		close(registered)
	})
	var updating sync.WaitGroup
	time.Sleep(100 * time.Millisecond)
	for n := range updates {
		s := servers[(round*updates+n)%len(servers)]
		updating.Go(func() { s.update(fmt.Sprint(round+2), registered) })
		time.Sleep(updateGap)
	}
	updating.Wait()
}

// readStream reads one stream, takes it up again once if it breaks off, and reports whether all its events are of one version.
func (f *fleet) readStream(id string, e, next *vmProcess) bool {
	q := request{id: id, method: http.MethodPost, target: "/check/" + id, key: "key-alma", body: "check " + id, deadline: 4 * time.Second}
	r := send(e.frontend, &q)
	versions, last := versionsOf(r.body)
	if r.status == http.StatusOK && !r.whole && last > 0 {
		q.id = id + "-again"
		q.headers = [][2]string{{"Last-Event-Id", fmt.Sprint(last)}, {"Resumes", id}}
		r = send(next.frontend, &q)
		f.record.note("%s broke off after event %d and is taken up as %s: %s", id, last, q.id, &r)
		more, _ := versionsOf(r.body)
		versions = append(versions, more...)
	}
	if len(versions) > 0 && slices.ContainsFunc(versions, func(v string) bool { return v != versions[0] }) {
		f.record.note("%s, ending %s, holds events of versions %s", id, &r, strings.Join(versions, ""))
		return false
	}
	return true
}

// versionsOf returns the software version of each whole event in the body of an answer, and the id of the last one.
func versionsOf(body string) (versions []string, last int) {
	events := strings.Split(body, "\n\n")
	for _, e := range events[:len(events)-1] {
		var id int
		if _, err := fmt.Sscanf(e, "id: %d", &id); err != nil {
			continue
		}
		_, version, _ := strings.Cut(e, versionMark)
		versions, last = append(versions, version), id
	}
	return versions, last
}
