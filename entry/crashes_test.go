package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/exchange"
)

// A request that crashes every instance must be blocked after the third one, also if it arrives through several VMs. Other
// requests must not be blocked.
func TestCrashesAreCountedAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b CrashTracker
		f := FingerprintOf("c", "POST", "/x", "", []byte("poison"))
		a.RecordCrash(f)
		a.RecordCrash(f)
		is.True(!a.Blocked(f))
		b.RecordCrash(f)
		for range 2 { // a repeated report must not count twice
			b.Merge("a", a.RecentCounts())
		}
		is.True(b.Blocked(f))
		is.True(!b.Blocked(FingerprintOf("c", "POST", "/x", "", []byte("other"))))
		is.True(!b.Blocked(FingerprintOf("d", "POST", "/x", "", []byte("poison"))))
		time.Sleep(reportWindow)
		is.Equal(len(a.RecentCounts()), 0)
		is.True(b.Blocked(f))
		time.Sleep(crashWindow)
		is.True(!b.Blocked(f))
	})
}

// A request that crashed three instances must be refused without reaching another one.
func TestCrashingRequest(t *testing.T) {
	runInBubble(t, func(*receivedRequest, *http.Request, io.Writer) bool { return false }, func(is *is.I, h *harness) {
		for range 5 {
			_, _, err := h.do(h.t.Context(), "/book/", "poison")
			is.NoErr(err)
		}
		is.Equal(len(h.instances.received()), crashThreshold)
		resp, _, err := h.do(h.t.Context(), "/book/", "poison")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
	})
}

// Instances that are slow, lose answers or send invalid ones have not crashed. When each timeout of an attempt counted as a crash, the
// fourth request for an object of a customer was refused for a minute while its instances were merely slow.
func TestSlowInstancesHaveNotCrashed(t *testing.T) {
	for name, tt := range map[string]struct {
		path   string
		handle func(r *receivedRequest, q *http.Request, w io.Writer) bool
	}{
		"slow": {"/check/", func(r *receivedRequest, q *http.Request, w io.Writer) bool {
			time.Sleep(5 * 80 * time.Millisecond)
			return respondOK(r, q, w)
		}},
		"answers are lost": {"/check/", func(r *receivedRequest, q *http.Request, w io.Writer) bool {
			if r.n%2 == 1 {
				return hangUntilClosed(r, w)
			}
			return respondOK(r, q, w)
		}},
		"answers end late": {"/check/", func(r *receivedRequest, q *http.Request, w io.Writer) bool {
			if r.n%2 == 1 {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nChestnutcleat-Request-Id: r1\r\n%sContent-Length: 9\r\n\r\nok", sealHeader)
				return hangUntilClosed(r, w)
			}
			return respondOK(r, q, w)
		}},
		"answers are invalid": {"/check/", func(r *receivedRequest, q *http.Request, w io.Writer) bool {
			if r.n%2 == 1 {
				fmt.Fprint(w, "garbage\r\n\r\n")
				return false
			}
			return respondOK(r, q, w)
		}},
		"streams begin late": {"/plan/", func(r *receivedRequest, q *http.Request, w io.Writer) bool {
			if r.n%2 == 1 {
				return hangUntilClosed(r, w)
			}
			writeEvents(q, w, 1, 4, true)
			return true
		}},
		"streams stall": {"/plan/", func(r *receivedRequest, q *http.Request, w io.Writer) bool {
			if r.n%2 == 1 {
				writeEvents(q, w, 1, 2, false)
				return hangUntilClosed(r, w)
			}
			writeEvents(q, w, 3, 4, true)
			return true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, tt.handle, func(is *is.I, h *harness) {
				for range 2 * crashThreshold {
					resp, _, err := h.do(h.t.Context(), tt.path, "b")
					is.NoErr(err)
					is.Equal(resp.StatusCode, 200)
					time.Sleep(5 * time.Second) // the instances' backoff ends
				}
			})
		})
	}
}

// A connection that an instance's system closes or resets must count as a possible crash: the errors of real sockets are others than
// those of the pipes in the tests above.
func TestBrokenConnectionsMayBeCrashes(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			ended := make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err == nil {
					_, err = http.ReadRequest(bufio.NewReader(c))
					err = errors.Join(err, c.(*net.TCPConn).SetLinger(linger), c.Close())
				}
				ended <- err
			}()
			q := &exchange.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}
			_, err = exchange.NewPool(net.KeepAliveConfig{}).Do(t.Context(), chestnutcleat.Address(l.Addr().String()), q)
			is.NoErr(<-ended)
			is.True(err != nil)
			t.Log(err)
			is.True(mayBeCrash(err))
		})
	}
}

// A request that instances answer does not crash them, however many of its connections break in between. When only time ended a
// count, three broken connections within a minute refused all requests for one object, though each was answered at its second attempt.
func TestAnsweredRequestIsNotBlocked(t *testing.T) {
	for _, path := range []string{"/check/", "/plan/"} {
		t.Run(path, func(t *testing.T) {
			runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
				if r.n%2 == 1 {
					return false
				}
				if path == "/plan/" {
					writeEvents(q, w, 1, 4, true)
					return true
				}
				return respondOK(r, q, w)
			}, func(is *is.I, h *harness) {
				for range 2 * crashThreshold {
					resp, _, err := h.do(h.t.Context(), path, "b")
					is.NoErr(err)
					is.Equal(resp.StatusCode, 200)
					time.Sleep(5 * time.Second) // the instances' backoff ends
				}
			})
		})
	}
}

// An answer at one VM must end the count at all VMs, and reports from before the answer must not bring the count back. Crashes after
// the answer count again.
func TestAnswerEndsCountAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b, c CrashTracker
		f := FingerprintOf("c", "GET", "/x", "", nil)
		exchangeReports := func() {
			reports := map[string]map[uint64]int{"a": a.RecentCounts(), "b": b.RecentCounts(), "c": c.RecentCounts()}
			for name, receiver := range map[string]*CrashTracker{"a": &a, "b": &b, "c": &c} {
				for from, counts := range reports {
					if from != name {
						receiver.Merge(from, counts)
					}
				}
			}
		}
		a.RecordCrash(f)
		b.RecordCrash(f)
		exchangeReports()
		c.RecordAnswer(f)
		a.RecordCrash(f) // two at a, one at b
		for range 3 {
			exchangeReports()
		}
		is.True(!c.Blocked(f))
		time.Sleep(reportWindow)
		exchangeReports()
		for _, tracker := range []*CrashTracker{&a, &b, &c} {
			is.True(!tracker.Blocked(f))
		}
		for range crashThreshold {
			b.RecordCrash(f)
		}
		exchangeReports()
		for _, tracker := range []*CrashTracker{&a, &b, &c} {
			is.True(tracker.Blocked(f))
		}
	})
}

// An answer ends the count of the crashes before it only, although it is reported for a while.
func TestRepeatedAnswerReportKeepsLaterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b CrashTracker
		f := FingerprintOf("c", "GET", "/x", "", nil)
		a.RecordCrash(f)
		a.RecordAnswer(f)
		b.Merge("a", a.RecentCounts())
		for range crashThreshold {
			time.Sleep(reportWindow / (crashThreshold + 1))
			b.RecordCrash(f)
			b.Merge("a", a.RecentCounts())
		}
		is.True(b.Blocked(f))
	})
}
