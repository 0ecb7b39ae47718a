package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
	"chestnutcleat.example/chestnutcleat/engine"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
	standinservice "chestnutcleat.example/chestnutcleat/standin/service"
)

// A wrong outcome makes callers repeat a call that must not be repeated, or give up one that never ran.
func TestServiceOutcomes(t *testing.T) {
	cases := []struct {
		name, route string
		faults      standinservice.Faults
		outcome     chestnutcleat.Outcome
		// minRuns and maxRuns limit the number of executions.
		minRuns, maxRuns int
	}{
		{"non-repeatable, connection refused", "deadbook", standinservice.Faults{}, chestnutcleat.NotRun, 0, 0},
		{"non-repeatable, next upstream", "half", standinservice.Faults{}, chestnutcleat.Done, 1, 1},
		{"non-repeatable, cut before execution", "book", standinservice.Faults{CutBefore: true}, chestnutcleat.Unknown, 0, 0},
		{"non-repeatable, cut after execution", "book", standinservice.Faults{CutAfter: true}, chestnutcleat.Unknown, 1, 1},
		{"non-repeatable, cut in the body", "book", standinservice.Faults{CutBody: true}, chestnutcleat.Unknown, 1, 1},
		{"non-repeatable, wrong id", "book", standinservice.Faults{WrongID: true}, chestnutcleat.Unknown, 1, 1},
		{"non-repeatable, error answer", "book", standinservice.Faults{Status: 500}, chestnutcleat.Failed, 1, 1},
		{"non-repeatable, complete", "book", standinservice.Faults{}, chestnutcleat.Done, 1, 1},
		{"repeatable, one cut", "read", standinservice.Faults{CutAfter: true, Requests: 1}, chestnutcleat.Done, 2, 2},
		{"repeatable, one wrong id", "read", standinservice.Faults{WrongID: true, Requests: 1}, chestnutcleat.Done, 2, 2},
		{"repeatable, always cut in the body", "read", standinservice.Faults{CutBody: true}, chestnutcleat.Failed, 2, caller.DefaultMaxAttempts},
		{"repeatable, always cut before", "read", standinservice.Faults{CutBefore: true}, chestnutcleat.Unknown, 0, 0},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				is := is.New(t)
				s := startSystem(t)
				if c.route == "book" || c.route == "read" {
					// An idle connection in the pool must not change the outcome.
					is.Equal(s.send(t, method, "/v1/services/"+c.route+"/warm", "", "Authorization", bearer).status, 200)
				}
				s.service.SetFaults(c.faults)
				a := s.send(t, method, "/v1/services/"+c.route+"/x", "", "Authorization", bearer, "Idempotency-Key", "c1")
				is.NoErr(a.err)
				var p chestnutcleat.Problem
				is.NoErr(json.Unmarshal([]byte(a.body), &p))
				switch {
				case c.faults.Status != 0:
					is.Equal(a.status, c.faults.Status)
				case c.outcome == chestnutcleat.Done:
					is.Equal(a.status, 200)
				default:
					is.Equal(p.Outcome, c.outcome)
				}
				s.mu.Lock()
				is.Equal(s.settled[len(s.settled)-1].Answer.Outcome, c.outcome)
				s.mu.Unlock()
				runs := 0
				for _, n := range s.service.Executions() {
					runs += n
				}
				if c.route == "book" || c.route == "read" {
					runs--
				}
				is.True(runs >= c.minRuns && runs <= c.maxRuns)
				// A retry gets the same answer, and nothing runs a second time.
				before := len(s.service.Received())
				b := s.send(t, method, "/v1/services/"+c.route+"/x", "", "Authorization", bearer, "Idempotency-Key", "c1")
				is.Equal(b.body, a.body)
				is.Equal(b.status, a.status)
				is.Equal(len(s.service.Received()), before)
			})
		}
	}
}

// A stream that is truncated or has the id of another request must be completed or end with an error, never look complete.
func TestChatOutcomes(t *testing.T) {
	cases := []struct {
		name, model string
		stream      bool
		faults      standinengine.Faults
		// outcome is Done if the complete text must arrive.
		outcome chestnutcleat.Outcome
	}{
		{"connection refused", "dead", true, standinengine.Faults{}, chestnutcleat.NotRun},
		{"refused", "m", true, standinengine.Faults{Refuse: true, Requests: 1}, chestnutcleat.Done},
		{"refused, non-repeatable", "once", true, standinengine.Faults{Refuse: true}, chestnutcleat.Unknown},
		{"cut after headers", "m", true, standinengine.Faults{CutAfterHeaders: true, Requests: 1}, chestnutcleat.Done},
		{"cut after headers, non-repeatable", "once", true, standinengine.Faults{CutAfterHeaders: true}, chestnutcleat.Unknown},
		{"cut in the stream", "m", true, standinengine.Faults{CutAfterTokens: 5, Requests: 1}, chestnutcleat.Done},
		{"cut in the stream, no resume", "m", true, standinengine.Faults{CutAfterTokens: 5, NoResume: true, Requests: 1}, chestnutcleat.Done},
		{"cut in the stream, non-repeatable", "once", true, standinengine.Faults{CutAfterTokens: 5}, chestnutcleat.Unknown},
		{"end lost", "m", true, standinengine.Faults{CutBeforeEnd: true, Requests: 1}, chestnutcleat.Done},
		{"end always lost", "m", true, standinengine.Faults{CutBeforeEnd: true}, chestnutcleat.Failed},
		{"end lost, non-repeatable", "once", true, standinengine.Faults{CutBeforeEnd: true}, chestnutcleat.Unknown},
		{"wrong id", "m", true, standinengine.Faults{WrongID: true, Requests: 1}, chestnutcleat.Done},
		{"wrong id, non-repeatable", "once", true, standinengine.Faults{WrongID: true}, chestnutcleat.Unknown},
		{"not streamed, half of the body", "m", false, standinengine.Faults{CutBeforeEnd: true, Requests: 1}, chestnutcleat.Done},
		{"not streamed, half of the body, non-repeatable", "once", false, standinengine.Faults{CutBeforeEnd: true}, chestnutcleat.Unknown},
		{"not streamed, wrong id", "m", false, standinengine.Faults{WrongID: true, Requests: 1}, chestnutcleat.Done},
		{"not streamed, always wrong id", "m", false, standinengine.Faults{WrongID: true}, chestnutcleat.Failed},
		{"error status", "m", false, standinengine.Faults{Status: 500, Requests: 1}, chestnutcleat.Done},
		{"error status, non-repeatable", "once", false, standinengine.Faults{Status: 500}, chestnutcleat.Failed},
		{"crash", "m", true, standinengine.Faults{CrashText: "tokens"}, chestnutcleat.Unknown},
	}
	want := streamedText(t, startSystem(t).chat(t, chatBody("m", "#tokens=20", true)).body)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			for i, e := range s.engines {
				if i == 0 || c.faults.Requests == 0 {
					e.SetFaults(c.faults)
				}
			}
			a := s.chat(t, chatBody(c.model, "#tokens=20", c.stream))
			is.NoErr(a.err)
			s.mu.Lock()
			is.Equal(s.settled[len(s.settled)-1].Answer.Outcome, c.outcome)
			s.mu.Unlock()
			if !c.stream && c.outcome == chestnutcleat.Done {
				is.Equal(a.status, 200)
				is.True(strings.Contains(a.body, `"id":"chatcmpl-`))
				return
			}
			is.Equal(strings.Contains(a.body, "[DONE]"), c.outcome == chestnutcleat.Done)
			if c.outcome == chestnutcleat.Done {
				is.Equal(streamedText(t, a.body), want)
				return
			}
			is.True(strings.Contains(a.body, `"outcome":"`+string(c.outcome)+`"`))
			is.True(!strings.Contains(a.body, `"finish_reason":"`))
		})
	}
}

// A non-repeatable call must not be sent twice when the upstream closes the connection in the middle of the request.
func TestUpstreamClosesDuringRequest(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	connections := make(chan int, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n, _ := c.Read(make([]byte, 10))
			connections <- n
			c.Close()
		}
	}()
	s.upstreams[2].Address = chestnutcleat.Address(l.Addr().String())
	a := s.send(t, http.MethodPut, "/v1/services/book/x", strings.Repeat("x", 4000), "Authorization", bearer)
	is.True(strings.Contains(a.body, `"outcome":"unknown"`))
	is.Equal(len(connections), 1)
}

// An upstream that hangs must not hold a call beyond its deadline, and the outcome must not claim that nothing ran.
func TestHangingUpstream(t *testing.T) {
	for route, code := range map[string]chestnutcleat.Code{"read": chestnutcleat.CodeDeadline, "book": chestnutcleat.CodeDeadline} {
		t.Run(route, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
				for i := range s.routes {
					s.routes[i].Timeout = chestnutcleat.Duration(2 * time.Second)
				}
				s.service.SetFaults(standinservice.Faults{Hang: true})
				a := s.send(t, http.MethodPost, "/v1/services/"+route+"/x", "", "Authorization", bearer)
				is.True(strings.Contains(a.body, string(code)))
				is.True(strings.Contains(a.body, `"outcome":"unknown"`))
				is.NoErr(s.handler.Drain(t.Context()))
				is.Equal(s.released[0].Crashed, false)
			})
		})
	}
	t.Run("stream", func(t *testing.T) {
		runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
			s.handler.StreamIdleTimeout = 200 * time.Millisecond
			s.engines[0].SetFaults(standinengine.Faults{Hang: true})
			is.True(strings.Contains(s.chat(t, chatBody("m", "hello", true)).body, "[DONE]"))
			is.NoErr(s.handler.Drain(t.Context()))
			is.Equal(s.released[0].Failed, true)
		})
	})
}

// A stream that was given up as its engine was silent is no crash: two of them ended the call, and all others with its body, as a
// request that crashes upstreams.
func TestIdleStreamIsNoCrash(t *testing.T) {
	runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
		s.handler.StreamIdleTimeout = 100 * time.Millisecond
		for _, e := range s.engines {
			e.SetFaults(standinengine.Faults{Hang: true, Requests: 1})
		}
		is.True(strings.Contains(s.chat(t, chatBody("m", "hello", true)).body, "[DONE]"))
		is.NoErr(s.handler.Drain(t.Context()))
		is.True(len(s.settled) > 1)
		for _, q := range s.settled {
			is.Equal(q.Crashed, false)
		}
		for _, q := range s.released {
			is.Equal(q.Crashed, false)
		}
		is.Equal(s.released[0].Failed, true)
	})
}

// A slow but sound stream must not be cut where no further attempt may follow: it ended without an answer that it would have had.
func TestSlowStreamLasts(t *testing.T) {
	for _, model := range []string{"m", "once"} {
		t.Run(model, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
				s.handler.StreamIdleTimeout = 100 * time.Millisecond
				for _, e := range s.engines {
					e.SetFaults(standinengine.Faults{Latency: chestnutcleat.Duration(300 * time.Millisecond)})
				}
				is.True(strings.Contains(s.chat(t, chatBody(model, "hello", true)).body, "[DONE]"))
				is.NoErr(s.handler.Drain(t.Context()))
				is.Equal(s.settled[len(s.settled)-1].Answer.Outcome, chestnutcleat.Done)
			})
		})
	}
}

// A crash must be reported to the owners of the program and the upstream, or the crashing request would be sent to the next one.
func TestCrashIsReported(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	s.engines[0].SetFaults(standinengine.Faults{CrashText: "poison", Restart: chestnutcleat.Duration(time.Hour)})
	is.Equal(s.chat(t, chatBody("m", "poison", false)).status, 200)
	is.NoErr(s.handler.Drain(t.Context()))
	is.Equal(s.settled[0].Crashed, true)
	is.Equal(s.settled[0].Upstream, chestnutcleat.UpstreamID("e0"))
	is.Equal(s.released[0].Crashed, true)
	is.Equal(s.settled[1].Crashed, false)
}

// Withdrawing a key must cancel repeatable calls; a non-repeatable call completes and its answer is withheld.
func TestWithdrawnKey(t *testing.T) {
	for model, outcome := range map[string]chestnutcleat.Outcome{"m": chestnutcleat.Failed, "once": chestnutcleat.Done} {
		t.Run(model, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
				s.engines[0].Decode = 200
				p := s.beginChat(t.Context(), t, chatBody(model, "#tokens=60", true))
				defer p.Body.Close()
				_, err := engine.NewEventReader(p.Body).Next()
				is.NoErr(err)
				s.withdrawKey()
				rest, err := io.ReadAll(p.Body)
				is.NoErr(err)
				is.True(strings.Contains(string(rest), string(chestnutcleat.CodeKeyWithdrawn)))
				is.True(!strings.Contains(string(rest), "[DONE]"))
				is.NoErr(s.handler.Drain(t.Context()))
				s.mu.Lock()
				defer s.mu.Unlock()
				is.Equal(s.settled[len(s.settled)-1].Answer.Outcome, outcome)
				is.Equal(s.released[len(s.released)-1].Crashed, false)
			})
		})
	}
}

// A disconnect must cancel a repeatable call, unless the caller can retry it by its id, but never one that may already have
// had an effect.
func TestDisconnect(t *testing.T) {
	for name, done := range map[string]bool{"m": false, "m c1": true, "once": true} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
				s.engines[0].Decode = 200
				model, id, explicit := strings.Cut(name, " ")
				ctx, cancel := context.WithCancel(t.Context())
				var headers []string
				if explicit {
					headers = []string{"Idempotency-Key", id}
				}
				p := s.beginChat(ctx, t, chatBody(model, "#tokens=60", true), headers...)
				_, err := engine.NewEventReader(p.Body).Next()
				is.NoErr(err)
				cancel()
				p.Body.Close()
				is.NoErr(s.handler.Drain(t.Context()))
				s.mu.Lock()
				defer s.mu.Unlock()
				is.Equal(s.settled[len(s.settled)-1].Answer.Outcome == chestnutcleat.Done, done)
			})
		})
	}
}

// streamedText returns the text of a streamed answer.
func streamedText(t *testing.T, body string) string {
	t.Helper()
	r := engine.NewEventReader(strings.NewReader(body))
	var out strings.Builder
	for {
		data, err := r.Next()
		if err != nil || string(data) == "[DONE]" {
			return out.String()
		}
		var c engine.Completion
		if err := json.Unmarshal(data, &c); err != nil {
			t.Fatal(err)
		}
		if len(c.Choices) == 1 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
}
