package engine_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
	"chestnutcleat.example/chestnutcleat/upstream"
)

func newClient(t *testing.T, h http.Handler) *engine.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	tr := upstream.NewTransport(true, nil)
	t.Cleanup(tr.CloseIdleConnections)
	return &engine.Client{Address: chestnutcleat.Address(strings.TrimPrefix(s.URL, "http://")), Transport: tr}
}

func newRequest(id string, messages ...engine.Message) engine.Request {
	return engine.Request{ID: id, Chat: engine.Chat{Model: "m", Messages: messages, MaxTokens: 10}}
}

// Orders with an old fencing token come from a former owner and must have no effect on engines that check the token.
func TestControl(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		is := is.New(t)
		c := newClient(t, &standinengine.Engine{Models: []chestnutcleat.ModelName{"m"}, Fencing: fencing, Decode: 1e6})
		is.NoErr(c.Order(t.Context(), chestnutcleat.EngineCommand{Fence: 2, Load: "x"}))
		is.Equal(c.Order(t.Context(), chestnutcleat.EngineCommand{Fence: 1, Unload: "x"}) != nil, fencing)
		is.NoErr(c.Pin(t.Context(), chestnutcleat.Pin{Program: "p", Tokens: 5, Expiry: time.Now().Add(time.Hour)}))
		is.NoErr(c.Pin(t.Context(), chestnutcleat.Pin{Program: "q", Tokens: 5, Expiry: time.Now().Add(-time.Hour)}))
		s, err := c.State(t.Context())
		is.NoErr(err)
		is.Equal(len(s.Models) == 2, fencing)
		is.Equal(len(s.Pins), 1)
		_, err = c.Complete(t.Context(), newRequest("a", engine.NewMessage("user", "hello")))
		is.NoErr(err)
		l, err := c.Load(t.Context())
		is.NoErr(err)
		is.True(l.Occupied > 0)
		events, err := c.Events(t.Context(), 0)
		is.NoErr(err)
		is.True(len(events) > 0)
	}
}

// A prefix in the engine's cache must be reported as cached tokens, and no longer after its eviction.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	c := newClient(t, &standinengine.Engine{Cache: 100, Decode: 1e6, Prefill: 1e6})
	long := engine.NewMessage("user", strings.Repeat("x", 200))
	ask := func(m ...engine.Message) chestnutcleat.Tokens {
		a, err := c.Complete(t.Context(), newRequest("a", m...))
		is.NoErr(err)
		return a.Usage.ToUsage().Cached
	}
	is.Equal(ask(long), chestnutcleat.Tokens(0))
	is.Equal(ask(long, engine.NewMessage("user", "more")), long.Tokens())
	is.Equal(ask(engine.NewMessage("user", strings.Repeat("y", 300))), chestnutcleat.Tokens(0))
	is.Equal(ask(long), chestnutcleat.Tokens(0))
}

// Recomputed must count tokens that another engine has cached, but not those that no engine has cached any more.
func TestRecomputedTokens(t *testing.T) {
	is := is.New(t)
	var shared standinengine.CacheIndex
	a, b := &standinengine.Engine{Decode: 1e6, CacheIndex: &shared}, &standinengine.Engine{Decode: 1e6, CacheIndex: &shared}
	long := engine.NewMessage("user", strings.Repeat("x", 200))
	for _, e := range []*standinengine.Engine{a, b} {
		_, err := newClient(t, e).Complete(t.Context(), newRequest("r", long))
		is.NoErr(err)
	}
	is.Equal(a.Stats().Recomputed, chestnutcleat.Tokens(0))
	is.Equal(b.Stats().Recomputed, long.Tokens())
	a.Crash(0)
	b.Crash(0)
	_, err := newClient(t, a).Complete(t.Context(), newRequest("r", long))
	is.NoErr(err)
	is.Equal(a.Stats().Recomputed, chestnutcleat.Tokens(0))
}

// After a mismatched response the connection must be closed: the rest of it would be read as the next response.
func TestConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	remotes := map[string]bool{}
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remotes[r.RemoteAddr] = true
		w.Header().Set(engine.HeaderRequest, "other")
		fmt.Fprint(w, `{"id":"other"}`)
	}))
	for i := range 3 {
		_, err := c.Complete(t.Context(), newRequest("mine", engine.NewMessage("user", "hello")))
		var e *upstream.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, upstream.Mismatched)
		is.Equal(len(remotes), i+1)
	}
}

// A repeated stream that differs from the delivered text must not be joined to it.
func TestResume(t *testing.T) {
	for name, c := range map[string]struct {
		noResume bool
		prefix   int
		damage   string
		kind     upstream.ErrorKind
	}{
		"resumed":             {false, 10, "", ""},
		"repeated":            {true, 10, "", ""},
		"repeated, diverged":  {true, 10, "#", upstream.Diverged},
		"repeated, too short": {true, 40, "#", upstream.Diverged},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &standinengine.Engine{Decode: 1e6}
			client := newClient(t, e)
			whole, err := client.Complete(t.Context(), newRequest("a", engine.NewMessage("user", "#tokens=10")))
			is.NoErr(err)
			want := whole.Choices[0].Message.Text()
			e.SetFaults(standinengine.Faults{NoResume: c.noResume})
			r := newRequest("b", engine.NewMessage("user", "#tokens=10"))
			r.Chat.Stream = true
			r.Prefix = want[:c.prefix] + c.damage
			s, err := client.Stream(t.Context(), r)
			is.NoErr(err)
			defer s.Close()
			got := want[:c.prefix]
			for {
				ev, err := s.Next()
				var failed *upstream.Error
				if errors.As(err, &failed) {
					is.Equal(failed.Kind, c.kind)
					return
				}
				if err != nil {
					break
				}
				for _, choice := range ev.Choices {
					got += choice.Delta.Content
				}
			}
			is.Equal(c.kind, upstream.ErrorKind(""))
			is.Equal(got, want)
		})
	}
}

// A stream is complete only with both a finish reason and the final [DONE] event.
func TestIncompleteStream(t *testing.T) {
	for _, end := range []string{"data: [DONE]\n\n", `data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"} {
		is := is.New(t)
		c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderRequest, "a")
			fmt.Fprint(w, `data: {"id":"a","choices":[{"delta":{"content":"x"}}]}`+"\n\n"+end)
		}))
		s, err := c.Stream(t.Context(), newRequest("a", engine.NewMessage("user", "hello")))
		is.NoErr(err)
		for err == nil {
			_, err = s.Next()
		}
		var e *upstream.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, upstream.Broken)
		is.NoErr(s.Close())
	}
}
