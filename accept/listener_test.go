package accept

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// A connection in the backlog of a listener that closes must be served: the kernel would reset it and cut its request.
func TestBacklogIsAccepted(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		// accepting tells whether Accept waits when the listener is finished.
		accepting bool
	}{
		{"backlog", 5, false},
		{"no backlog", 0, false},
		{"accept waits", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := &listener{TCPListener: listen(t)}
			for range tt.waiting {
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer c.Close()
			}
			if tt.accepting {
				time.AfterFunc(time.Millisecond, func() { is.NoErr(l.finish()) })
			} else {
				is.NoErr(l.finish())
			}
			n := 0
			for {
				c, err := l.Accept()
				if err != nil {
					is.True(errors.Is(err, net.ErrClosed))
					break
				}
				n++
				is.NoErr(c.Close())
			}
			is.Equal(n, tt.waiting)
			is.NoErr(l.failed)
			_, err := net.Dial("tcp", l.Addr().String())
			is.True(err != nil) // listens no more
		})
	}
}
