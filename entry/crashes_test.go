package entry

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A request that crashes every instance must be blocked after the third one, also if it arrives through several VMs. Other
// requests must not be blocked.
func TestCrashesAreCountedAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b CrashTracker
		f := FingerprintOf("c", "POST", "/x", []byte("poison"))
		a.RecordCrash(f)
		a.RecordCrash(f)
		is.True(!a.Blocked(f))
		b.RecordCrash(f)
		for range 2 { // a repeated report must not count twice
			b.Merge("a", a.RecentCounts())
		}
		is.True(b.Blocked(f))
		is.True(!b.Blocked(FingerprintOf("c", "POST", "/x", []byte("other"))))
		is.True(!b.Blocked(FingerprintOf("d", "POST", "/x", []byte("poison"))))
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
