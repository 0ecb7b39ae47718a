package node_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// fakeEngines handles the control requests to all engines, which start with no model loaded.
type fakeEngines struct {
	mu     sync.Mutex
	models map[string][]chestnutcleat.ModelName
	orders map[string][]chestnutcleat.EngineCommand
	polls  map[string]int
	// loaded holds the engine and time of each load.
	loaded []modelLoad
}

type modelLoad struct {
	host string
	at   time.Time
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{models: map[string][]chestnutcleat.ModelName{}, orders: map[string][]chestnutcleat.EngineCommand{}, polls: map[string]int{}}
}

// loads returns the times of the model loads of engines whose address has a prefix.
func (e *fakeEngines) loads(prefix string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []time.Time
	for _, l := range e.loaded {
		if strings.HasPrefix(l.host, prefix) {
			list = append(list, l.at)
		}
	}
	return list
}

// RoundTrip implements http.RoundTripper.
func (e *fakeEngines) RoundTrip(q *http.Request) (*http.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out any = struct{}{}
	switch {
	case strings.HasPrefix(q.URL.Path, "/load"):
		e.polls[q.URL.Host]++
		out = chestnutcleat.LoadReport{}
	case strings.HasPrefix(q.URL.Path, "/events"):
		out = []chestnutcleat.CacheEvent{}
	case strings.HasPrefix(q.URL.Path, "/state"):
		out = chestnutcleat.EngineState{Models: e.models[q.URL.Host]}
	case strings.HasPrefix(q.URL.Path, "/orders"):
		var o chestnutcleat.EngineCommand
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			return nil, err
		}
		e.orders[q.URL.Host] = append(e.orders[q.URL.Host], o)
		if o.Load != "" {
			e.loaded = append(e.loaded, modelLoad{q.URL.Host, time.Now()})
			e.models[q.URL.Host] = append(e.models[q.URL.Host], o.Load)
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, nil
}

// takePolls returns the number of polls of an engine since the last call of takePolls, and all its orders.
func (e *fakeEngines) takePolls(host string) (int, []chestnutcleat.EngineCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.polls[host]
	e.polls[host] = 0
	return n, e.orders[host]
}

// TestOwnedUpstreams guards against engines that are polled and get their orders only after a first request: after a
// new manifest, and when a new owner replaces a lost one. Each order is sent once, and one VM polls an engine.
func TestOwnedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFakeEngines()
		f := newFleetWithTransport(t, 5, 1, 0, e)
		defer f.stop()
		check := func(step string, hosts []string, orders int) {
			t.Helper()
			for _, h := range hosts {
				e.takePolls(h)
			}
			time.Sleep(20 * time.Second)
			for _, h := range hosts {
				n, list := e.takePolls(h)
				t.Logf("%s: engine %s: %d polls, %d orders", step, h, n, len(list))
				// The owner polls once per second.
				is.True(n >= 15 && n <= 25)
				is.Equal(len(list), orders)
			}
		}
		time.Sleep(20 * time.Second)
		check("manifest", []string{"10.1.0.1:80", "10.1.0.2:80"}, 1)

		m := testManifest()
		m.Revision = 1
		m.Upstreams[0].Models = append(m.Upstreams[0].Models, "large")
		m.Upstreams[1].Models = append(m.Upstreams[1].Models, "large")
		f.apply(0, m)
		time.Sleep(20 * time.Second)
		check("changed manifest", []string{"10.1.0.1:80", "10.1.0.2:80"}, 2)

		owner := -1
		for i, n := range f.nodes {
			if n.Self.ID == f.nodes[0].Place(chestnutcleat.UpstreamKey("e1")).VM {
				owner = i
			}
		}
		f.kill(owner)
		time.Sleep(20 * time.Second)
		check("owner lost", []string{"10.1.0.1:80", "10.1.0.2:80"}, 2)
	})
}
