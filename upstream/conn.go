package upstream

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	// Count the bytes before the write, as a failed write may have sent some of them.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
