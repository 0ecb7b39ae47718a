package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/engine"
	"chestnutcleat.example/chestnutcleat/logs"
)

const (
	// benchBody is the size in bytes of a request's text.
	benchBody = 2000
	// benchSpeed lets the stand-in engine take no time for tokens.
	benchSpeed   = 1e9
	benchClients = 4
	warmup       = 200
)

// BenchmarkOverhead compares a call through one VM with a direct call of the same engine, both in turns.
// One operation is one call of each. Client, VMs and stand-ins share the process.
func BenchmarkOverhead(b *testing.B) {
	for _, n := range []int{1, 3} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) { benchmarkOverhead(b, n) })
	}
}

// target is where calls are sent.
type target struct {
	url string
	key string
}

func benchmarkOverhead(b *testing.B, vms int) {
	o, err := logs.New(io.Discard, "error", "text", "bench")
	if err != nil {
		b.Fatal(err)
	}
	customer := chestnutcleat.Customer{ID: "pomar-alto", Rate: 100_000, Burst: 100_000}
	f := &Fleet{VMs: vms, Engines: 1, Decode: benchSpeed, Prefill: benchSpeed, Cache: 1_000_000, Customers: []chestnutcleat.Customer{customer}, Observer: o}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	if err := f.Start(ctx); err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchClients}}
	// The platform's listener is the first one, the engine's the second.
	direct := target{url: "http://" + f.lists[1].Addr().String() + caller.PathChat}
	through := target{url: "http://" + string(f.Callers()[0]) + caller.PathChat, key: KeyOf(customer.ID)}
	body, err := json.Marshal(map[string]any{
		"model": Model, "max_tokens": 16,
		"messages": []engine.Message{engine.NewMessage("user", strings.Repeat("abc ", benchBody/4)+"#tokens=16")},
	})
	if err != nil {
		b.Fatal(err)
	}
	for range warmup {
		timed(b, client, direct, body)
		timed(b, client, through, body)
	}
	var without, with []time.Duration
	b.ResetTimer()
	for range b.N {
		without = append(without, timed(b, client, direct, body))
		with = append(with, timed(b, client, through, body))
	}
	b.StopTimer()
	for _, q := range []int{50, 99} {
		d, t := quantile(without, q), quantile(with, q)
		b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%d-µs", q))
		b.ReportMetric(float64((t - d).Microseconds()), fmt.Sprintf("added-p%d-µs", q))
		b.ReportMetric(float64(t)/float64(d), fmt.Sprintf("ratio-p%d", q))
	}
	d, t := processorTime(b, client, direct, body), processorTime(b, client, through, body)
	b.ReportMetric(float64((t - d).Microseconds()), "added-cpu-µs")
	b.ReportMetric(float64(time.Second)/float64(t-d), "calls/s/core")
}

func timed(b *testing.B, client *http.Client, t target, body []byte) time.Duration {
	began := time.Now()
	r, err := http.NewRequest(http.MethodPost, t.url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	if t.key != "" {
		r.Header.Set("Authorization", "Bearer "+t.key)
	}
	p, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer p.Body.Close()
	data, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v: %s", p.StatusCode, err, data)
	}
	return time.Since(began)
}

func quantile(list []time.Duration, q int) time.Duration {
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)*q/100, len(list)-1)]
}

// processorTime returns the processor time of the whole process per call under steady load.
func processorTime(b *testing.B, client *http.Client, t target, body []byte) time.Duration {
	const calls = 500
	before := used(b)
	var group sync.WaitGroup
	for range benchClients {
		group.Go(func() {
			for range calls {
				timed(b, client, t, body)
			}
		})
	}
	group.Wait()
	return (used(b) - before) / (calls * benchClients)
}

func used(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
