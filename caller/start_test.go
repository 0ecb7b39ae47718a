package caller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM that has just started must not refuse a valid key as unknown before it has received the manifest.
func TestRequestWaitsForManifest(t *testing.T) {
	runVirtual(t, func(t *testing.T, is *is.I, s *testSystem) {
		effective := make(chan struct{})
		s.handler.ManifestReady = effective
		got := make(chan response, 1)
		go func() { got <- s.chat(t, chatBody("m", "hello", false)) }()
		select {
		case a := <-got:
			t.Fatalf("response without a manifest: status %d", a.status)
		case <-time.After(100 * time.Millisecond):
		}
		close(effective)
		is.Equal((<-got).status, 200)
	})
}
