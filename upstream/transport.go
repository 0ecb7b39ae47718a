package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// Shorter than the idle timeout of common servers: a server that closes an idle connection
	// while a request is sent on it looks like a crash.
	idleTimeout = 3 * time.Second
	idlePerHost = 64
	maxHeader   = 64 << 10
)

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport whose connections count what was written; without dial it uses TCP.
// Without reuse each request has a connection of its own, which net/http never retries.
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
			return &conn{Conn: c}, nil
		},
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
}
