package entry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// writeEndlessly writes a text again and again until the connection is closed, and adds the written bytes to sum.
func writeEndlessly(w io.Writer, sum *atomic.Int64, text string) {
	if len(text) > 0 {
		text = strings.Repeat(text, max(1, 1024/len(text)))
	}
	for {
		n, err := io.WriteString(w, text)
		sum.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// endlessAnswer is an answer whose last part is repeated without end.
type endlessAnswer struct {
	path string
	// start is the part that is sent once; ID stands for the request's id.
	start, repeated string
	// maxBytes bounds what the VM reads of one answer before it closes the connection.
	maxBytes int64
	// status is what the caller gets; zero if the stream breaks off after its header.
	status int
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: ID\r\n" + sealHeader
	chunked    = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	firstEvent = "id: 1\ndata: piece 1\n\n"
	// bufferSlack is what may be read or written in advance, in bytes.
	bufferSlack = 16 << 10
	// Limits in these tests, in bytes. That on heads is the default of package exchange.
	testMaxHead, testMaxBody, testMaxEvent, testMaxOutput = 32 << 10, 512 << 10, 128 << 10, 64 << 10
	// maxChunkOverhead is what net/http reads of chunk headers that carry next to no data, in bytes.
	maxChunkOverhead = 64 << 10
)

// endlessAnswers are answers that go on until the connection is closed, in each part of a response.
var endlessAnswers = map[string]endlessAnswer{
	"status line":            {"/check/", "", "HTTP/1.1", testMaxHead, 502},
	"status text":            {"/book/", "HTTP/1.1 200 ", "O", testMaxHead, 502},
	"one header value":       {"/check/", okHead + "X: ", "x", testMaxHead, 502},
	"many headers":           {"/book/", okHead, "X: x\r\n", testMaxHead, 502},
	"informational":          {"/check/", "", "HTTP/1.1 100 Continue\r\n\r\n", testMaxHead, 502},
	"head of a stream":       {"/plan/", okHead, "X: x\r\n", testMaxHead, 502},
	"body without a length":  {"/book/", okHead + "\r\n", "x", testMaxBody, 502},
	"body with a length":     {"/check/", okHead + "Content-Length: 4611686018427387904\r\n\r\n", "x", testMaxBody, 502},
	"body in chunks":         {"/book/", chunked, "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 2 * testMaxBody, 502},
	"chunk size":             {"/check/", chunked, "0", maxChunkOverhead, 502},
	"chunk extension":        {"/book/", chunked + "4;", "x", maxChunkOverhead, 502},
	"chunks with extensions": {"/book/", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", maxChunkOverhead, 502},
	"trailer":                {"/check/", chunked + "0\r\n", "X: x\r\n", maxChunkOverhead, 502},
	"event":                  {"/plan/", chunked + "7fffffff\r\ndata: ", "x", testMaxEvent, 502},
	"event lines":            {"/kept/", chunked + "7fffffff\r\n", "data: x\n", testMaxEvent, 502},
	"later event":            {"/kept/", chunked + "7fffffff\r\n" + firstEvent + "data: ", "x", testMaxEvent, 0},
	"comments":               {"/plan/", chunked + "7fffffff\r\n", ": x\n\n", maxCommentBytes, 0},
	"comments after events":  {"/kept/", chunked + "7fffffff\r\n" + firstEvent, ":\n\n", maxCommentBytes, 0},
	"events of a kept turn":  {"/kept/", chunked + "7fffffff\r\n", "data: x\n\n", 6 * testMaxOutput, 0},
	"failure of a stream":    {"/kept/", strings.Replace(okHead, "200", "400", 1) + "\r\n", "x", testMaxBody, 502},
}

// An instance that sends bytes without end must cost the VM a bounded part of its memory, the connection must be closed, the caller
// must learn that the request may have run, and other requests must be served meanwhile.
func TestEndlessAnswers(t *testing.T) {
	for name, tt := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var sent, answers atomic.Int64
			var running sync.WaitGroup
			h := newHarness(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if q.Header.Get("Chestnutcleat-Request-Id") != "r1" {
					return respondOK(r, q, w)
				}
				answers.Add(1)
				running.Add(1)
				defer running.Done()
				_, _ = io.WriteString(w, strings.Replace(tt.start, "ID", "r1", 1))
				writeEndlessly(w, &sent, tt.repeated)
				return false
			})
			defer h.close()
			h.handler.Memory.Limit = 8 << 20
			h.handler.Bounds = Bounds{Body: testMaxBody, Event: testMaxEvent, Output: testMaxOutput}
			h.endTimeouts() // only the bounds on bytes may end an answer
			var others sync.WaitGroup
			for i := range 8 {
				others.Go(func() {
					resp, _, err := h.do(t.Context(), "/book/", "b", "Chestnutcleat-Request-Id", fmt.Sprint("other", i))
					is.NoErr(err)
					is.Equal(resp.StatusCode, 200)
				})
			}
			resp, _, err := h.do(t.Context(), tt.path, "b", "Chestnutcleat-Program-Id", "p")
			others.Wait()
			if tt.status == 0 {
				is.True(err != nil)
			} else {
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
			}
			for h.handler.InFlight() > 0 {
				runtime.Gosched()
			}
			running.Wait() // until all connections are closed
			is.True(sent.Load() <= answers.Load()*(tt.maxBytes+bufferSlack))
			is.Equal(h.handler.Memory.Used(), int64(0))
		})
	}
}

// An answer of which a byte comes now and then must end with the time that the caller or the route allows, wherever it trickles.
func TestTricklingAnswers(t *testing.T) {
	for name, tt := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				_, err := io.WriteString(w, strings.Replace(tt.start, "ID", "r1", 1))
				for i := 0; err == nil; i++ {
					time.Sleep(time.Second)
					_, err = io.WriteString(w, tt.repeated[i%len(tt.repeated):][:1])
				}
				r.disconnected.Store(true)
				return false
			}, func(is *is.I, h *harness) {
				started := time.Now()
				resp, _, err := h.do(h.t.Context(), tt.path, "b", "Chestnutcleat-Program-Id", "p")
				is.True(err != nil || resp.StatusCode >= 500)
				is.True(time.Since(started) <= streamTimeout+100*time.Millisecond)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				for _, r := range h.instances.received() {
					is.True(r.disconnected.Load())
				}
			})
		})
	}
}

// Long heads that many instances' answers trickle in at the same time must count as memory of their requests, as bodies do: they were bounded
// one by one only, and all of them together could take the memory of the VM.
func TestManyLongHeads(t *testing.T) {
	const requests, limit, headBytes = 32, 128 << 10, 24 << 10
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		id := q.Header.Get("Chestnutcleat-Request-Id")
		if id == "small" {
			return respondOK(r, q, w)
		}
		_, _ = io.WriteString(w, strings.Replace(okHead, "ID", id, 1)+"X: "+strings.Repeat("x", headBytes))
		return hangUntilClosed(r, w)
	}, func(is *is.I, h *harness) {
		h.handler.Memory.Limit = limit
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				resp, _, err := h.do(h.t.Context(), "/book/", "b", "Chestnutcleat-Request-Id", fmt.Sprint("r", i))
				is.NoErr(err)
				is.True(resp.StatusCode >= 500 && resp.StatusCode != 503) // the instance may have run it
			})
		}
		time.Sleep(bookTimeout / 2)
		synctest.Wait()
		used := h.handler.Memory.Used()
		is.True(used >= limit/2 && used <= limit)
		is.True(h.handler.InFlight() <= limit/(headBytes-4<<10)) // the other heads were given up
		resp, _, err := h.do(h.t.Context(), "/check/", "", "Chestnutcleat-Request-Id", "small")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		all.Wait()
		is.Equal(h.handler.Memory.Used(), int64(0))
	})
}

// Callers that announce large bodies and send them slowly must not take the memory of others, and must be answered in time.
func TestSlowRequestBodies(t *testing.T) {
	runInBubble(t, respondOK, func(is *is.I, h *harness) {
		var slow sync.WaitGroup
		var timedOut atomic.Int64
		for i := range 12 {
			slow.Go(func() {
				body, w := io.Pipe()
				q, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://h/book/", body)
				is.NoErr(err)
				q.ContentLength = 1 << 20
				q.Header.Set("Authorization", "Bearer key")
				q.Header.Set("Chestnutcleat-Request-Id", fmt.Sprint("slow", i))
				go func() {
					for _, err := w.Write([]byte("x")); err == nil; _, err = w.Write([]byte("x")) {
						time.Sleep(500 * time.Millisecond)
					}
				}()
				resp, err := h.client.Do(q)
				w.Close()
				if err == nil {
					is.True(resp.StatusCode >= 400)
					resp.Body.Close()
				}
				timedOut.Add(1)
			})
		}
		time.Sleep(100 * time.Millisecond)
		resp, _, err := h.do(h.t.Context(), "/book/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.True(h.handler.Memory.Used() <= h.handler.Memory.Limit)
		time.Sleep(bookTimeout + 600*time.Millisecond)
		is.Equal(timedOut.Load(), int64(12))
		slow.Wait()
		is.Equal(h.handler.Memory.Used(), int64(0))
		is.Equal(len(h.instances.received()), 1)
	})
}

// A chain of kept turns counts as memory of its request, and the refusal for lack of memory must be true.
func TestChainWithoutMemory(t *testing.T) {
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 3, true)
		return true
	}, func(is *is.I, h *harness) {
		_, _, err := h.do(h.t.Context(), "/kept/", strings.Repeat("b", 20_000), "Chestnutcleat-Program-Id", "p")
		is.NoErr(err)
		h.handler.Memory.Limit = 10_000
		resp, _, err := h.do(h.t.Context(), "/kept/", "b", "Chestnutcleat-Request-Id", "r2", "Chestnutcleat-Previous-Turn", "r1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		is.Equal(len(h.instances.received()), 1)
		h.handler.Memory.Limit = 1 << 20
		resp, _, err = h.do(h.t.Context(), "/kept/", "b", "Chestnutcleat-Request-Id", "r2", "Chestnutcleat-Previous-Turn", "r1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
	})
}

// Guards against a refused request that holds a connection for as long as its body trickles in: a refusal must be answered soon, and the
// connection must end, whatever the caller still sends.
func TestRefusedRequestWithSlowBody(t *testing.T) {
	for name, tt := range map[string]struct {
		path   string
		length int64
		status int
	}{
		"no route, with a length": {"/none/", 100_000, http.StatusNotFound},
		"no route, in chunks":     {"/none/", -1, http.StatusNotFound},
		"too large":               {"/book/", 8 << 20, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, respondOK, func(is *is.I, h *harness) {
				body, w := io.Pipe()
				var ended atomic.Bool
				go func() {
					for _, err := w.Write([]byte("x")); err == nil; _, err = w.Write([]byte("x")) {
						time.Sleep(500 * time.Millisecond)
					}
					ended.Store(true)
				}()
				q, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://h"+tt.path, body)
				is.NoErr(err)
				q.ContentLength = tt.length
				q.Header.Set("Authorization", "Bearer key")
				q.Header.Set("Chestnutcleat-Request-Id", "r1")
				started := time.Now()
				resp, err := h.client.Do(q)
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
				is.True(time.Since(started) <= maxRefusalDelay)
				resp.Body.Close()
				time.Sleep(maxRefusalDelay)
				synctest.Wait()
				is.True(ended.Load())
				w.Close()
			})
		})
	}
}

// maxRefusalDelay is how long a refused request may hold its connection.
const maxRefusalDelay = 2 * time.Second
