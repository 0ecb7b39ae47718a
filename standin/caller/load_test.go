package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/caller"
)

// fakeVMs simulates two VMs. The first one alternates between closing the connection and rejecting the call as busy.
type fakeVMs struct {
	mu        sync.Mutex
	addresses []string
	// attempts is the number of requests by call id.
	attempts map[string]int
	total    int
	bodies   []string
}

func (f *fakeVMs) handler(broken bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/vms" {
			fmt.Fprintf(w, `{"vms":[{"address":%q},{"address":%q}]}`, f.addresses[0], f.addresses[1])
			return
		}
		body, _ := io.ReadAll(r.Body)
		id := r.Header.Get("Idempotency-Key")
		f.mu.Lock()
		f.attempts[id]++
		n := f.attempts[id]
		f.total++
		cut := f.total%2 == 0
		if n == 1 {
			f.bodies = append(f.bodies, id+" "+string(body))
		}
		f.mu.Unlock()
		switch {
		case broken && cut:
			panic(http.ErrAbortHandler)
		case broken:
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"code":"busy","outcome":"not-run","retry":0.01}`)
		default:
			fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\ndata: [DONE]\n\n")
		}
	})
}

func run(t *testing.T, seed uint64) (*fakeVMs, caller.Report) {
	t.Helper()
	f := &fakeVMs{attempts: map[string]int{}}
	for _, broken := range []bool{true, false} {
		s := httptest.NewServer(f.handler(broken))
		t.Cleanup(s.Close)
		f.addresses = append(f.addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	l := caller.Load{
		VMs: []chestnutcleat.Address{chestnutcleat.Address(f.addresses[0])}, Seed: seed,
		Customers: []caller.Customer{{ID: "a", Key: "key", Rate: 1000, MaxPrograms: 3, Model: "m"}},
		Shape:     caller.Shape{MinTurns: 2, ParetoExponent: 1.5, MaxTurns: 5, MeanPause: time.Millisecond, SubAgentProbability: 0.5, SystemTokens: 10, InputTokens: 5, OutputTokens: 5},
	}
	r, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return f, r
}

// A retry at another VM keeps the call id. With a new id, a call that runs twice would go unnoticed.
func TestFailsOverWithTheSameCallID(t *testing.T) {
	is := is.New(t)
	f, r := run(t, 1)
	s := r.Customers[0]
	is.Equal(s.Finished, 3)
	is.Equal(s.Failed, 0)
	is.True(s.Failovers+s.Refusals[chestnutcleat.CodeBusy] > 0)
	is.Equal(s.CachedShare(), 0.5)
	repeated := 0
	for _, n := range f.attempts {
		if n > 1 {
			repeated++
		}
	}
	is.True(repeated > 0)
	var out bytes.Buffer
	is.NoErr(r.Write(&out))
	is.True(strings.Contains(out.String(), "busy="))
}

// Measurements can be compared only if runs with the same seed send the same calls.
func TestSameSeedSameCalls(t *testing.T) {
	is := is.New(t)
	calls := func(seed uint64) map[string]bool {
		f, _ := run(t, seed)
		out := map[string]bool{}
		for _, b := range f.bodies {
			out[b] = true
		}
		return out
	}
	is.Equal(calls(7), calls(7))
}
