package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/sse"
)

// callerPatience is how long the callers of these tests wait for the next event of a stream before they abandon it.
const callerPatience = 2 * time.Second

// slowStream sends the events after the last one that the caller has, each after a pause.
func slowStream(q *http.Request, w io.Writer, pause time.Duration, last int) bool {
	// Without the header, the stream begins with event 1.
	n, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		q.Header.Get("Chestnutcleat-Request-Id"), sealHeader)
	for n++; n <= last; n++ {
		time.Sleep(pause)
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err == nil
}

// longestGap reads a stream and returns the longest time without an event, and the id of the last one.
func (h *harness) longestGap(path string) (gap time.Duration, last int, err error) {
	q, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://h"+path, nil)
	if err != nil {
		return 0, 0, err
	}
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Chestnutcleat-Request-Id", "r1")
	latest := time.Now()
	resp, err := h.client.Do(q)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	events := sse.Reader{R: bufio.NewReader(resp.Body)}
	for {
		e, err := events.Next()
		gap = max(gap, time.Since(latest))
		latest = time.Now()
		if err == io.EOF {
			return gap, last, nil
		}
		if err != nil {
			return gap, last, err
		}
		last = e.ID
	}
}

// When all instances are slow, a stream must not move from one to the next within one pause: each move begins the pause anew, and
// callers, who would have had the next event from any of the instances, abandoned the stream.
func TestSlowStreamMovesOncePerPause(t *testing.T) {
	for _, pause := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
		for _, attempts := range []int{2, 3, 4} {
			t.Run(fmt.Sprint(pause, " ", attempts), func(t *testing.T) {
				runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool { return slowStream(q, w, pause, 6) }, func(is *is.I, h *harness) {
					for i := range h.table.Routes {
						h.table.Routes[i].Timeout, h.table.Routes[i].MaxAttempts = 12*time.Second, attempts
					}
					gap, last, err := h.longestGap("/plan/")
					t.Log("longest gap", gap, "instances", len(h.instances.received()))
					is.NoErr(err)
					is.Equal(last, 6)
					is.True(gap < callerPatience)
				})
			})
		}
	}
}

// A slow instance must not be given up while no other one can take the request over. When it was, no request of a service with one
// slow instance was ever answered, and its streams were cut though their instance was sound.
func TestSlowOnlyInstanceIsNotGivenUp(t *testing.T) {
	runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		if q.URL.Path == "/plan/" {
			return slowStream(q, w, 900*time.Millisecond, 3)
		}
		time.Sleep(5 * 80 * time.Millisecond)
		return respondOK(r, q, w)
	}, func(is *is.I, h *harness) {
		h.handler.Instances.SetInstances([]chestnutcleat.Instance{
			{ID: "tool-0", Service: "tool", Address: "tool-0", Slots: 6}, {ID: "model-0", Service: "model", Address: "model-0", Slots: 6},
		})
		resp, _, err := h.do(h.t.Context(), "/check/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		gap, last, err := h.longestGap("/plan/")
		is.NoErr(err)
		is.Equal(last, 3)
		is.True(gap < callerPatience)
		is.Equal(len(h.instances.received()), 2)
	})
}
