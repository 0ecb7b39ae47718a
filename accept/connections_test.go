package accept

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// An empty line of a caller between two requests must not count as the begin of a request: a shutdown waited for its end until the
// end of the grace period.
func TestEmptyLinesBeginNoRequest(t *testing.T) {
	for _, tt := range []struct {
		name, sent string
		state      int32
	}{
		{"empty line", "\r\n", stateIdle},
		{"line feeds", "\n\n", stateIdle},
		{"half an empty line", "\r", stateIdle},
		{"one byte of a request", "P", stateBusy},
		{"empty line and a request", "\r\n" + request, stateBusy},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t)
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { caller.Close() })
			accepted, err := l.AcceptTCP()
			is.NoErr(err)
			c := newConnections().add(accepted)
			t.Cleanup(func() { c.closeNow() })
			c.state.Store(stateIdle)
			_, err = caller.Write([]byte(tt.sent))
			is.NoErr(err)
			_, err = c.Read(make([]byte, len(tt.sent)))
			is.NoErr(err)
			is.Equal(c.state.Load(), tt.state)
		})
	}
}
