package role_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/standin/store"
)

// lateRequests counts what happened to requests that were sent to a VM that shuts down.
type lateRequests struct {
	refused, answered, ran atomic.Int64
}

// A VM that shuts down must not take late requests that it can't finish: callers that use the VM until it is gone, on kept connections or on
// new ones, get an answer to each request that reached an instance.
func TestLateRequestsOfShutdown(t *testing.T) {
	is := is.New(t)
	var late lateRequests
	var running sync.Map
	f := newFleet(t, 2, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Chestnutcleat-Request-Id")
		running.Store(id, true)
		work, err := time.ParseDuration(r.Header.Get("Work"))
		if err != nil {
			t.Error(err)
		}
		select {
		case <-time.After(work):
			answer(w, r)
		case <-r.Context().Done():
		}
	}, func(s *store.Store) {
		s.Set("config", "main", map[string]any{
			"version": 2,
			"routes": []any{map[string]any{
				"name": "book", "host": "h", "path_prefix": "/check/", "type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
				"service": "tool", "max_attempts": 1,
			}},
			"services": []any{map[string]any{"name": "tool"}},
			"tenants":  []any{map[string]any{"name": "c", "api_keys": []string{"key"}}},
		})
	})
	leaving := f.entries[0]
	stopped := time.Now()
	close(leaving.stop)
	var callers sync.WaitGroup
	for i := range 16 {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
		callers.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("r%d-%d", i, n)
				sent := time.Since(stopped)
				status, err := sendLate(t.Context(), &client, leaving, id, time.Duration(random.IntN(int(1500*time.Millisecond))), 200+random.IntN(3000))
				if isRefused(err) {
					return
				}
				_, ran := running.Load(id)
				late.count(status, ran)
				if err != nil && ran {
					t.Errorf("request %s, sent %v after the stop, reached an instance and got no answer: %v", id, sent, err)
				}
			}
		})
	}
	callers.Wait()
	is.NoErr(<-leaving.ended)
	t.Logf("%d ran, %d answered, %d refused", late.ran.Load(), late.answered.Load(), late.refused.Load())
	is.True(late.answered.Load() > 0)
}

func (l *lateRequests) count(status int, ran bool) {
	if ran {
		l.ran.Add(1)
	}
	switch status {
	case http.StatusOK:
		l.answered.Add(1)
	case http.StatusServiceUnavailable:
		l.refused.Add(1)
	}
}

// sendLate sends a request that the instance works on for a while, and that the caller waits a number of milliseconds for. It returns
// the status if the whole answer arrived.
func sendLate(ctx context.Context, client *http.Client, e *entry, id string, work time.Duration, wait int) (int, error) {
	req, err := newRequest(ctx, string(e.settings.Listen.Callers), id, id)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Chestnutcleat-Deadline-Ms", fmt.Sprint(wait))
	req.Header.Set("Work", work.String())
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
