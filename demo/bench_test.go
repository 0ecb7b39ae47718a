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
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/engine"
	"chestnutcleat.example/chestnutcleat/logs"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

const (
	// benchBodyBytes is the size of a request's text.
	benchBodyBytes = 2000
	// benchTokenRate is so high that the stand-in engine takes no time for tokens.
	benchTokenRate = 1e9
	benchClients   = 4
	warmupCalls    = 200
)

// BenchmarkOverhead compares calls through a VM with direct calls of the same engine, in alternation. One operation is one call of
// each. The client, the VMs and the stand-ins share the process.
func BenchmarkOverhead(b *testing.B) {
	for _, n := range []int{1, 3} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) { benchmarkOverhead(b, n) })
	}
}

// endpoint is where calls are sent, and the customer's key if one is needed.
type endpoint struct {
	url string
	key string
}

func benchmarkOverhead(b *testing.B, vms int) {
	observer, err := logs.New(io.Discard, "error", "text", "bench")
	if err != nil {
		b.Fatal(err)
	}
	customer := chestnutcleat.Customer{ID: "pomar-alto", Rate: 100_000, Burst: 100_000}
	f := &Fleet{VMs: vms, Engines: 1, Decode: benchTokenRate, Prefill: benchTokenRate, Cache: 1_000_000, Customers: []chestnutcleat.Customer{customer}, Observer: observer}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	if err := f.Start(ctx); err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchClients}}
	// Listeners are in the order of their start: the platform's first, then the engine's.
	direct := endpoint{url: "http://" + f.listeners[1].Addr().String() + caller.PathChat}
	viaVM := endpoint{url: "http://" + string(f.Callers()[0]) + caller.PathChat, key: CustomerKey(customer.ID)}
	body, err := json.Marshal(map[string]any{
		"model": Model, "max_tokens": 16,
		"messages": []engine.Message{engine.NewMessage("user", strings.Repeat("abc ", benchBodyBytes/4)+"#tokens=16")},
	})
	if err != nil {
		b.Fatal(err)
	}
	for range warmupCalls {
		timeCall(b, client, direct, body)
		timeCall(b, client, viaVM, body)
	}
	var directTimes, viaVMTimes []time.Duration
	b.ResetTimer()
	for range b.N {
		directTimes = append(directTimes, timeCall(b, client, direct, body))
		viaVMTimes = append(viaVMTimes, timeCall(b, client, viaVM, body))
	}
	b.StopTimer()
	for _, p := range []int{50, 99} {
		d, t := percentile(directTimes, p), percentile(viaVMTimes, p)
		b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%d-µs", p))
		b.ReportMetric(float64((t - d).Microseconds()), fmt.Sprintf("added-p%d-µs", p))
		b.ReportMetric(float64(t)/float64(d), fmt.Sprintf("ratio-p%d", p))
	}
	d, t := cpuTimePerCall(b, client, direct, body), cpuTimePerCall(b, client, viaVM, body)
	b.ReportMetric(float64((t - d).Microseconds()), "added-cpu-µs")
	b.ReportMetric(float64(time.Second)/float64(t-d), "calls/s/core")
}

func timeCall(b *testing.B, client *http.Client, to endpoint, body []byte) time.Duration {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, to.url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if to.key != "" {
		req.Header.Set("Authorization", "Bearer "+to.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v: %s", resp.StatusCode, err, data)
	}
	return time.Since(start)
}

func percentile(list []time.Duration, p int) time.Duration {
	list = slices.Sorted(slices.Values(list))
	return list[min(len(list)*p/100, len(list)-1)]
}

// cpuTimePerCall returns the CPU time of the whole process per call under steady load.
func cpuTimePerCall(b *testing.B, client *http.Client, to endpoint, body []byte) time.Duration {
	const calls = 500
	before := resources.CPUTime(b)
	var wg sync.WaitGroup
	for range benchClients {
		wg.Go(func() {
			for range calls {
				timeCall(b, client, to, body)
			}
		})
	}
	wg.Wait()
	return (resources.CPUTime(b) - before) / (calls * benchClients)
}
