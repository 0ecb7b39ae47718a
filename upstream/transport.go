package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is shorter than the idle timeout of common servers: a server that closes an idle connection while a
	// request is being sent looks like a crash.
	idleTimeout    = 3 * time.Second
	maxIdlePerHost = 64
	maxHeaderBytes = 64 << 10
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport whose connections count the bytes written; a nil dial means TCP. Without reuse, each
// request opens a new connection, because net/http may retry a request on a reused one.
func NewTransport(reuse bool, dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
