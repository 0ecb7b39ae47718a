package entry

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A request that crashes every instance must stop by the third one, also when it comes by several VMs, and other requests
// must not be taken for it.
func TestSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b Suspects
		f := FingerprintOf("c", "POST", "/x", []byte("poison"))
		a.Broke(f)
		a.Broke(f)
		is.True(!a.Crashes(f))
		b.Broke(f)
		for range 2 { // the same news twice counts once
			b.Heard("a", a.News())
		}
		is.True(b.Crashes(f))
		is.True(!b.Crashes(FingerprintOf("c", "POST", "/x", []byte("other"))))
		is.True(!b.Crashes(FingerprintOf("d", "POST", "/x", []byte("poison"))))
		time.Sleep(suspectNews)
		is.Equal(len(a.News()), 0)
		is.True(b.Crashes(f))
		time.Sleep(suspectTime)
		is.True(!b.Crashes(f))
	})
}

// The fourth attempt of a crashing request must be refused as not run, at once.
func TestCrashingRequest(t *testing.T) {
	inBubble(t, func(*ran, *http.Request, io.Writer) bool { return false }, func(is *is.I, r *rig) {
		for range 5 {
			_, _, err := r.do(r.t.Context(), "/book/", "poison")
			is.NoErr(err)
		}
		is.Equal(len(r.instances.all()), maxBreaks)
		a, _, err := r.do(r.t.Context(), "/book/", "poison")
		is.NoErr(err)
		is.Equal(a.StatusCode, 503)
	})
}
