package upstream

import (
	"net"
	"sync/atomic"
)

// conn counts the bytes written to a connection.
type conn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	// Bytes count before they are written: a failed write may have sent some of them.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
