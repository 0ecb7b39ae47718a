package accept

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/standin/loopback"
)

// listen listens at a loopback address of this process, so that no other process takes the port once it is closed.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(loopback.IP(1))})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Connections in the backlog of a closing listener must be served: otherwise the kernel resets them and their requests are lost.
func TestBacklogIsAccepted(t *testing.T) {
	tests := []struct {
		name    string
		backlog int
		// blockedInAccept is set if Accept is waiting when the drain starts.
		blockedInAccept bool
	}{
		{"backlog", 5, false},
		{"no backlog", 0, false},
		{"accept waits", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := &listener{TCPListener: listen(t), conns: newConnections()}
			for range tt.backlog {
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer c.Close()
			}
			if tt.blockedInAccept {
				time.AfterFunc(time.Millisecond, func() { is.NoErr(l.startDrain()) })
			} else {
				is.NoErr(l.startDrain())
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
			is.Equal(n, tt.backlog)
			is.NoErr(l.drainErr)
			_, err := net.Dial("tcp", l.Addr().String())
			is.True(err != nil) // the listener is closed
		})
	}
}
