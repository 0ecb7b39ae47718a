package accept

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A handler that takes its connection over must be able to reset it, also while a shutdown closes idle connections: the connection stayed
// open, and its caller waited for the rest of the answer.
func TestHandlerResetsConnection(t *testing.T) {
	for name, closingIdle := range map[string]bool{"serving": false, "closing idle connections": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s *Server
			s = NewServer(listen(t), &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				is.NoErr(c.(interface{ SetLinger(seconds int) error }).SetLinger(0))
				s.conns.closingIdle.Store(closingIdle)
				is.NoErr(c.Close())
				s.conns.closingIdle.Store(false)
				panic(http.ErrAbortHandler)
			})})
			done := make(chan error, 1)
			go func() { done <- s.Serve() }()
			c := dial(t, s)
			is.NoErr(c.send(request))
			_, err := io.ReadAll(c)
			is.True(errors.Is(err, syscall.ECONNRESET))
			is.NoErr(s.Shutdown(t.Context())) // waits for no answer on it
			is.NoErr(<-done)
		})
	}
}
