package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Checks the response to each kind of instance failure: a non-idempotent request runs once, and a request is reported as not
// run only if that is certain.
func TestFailures(t *testing.T) {
	type handlers map[string]func(r *receivedRequest, q *http.Request, w io.Writer) bool
	for name, handle := range (handlers{
		"breaks off": func(*receivedRequest, *http.Request, io.Writer) bool { return false },
		"garbage": func(_ *receivedRequest, _ *http.Request, w io.Writer) bool {
			fmt.Fprint(w, "garbage\r\n\r\n")
			return false
		},
		"cut body": func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n%sContent-Length: 9\r\n\r\nok", sealHeader)
			return false
		},
		"other request's answer": func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
			q.Header.Set("Chestnutcleat-Request-Id", "r0")
			respond(q, w, 200, sealHeader, "other")
			return true
		},
		"unsigned": func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
			respond(q, w, 200, "", "forged")
			return true
		},
		"unsigned failure": func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
			respond(q, w, 503, "", "forged")
			return true
		},
		"encoded": func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
			respond(q, w, 200, sealHeader+"Content-Encoding: gzip\r\n", "x")
			return true
		},
		"answer never comes": func(r *receivedRequest, _ *http.Request, w io.Writer) bool { return hangUntilClosed(r, w) },
	}) {
		for _, route := range []struct {
			path   string
			runs   int
			status int
		}{{"/check/", 2, 200}, {"/book/", 1, 502}} {
			t.Run(name+" "+route.path, func(t *testing.T) {
				runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
					if r.n == 1 {
						return handle(r, q, w)
					}
					return respondOK(r, q, w)
				}, func(is *is.I, h *harness) {
					start := time.Now()
					resp, body, err := h.do(h.t.Context(), route.path, "b")
					is.NoErr(err)
					want := route.status
					if name == "answer never comes" && want == 502 {
						want = 504
						is.Equal(time.Since(start), bookTimeout)
					}
					is.Equal(resp.StatusCode, want)
					is.Equal(len(h.instances.received()), route.runs)
					if want == 200 {
						is.Equal(body, "ok")
						is.True(h.instances.received()[0].instance != h.instances.received()[1].instance)
						is.True(time.Since(start) <= attemptTimeoutFactor*80*time.Millisecond)
					} else {
						is.True(strings.Contains(body, `"unknown"`))
					}
				})
			})
		}
	}
}

// A request that an instance declines has not run, so even a non-idempotent one may go to another instance. If all decline, the
// caller must learn that the request did not run and when to retry.
func TestDeclinedRequest(t *testing.T) {
	for _, free := range []int{1, 0} {
		t.Run(fmt.Sprint(free, " free"), func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if free > 0 && r.n == 3 {
					return respondOK(r, q, w)
				}
				respond(q, w, 503, "Chestnutcleat-Not-Executed: 1\r\n", "")
				return true
			}, func(is *is.I, h *harness) {
				resp, body, err := h.do(h.t.Context(), "/book/", "b")
				is.NoErr(err)
				if free > 0 {
					is.Equal(resp.StatusCode, 200)
					return
				}
				is.Equal(resp.StatusCode, 503)
				is.True(resp.Header.Get("Retry-After") != "")
				is.True(strings.Contains(body, `"not-run"`))
			})
		})
	}
}

// Guards against a false "not-run" outcome: the first instance breaks off and may have run the request, the next one declines
// it.
func TestLostRequestIsNotReportedAsNotRun(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if r.n == 1 {
			return false
		}
		respond(q, w, 503, "Chestnutcleat-Not-Executed: 1\r\n", "")
		return true
	}, func(is *is.I, h *harness) {
		resp, body, err := h.do(h.t.Context(), "/check/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 502)
		is.True(strings.Contains(body, `"unknown"`))
	})
}

// An instance's own error is passed on unchanged. A non-repeatable request runs once; a repeatable one is first tried at another
// instance, within its attempts. Without that retry, one instance that answers with errors (a gray failure) ended every program
// with affinity to it.
func TestInstanceFailure(t *testing.T) {
	for _, tt := range []struct {
		name, path   string
		failing      int
		status, runs int
	}{
		{"may not be repeated", "/book/", 9, 500, 1},
		{"stream that may not move", "/kept/", 9, 500, 1},
		{"another instance is healthy", "/check/", 1, 200, 2},
		{"all fail", "/check/", 9, 500, 2},
		{"stream, another instance is healthy", "/plan/", 1, 200, 2},
		{"stream, all fail", "/plan/", 9, 500, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				switch {
				case r.n <= tt.failing:
					respond(q, w, 500, sealHeader, "broken")
				case strings.HasPrefix(q.URL.Path, "/plan/"):
					writeEvents(q, w, 1, 2, true)
				default:
					respond(q, w, 200, sealHeader, "ok")
				}
				return true
			}, func(is *is.I, h *harness) {
				resp, body, err := h.do(h.t.Context(), tt.path, "b")
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
				is.Equal(body == "broken", tt.status == 500)
				is.Equal(resp.Header.Get("Chestnutcleat-Server-Seal"), "seal")
				list := h.instances.received()
				is.Equal(len(list), tt.runs)
				is.True(len(list) < 2 || list[0].instance != list[1].instance)
			})
		})
	}
}

// Requests that are not allowed to run must be refused with the reason before any instance sees them.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		pairs  []string
		status int
	}{
		"no route":      {"/none/", nil, 404},
		"unknown key":   {"/book/", []string{"Authorization", "Bearer other"}, 401},
		"no key":        {"/book/", []string{"Authorization", ""}, 401},
		"bad deadline":  {"/book/", []string{"Chestnutcleat-Deadline-Ms", "x"}, 400},
		"not stored":    {"/kept/", []string{"Chestnutcleat-Previous-Turn", "r0"}, 404},
		"over budget":   {"/plan/", []string{"Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "50", "Chestnutcleat-Token-Count", "9,51"}, 402},
		"over its rate": {"/check/", []string{"Authorization", "Bearer key of busy"}, 429},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, respondOK, func(is *is.I, h *harness) {
				resp, body, err := h.do(h.t.Context(), c.path, "b", c.pairs...)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.True(strings.Contains(body, `"not-run"`))
				is.Equal(len(h.instances.received()), 0)
			})
		})
	}
}

// A VM without a configuration cannot know that a route or key does not exist, so it must answer 503 and not 404 or 401.
func TestNoConfiguration(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		h.table = nil
		resp, _, err := h.do(h.t.Context(), "/none/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
	})
}

// A withdrawn key must stop working on open connections. Public routes need no key.
func TestKeyWithdrawn(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		resp, _, err := h.do(h.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.Equal(h.instances.received()[0].header.Get("Chestnutcleat-Tenant"), "c")
		is.Equal(h.instances.received()[0].header.Get("Authorization"), "")
		h.table = configuration("new key")
		resp, _, err = h.do(h.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 401)
		resp, _, err = h.do(h.t.Context(), "/open/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
	})
}

// The deadline forwarded to an instance must not exceed the time that the caller or the route has left.
func TestForwardedDeadline(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		for _, wait := range []string{"500", "9000"} {
			_, _, err := h.do(h.t.Context(), "/book/", "b", "Chestnutcleat-Deadline-Ms", wait)
			is.NoErr(err)
		}
		list := h.instances.received()
		is.Equal(list[0].header.Get("Chestnutcleat-Deadline-Ms"), "500")
		is.Equal(list[1].header.Get("Chestnutcleat-Deadline-Ms"), "2000")
	})
}

// When the caller disconnects, the connection to the instance must be closed at once, so that it stops.
func TestCallerDisconnects(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool { return hangUntilClosed(r, w) }, func(is *is.I, h *harness) {
		ctx, cancel := context.WithTimeout(h.t.Context(), 300*time.Millisecond)
		defer cancel()
		_, _, err := h.do(ctx, "/book/", "b")
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(10 * time.Millisecond)
		list := h.instances.received()
		is.Equal(len(list), 1)
		is.True(list[0].disconnected.Load())
	})
}

// While the VM drains, every response must close its connection.
func TestDraining(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		h.handler.Drain(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		resp, _, err := h.do(h.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.True(resp.Close)
	})
}

// A VM that shuts down must not take a request that it may have to interrupt: a stream that arrived 4.3 s after SIGTERM was cut 2.7 s
// later in the middle of its answer.
func TestDrainRefusesLongRequests(t *testing.T) {
	const strictAfter, grace = 3 * time.Second, 7 * time.Second
	tests := []struct {
		name   string
		path   string
		at     time.Duration
		wait   string
		status int
	}{
		{"callers may still have the old addresses", "/plan/", strictAfter - time.Millisecond, "", 200},
		{"ends in time by the route's timeout", "/plan/", strictAfter, "", 200},
		{"may take longer", "/plan/", grace - streamTimeout + time.Millisecond, "", 503},
		{"not repeatable, may take longer", "/book/", grace - bookTimeout + time.Millisecond, "", 503},
		{"ends in time by the caller's wait", "/plan/", grace - time.Second, "900", 200},
		{"caller waits longer than the VM", "/plan/", grace - time.Second, "1100", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if strings.HasPrefix(q.URL.Path, "/plan/") {
					writeEvents(q, w, 1, 2, true)
					return true
				}
				return respondOK(r, q, w)
			}, func(is *is.I, h *harness) {
				h.handler.Drain(time.Now().Add(strictAfter), time.Now().Add(grace))
				time.Sleep(tt.at)
				var pairs []string
				if tt.wait != "" {
					pairs = []string{"Chestnutcleat-Deadline-Ms", tt.wait}
				}
				resp, _, err := h.do(h.t.Context(), tt.path, "b", pairs...)
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
				is.True(resp.Close)
				refused := tt.status == 503
				is.Equal(resp.Header.Get("Retry-After") != "", refused)
				is.Equal(len(h.instances.received()) == 0, refused)
			})
		})
	}
}

// Request bodies must stay within the body limit and the memory limit.
func TestLargeBody(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		h.table.Limits.MaxBodyBytes = 1 << 10
		resp, _, err := h.do(h.t.Context(), "/book/", strings.Repeat("x", 2<<10))
		is.NoErr(err)
		is.Equal(resp.StatusCode, 413)
		h.table.Limits.MaxBodyBytes = 4 << 20
		resp, _, err = h.do(h.t.Context(), "/book/", strings.Repeat("x", 2<<20))
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.Equal(len(h.instances.received()), 0)
	})
}

// A request that was not sent to an instance must not count against its customer's limit: programs whose budget is exhausted send
// turn after turn, and took the tokens of the customer's other programs.
func TestRefusedRequestsUseNoTokens(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 1, true)
		return true
	}, func(is *is.I, h *harness) {
		time.Sleep(10 * time.Second) // the limit of the customer is available: 6 in 5 s
		send := func(budget string) int {
			resp, _, err := h.do(h.t.Context(), "/plan/", "b", "Authorization", "Bearer key of busy", "Chestnutcleat-Program-Id", "p",
				"Chestnutcleat-Token-Budget", budget, "Chestnutcleat-Token-Count", "9,50")
			is.NoErr(err)
			return resp.StatusCode
		}
		for range 20 {
			is.Equal(send("1"), 402)
		}
		for range 6 {
			is.Equal(send("1000"), 200)
		}
		is.Equal(send("1000"), 429)
		is.Equal(len(h.instances.received()), 6)
	})
}

// A shutdown that interrupts requests must name them while they are still known: the count alone, taken after their connections were
// closed, was 0.
func TestInterruptedRequestsAreReported(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool { return hangUntilClosed(r, w) }, func(is *is.I, h *harness) {
		events := &recordingObserver{}
		h.handler.Observer = events
		ctx, cancel := context.WithTimeout(h.t.Context(), 300*time.Millisecond)
		defer cancel()
		go func() { _, _, _ = h.do(ctx, "/kept/", "b", "Chestnutcleat-Request-Id", "r7") }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(h.handler.Interrupt(10), 1)
		is.Equal(events.with(event.RequestInterrupted, "request"), []any{chestnutcleat.RequestID("r7")})
		time.Sleep(time.Second)
		is.Equal(h.handler.Interrupt(10), 0)
	})
}

// A caller that has closed its sending side counts as gone and must get no response: it got an empty success that no instance had sent.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/book/", "/kept/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool { return hangUntilClosed(r, w) })
			defer h.close()
			s := httptest.NewServer(h.handler)
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nChestnutcleat-Request-Id: r1\r\nContent-Length: 1\r\n\r\nb", path)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			response, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(string(response), "")
		})
	}
}
