package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// A response without length or chunks is complete only if its connection ends in order: one that is reset on the way was broken off. The
// connection must not be used again in either case.
func TestUnframedResponse(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(map[bool]string{false: "closed", true: "reset"}[reset], func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			received := make(chan struct{})
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
						<-received
					}
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					c.Close()
				}
			}()
			p := NewPool(net.KeepAliveConfig{})
			defer p.Close()
			opened := 0
			p.OnDial = func(chestnutcleat.Address, error) { opened++ }
			for n := range 2 {
				r, err := p.Do(t.Context(), chestnutcleat.Address(l.Addr().String()), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
				is.NoErr(err)
				is.Equal(r.Length, int64(-1))
				part := make([]byte, len("part"))
				_, err = io.ReadFull(r, part)
				is.NoErr(err)
				received <- struct{}{}
				_, err = r.Read(part)
				is.Equal(errors.Is(err, io.EOF), !reset)
				is.True(err != nil)
				r.Close()
				is.Equal(opened, n+1)
			}
		})
	}
}
