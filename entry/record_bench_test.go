package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/config"
)

const (
	// benchRounds is the number of rounds of a seed, each with the record and without it, and benchStreams that of the streams of a round.
	benchRounds  = 8
	benchStreams = 160
	// benchCallers is the number of callers at the same time.
	benchCallers = 8
)

// streamCost is what the streams of some rounds took.
type streamCost struct{ cpu, wall time.Duration }

func (c *streamCost) add(d streamCost) {
	c.cpu += d.cpu
	c.wall += d.wall
}

// BenchmarkVersionRecord compares streams whose software version is put on record with streams for which it is not. Each iteration has a
// seed of its own. The replica is part of the process and syncs to a disk; no sockets are used.
func BenchmarkVersionRecord(b *testing.B) {
	var cpu, wall, extra []float64
	for seed := range b.N {
		with, without := compareRecord(b, uint64(seed))
		cpu = append(cpu, float64(with.cpu)/float64(without.cpu))
		wall = append(wall, float64(with.wall)/float64(without.wall))
		extra = append(extra, float64((with.cpu-without.cpu).Microseconds())/(benchRounds*benchStreams))
	}
	reportRange(b, "cpu", cpu)
	reportRange(b, "wall", wall)
	reportRange(b, "extra-us", extra)
}

// reportRange reports the median, the least and the largest of some figures.
func reportRange(b *testing.B, name string, list []float64) {
	slices.Sort(list)
	b.ReportMetric(list[len(list)/2], name+"-median")
	b.ReportMetric(list[0], name+"-min")
	b.ReportMetric(list[len(list)-1], name+"-max")
}

// compareRecord runs streams with and without the record in a random order.
func compareRecord(b *testing.B, seed uint64) (with, without streamCost) {
	r := rand.New(rand.NewPCG(seed, seed))
	h := newHarness(b, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 20, true)
		return true
	})
	defer h.close()
	h.handler.Memory.Limit = 1 << 30
	var id atomic.Int64
	h.runStreams(b, false, &id) // opens the connections
	for range benchRounds {
		arms := []bool{true, false}
		r.Shuffle(len(arms), func(i, j int) { arms[i], arms[j] = arms[j], arms[i] })
		for _, recorded := range arms {
			cost := h.runStreams(b, recorded, &id)
			if recorded {
				with.add(cost)
			} else {
				without.add(cost)
			}
		}
	}
	return with, without
}

// runStreams runs the streams of a round and returns what they took.
func (h *harness) runStreams(b *testing.B, recorded bool, id *atomic.Int64) streamCost {
	c := config.Config{Routes: routes(), Services: h.table.Services, Customers: h.table.Customers}
	for i := range c.Routes {
		c.Routes[i].Resumable = recorded
	}
	h.table = config.NewTable(c)
	start, before := time.Now(), cpuTime(b)
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() {
			for range benchStreams / benchCallers {
				resp, text, err := h.do(b.Context(), "/plan/", "b", "Chestnutcleat-Request-Id", fmt.Sprint("r", id.Add(1)))
				if err != nil || resp.StatusCode != http.StatusOK || text != streamText(20) {
					b.Errorf("stream failed: %v %q", err, text)
					return
				}
			}
		})
	}
	callers.Wait()
	return streamCost{cpu: cpuTime(b) - before, wall: time.Since(start)}
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
