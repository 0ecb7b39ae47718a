package exchange

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

var (
	loadSeeds = flag.Int("load.seeds", 1, "number of seeds of TestConnectionsOfUnframedAnswers")
	loadSpan  = flag.Duration("load.span", 4*time.Second, "virtual time of each of its runs")
)

const (
	// requestRate is the rate of requests at a VM, per second; half of them take shortAnswer, the others longAnswer in the mean.
	requestRate             = 40
	shortAnswer, longAnswer = 20 * time.Millisecond, 400 * time.Millisecond
	// timeWait is how long the kernel keeps the port of a connection that this side closed first.
	timeWait = time.Minute
)

// loadCounts is what one run counts.
type loadCounts struct {
	mu                             sync.Mutex
	requests, opened, closedByVM   int
	openAtVM, inFlightAtVM         map[int]int
	openAtInstance                 map[chestnutcleat.Address]int
	mostOpenAtVM, mostOpenAtServer int
	// ended has the VMs that send no further requests.
	ended map[int]bool
	// idle is set if a VM held more connections than it had requests in flight.
	idle bool
}

// countedConn is the VM's end of a connection.
type countedConn struct {
	net.Conn
	counts  *loadCounts
	vm      int
	address chestnutcleat.Address
	once    sync.Once
}

// opened counts a new connection.
func (c *countedConn) opened() {
	l := c.counts
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	l.openAtVM[c.vm]++
	l.openAtInstance[c.address]++
	l.mostOpenAtVM = max(l.mostOpenAtVM, l.openAtVM[c.vm])
	l.mostOpenAtServer = max(l.mostOpenAtServer, l.openAtInstance[c.address])
	l.idle = l.idle || l.openAtVM[c.vm] > l.inFlightAtVM[c.vm]
}

// Close counts the connection as closed by the VM unless the instance has closed it before.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		_, err := c.Read(make([]byte, 1))
		c.counts.mu.Lock()
		defer c.counts.mu.Unlock()
		if err != io.EOF && !c.counts.ended[c.vm] {
			c.counts.closedByVM++
		}
		c.counts.openAtVM[c.vm]--
		c.counts.openAtInstance[c.address]--
	})
	return c.Conn.Close()
}

// answer serves requests on a connection: with a length on a kept connection, or without one.
func answer(c net.Conn, framed bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		d, err := time.ParseDuration(q.Header.Get("Takes"))
		if err != nil {
			return
		}
		time.Sleep(d)
		if !framed {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nanswer")
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 6\r\n\r\nanswer"); err != nil {
			return
		}
	}
}

// runLoad plays the requests of a fleet, and fails unless all are answered and all connections are closed in the end.
func runLoad(t *testing.T, vms, instances int, seed uint64, framed bool) *loadCounts {
	l := &loadCounts{openAtVM: map[int]int{}, inFlightAtVM: map[int]int{}, openAtInstance: map[chestnutcleat.Address]int{}, ended: map[int]bool{}}
	synctest.Test(t, func(t *testing.T) {
		var running sync.WaitGroup
		for vm := range vms {
			random := rand.New(rand.NewPCG(seed, uint64(vm)))
			p := NewPool(net.KeepAliveConfig{})
			p.Dial = func(_ context.Context, a chestnutcleat.Address) (net.Conn, error) {
				client, server := net.Pipe()
				go answer(server, framed)
				c := &countedConn{Conn: client, counts: l, vm: vm, address: a}
				c.opened()
				return c, nil
			}
			running.Go(func() {
				var requests sync.WaitGroup
				for start, n := time.Now(), 0; time.Since(start) < *loadSpan; n++ {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / requestRate))
					mean := []time.Duration{shortAnswer, longAnswer}[random.IntN(2)]
					d := time.Duration(random.ExpFloat64() * float64(mean))
					a := chestnutcleat.Address(fmt.Sprint(random.IntN(instances)))
					requests.Go(func() { l.request(t, p, vm, a, fmt.Sprint(n), d) })
				}
				requests.Wait()
				l.mu.Lock()
				l.ended[vm] = true
				l.mu.Unlock()
				p.Close()
			})
		}
		running.Wait()
	})
	for vm, open := range l.openAtVM {
		if open != 0 {
			t.Errorf("VM %d keeps %d connections", vm, open)
		}
	}
	return l
}

// request sends a request of a VM and reads its answer.
func (l *loadCounts) request(t *testing.T, p *Pool, vm int, a chestnutcleat.Address, id string, takes time.Duration) {
	l.addInFlight(vm, 1)
	defer l.addInFlight(vm, -1)
	q := &Request{ID: chestnutcleat.RequestID(id), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Takes": {takes.String()}}}
	r, err := p.Do(t.Context(), a, q)
	if err != nil {
		t.Error(err)
		return
	}
	defer r.Close()
	if body, err := io.ReadAll(r); err != nil || string(body) != "answer" {
		t.Errorf("body %q, error %v", body, err)
	}
}

func (l *loadCounts) addInFlight(vm, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlightAtVM[vm] += n
	if n > 0 {
		l.requests++
	}
}

// When all instances answer without length or chunks, a VM must hold no connection beyond its requests in flight and must not be the side
// that closes first, whose port stays taken for a minute: ports, descriptors and the connections that an instance accepts would run out.
func TestConnectionsOfUnframedAnswers(t *testing.T) {
	for _, fleet := range []struct{ vms, instances int }{{7, 18}, {60, 147}} {
		t.Run(fmt.Sprint(fleet.vms, " VMs"), func(t *testing.T) {
			var opened, atVM, atServer, ports []float64
			for seed := range uint64(*loadSeeds) {
				framed, unframed := runLoad(t, fleet.vms, fleet.instances, seed, true), runLoad(t, fleet.vms, fleet.instances, seed, false)
				if unframed.idle || unframed.closedByVM > 0 || unframed.opened != unframed.requests {
					t.Errorf("seed %d: %d requests, %d connections, %d closed first by the VM, more than in flight %t",
						seed, unframed.requests, unframed.opened, unframed.closedByVM, unframed.idle)
				}
				opened = append(opened, ratio(unframed.opened, framed.opened))
				atVM = append(atVM, ratio(unframed.mostOpenAtVM, framed.mostOpenAtVM))
				atServer = append(atServer, ratio(unframed.mostOpenAtServer, framed.mostOpenAtServer))
				ports = append(ports, timeWait.Seconds()*float64(framed.closedByVM)/loadSpan.Seconds()/float64(fleet.vms))
				t.Logf("seed %d, with and without length: connections %d and %d; most open at a VM %d and %d, at an instance %d and %d; closed first by VMs %d and %d",
					seed, framed.opened, unframed.opened, framed.mostOpenAtVM, unframed.mostOpenAtVM, framed.mostOpenAtServer, unframed.mostOpenAtServer,
					framed.closedByVM, unframed.closedByVM)
			}
			t.Logf("without length / with: new connections %s, most open at a VM %s, at an instance %s; ports in TIME_WAIT at a VM with length %s",
				middle(opened), middle(atVM), middle(atServer), middle(ports))
		})
	}
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

// middle formats the median and the range of numbers.
func middle(v []float64) string {
	slices.Sort(v)
	return fmt.Sprintf("%.2f (%.2f to %.2f)", v[len(v)/2], v[0], v[len(v)-1])
}
