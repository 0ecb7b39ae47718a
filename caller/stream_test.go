package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/engine"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
)

// Each event must reach the caller before the engine sends the next one: buffering would delay the first token.
func TestStreamsWithoutBuffering(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	next := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(engine.HeaderRequest)
		w.Header().Set(engine.HeaderRequest, id)
		for i := range 5 {
			fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", id, i)
			http.NewResponseController(w).Flush()
			<-next
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
	}))
	t.Cleanup(server.Close)
	s.upstreams[0].Address = chestnutcleat.Address(strings.TrimPrefix(server.URL, "http://"))
	p := s.beginChat(t.Context(), t, chatBody("m", "x", true))
	defer p.Body.Close()
	events := engine.NewEventReader(p.Body)
	for i := range 5 {
		data, err := events.Next()
		is.NoErr(err)
		is.True(strings.Contains(string(data), fmt.Sprintf(`"content":"%d"`, i)))
		next <- struct{}{}
	}
	rest, err := io.ReadAll(p.Body)
	is.NoErr(err)
	is.True(!strings.Contains(string(rest), "error"))
}

// No request to an upstream may contain a key, wherever the caller or its proxy has put it.
func TestNoKeyReachesAnUpstream(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	s.engines[0].SetFaults(standinengine.Faults{CutAfterTokens: 3, Requests: 1})
	extra := []string{"Cookie", "session=1", "Proxy-Authorization", "Basic eDp5", "X-Api-Key", "secret", "User-Agent", "agent"}
	s.chat(t, chatBody("m", "hello", true), extra...)
	s.chat(t, chatBody("m", "hello", false), append(extra, "Idempotency-Key", "visible-call", "Chestnutcleat-Program", "visible-program")...)
	s.send(t, "POST", "/v1/services/book/x?a=b", "body", append(extra, "Authorization", bearer)...)
	s.chat(t, chatBody("m", activeKey, false))
	s.chat(t, chatBody("m", "hello", false), "X-Copy", activeKey)
	var all strings.Builder
	for _, e := range s.engines {
		for _, r := range e.Received() {
			fmt.Fprintf(&all, "%s %s %v %s\n", r.Method, r.URI, r.Header, r.Body)
		}
	}
	for _, r := range s.service.Received() {
		fmt.Fprintf(&all, "%s %s %v %s\n", r.Method, r.URI, r.Header, r.Body)
	}
	is.True(strings.Contains(all.String(), "hello"))
	for _, text := range []string{activeKey, "Authorization", "Bearer", "secret", "Cookie", "visible-", chestnutcleat.DigestOf([]byte(activeKey)).String()} {
		is.True(!strings.Contains(all.String(), text))
	}
}

// An answer that ends at the token budget must be complete with finish reason "length", and the engine must get the lower limit.
func TestBudgetCutsAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		s := startSystem(t)
		s.output = 7
		a := s.chat(t, chatBody("m", "#tokens=20", stream))
		is.True(strings.Contains(a.body, `"finish_reason":"length"`))
		is.Equal(strings.Contains(a.body, "[DONE]"), stream)
		is.Equal(s.settled[0].Answer.Usage.Output, chestnutcleat.Tokens(7))
		is.True(strings.Contains(string(s.engines[0].Received()[0].Body), `"max_tokens":7`))
	}
}

// A retry must get the recorded answer without taking another rate token and without running again.
func TestReplay(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		s := startSystem(t)
		first := s.chat(t, chatBody("m", "hello", stream), "Idempotency-Key", "c1")
		s.rateExceeded = true
		second := s.chat(t, chatBody("m", "hello", stream), "Idempotency-Key", "c1")
		is.Equal(second.status, 200)
		if stream {
			is.Equal(streamedText(t, second.body), streamedText(t, first.body))
			is.True(strings.Contains(second.body, "[DONE]"))
		} else {
			is.Equal(second.body, first.body)
		}
		is.Equal(len(s.engines[0].Received()), 1)
		other := s.chat(t, chatBody("m", "other", stream), "Idempotency-Key", "c1")
		is.Equal(other.status, http.StatusUnprocessableEntity)
	}
}

// The recorded history must be the one that the program's next call extends.
func TestHistoryIncludesAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		s := startSystem(t)
		a := s.chat(t, chatBody("m", "hello", stream))
		content := streamedText(t, a.body)
		if !stream {
			var c engine.Completion
			is.NoErr(json.Unmarshal([]byte(a.body), &c))
			content = c.Choices[0].Message.Text()
		}
		want := engine.HistoryDigests([]engine.Message{engine.NewMessage("user", "hello"), engine.NewMessage("assistant", content)})
		is.Equal(s.settled[0].History, want)
		is.Equal(s.begun[0].Call.History, want[:1])
	}
}

// A draining VM must finish calls in progress, serve programs that already exist, and refuse new ones.
func TestDrain(t *testing.T) {
	runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
		s.engines[0].Decode = 200
		got := make(chan response, 1)
		p := s.beginChat(t.Context(), t, chatBody("m", "#tokens=30", true))
		go func() {
			data, err := io.ReadAll(p.Body)
			got <- response{body: string(data), err: err}
		}()
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(s.handler.Drain(cancelled) != nil)
		refused := s.chat(t, chatBody("m", "hello", false))
		is.True(strings.Contains(refused.body, string(chestnutcleat.CodeLeaving)))
		is.True(strings.Contains(refused.body, `"outcome":"not-run"`))
		is.Equal(s.chat(t, chatBody("m", "hello", false), "Chestnutcleat-Program", "p", "Chestnutcleat-After", "c0").status, 200)
		is.NoErr(s.handler.Drain(t.Context()))
		a := <-got
		is.NoErr(a.err)
		is.True(strings.Contains(a.body, "[DONE]"))
	})
}

// Callers learn the addresses of other VMs and of their program's owner from these responses.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	a := s.send(t, "GET", caller.PathVMs, "")
	is.Equal(strings.TrimSpace(a.body), `{"vms":[{"id":"v1","address":"127.0.0.1:9","domain":"norra"}]}`)
	is.Equal(a.header.Get("Cache-Control"), "private, max-age=5")
	c := s.chat(t, chatBody("free", "hello", false))
	is.Equal(c.status, 200)
	is.Equal(c.header.Get("Chestnutcleat-VM"), "127.0.0.1:9")
	is.True(c.header.Get("Chestnutcleat-Call") != "")
	is.Equal(s.send(t, "DELETE", caller.PathPrograms+"p1", "", "Authorization", bearer).status, http.StatusNoContent)
	is.Equal(s.ended, []chestnutcleat.ProgramID{"p1"})
}

// If an upstream's owner replies that the upstream accepts no more calls, another upstream must be picked.
func TestMovedCallPicksAnotherUpstream(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	s.movedUpstream = "e0"
	is.Equal(s.chat(t, chatBody("m", "hello", false)).status, 200)
	is.Equal(len(s.engines[0].Received()), 0)
	is.Equal(len(s.engines[1].Received()), 1)
}
