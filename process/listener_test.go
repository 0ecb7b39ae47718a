package process

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A connection in the backlog of a listener that closes must be served: the kernel would reset it and cut its request.
func TestBacklogIsAccepted(t *testing.T) {
	is := is.New(t)
	raw, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	l := newBacklogListener(raw)
	const waiting = 5
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	closed := make(chan error, 1)
	go func() { closed <- l.Finish() }()
	n := 0
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		n++
		c.Close()
	}
	is.Equal(n, waiting)
	is.NoErr(<-closed)
}
