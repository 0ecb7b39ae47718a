package vm

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// dialTimeout bounds a connection attempt, so that a request to a dead VM fails soon.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerVM is the number of idle connections kept per VM; a connection carries one request at a time.
	maxIdlePerVM = 8
)

// Client implements chestnutcleat.Peers over TCP with a pool of connections per VM.
type Client struct {
	mu   sync.Mutex
	idle map[chestnutcleat.Address][]*drpcconn.Conn
}

// NewClient returns a client with an empty connection pool.
func NewClient() *Client {
	return &Client{idle: map[chestnutcleat.Address][]*drpcconn.Conn{}}
}

// Call implements chestnutcleat.Peers.
func (c *Client) Call(ctx context.Context, to chestnutcleat.Address, method chestnutcleat.Method, request, answer any) error {
	data, err := Encoding{}.Marshal(request)
	if err != nil {
		return err
	}
	conn, err := c.acquire(ctx, to)
	if err != nil {
		return err
	}
	var r reply
	if err := conn.Invoke(ctx, string(method), Encoding{}, &data, &r); err != nil {
		conn.Close()
		return fmt.Errorf("%s to %s: %w", method, to, err)
	}
	c.release(to, conn)
	return r.decode(answer)
}

func (c *Client) acquire(ctx context.Context, to chestnutcleat.Address) (*drpcconn.Conn, error) {
	if conn := c.popIdle(to); conn != nil {
		return conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("connect to VM %s: %w", to, err)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) popIdle(to chestnutcleat.Address) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[to]; len(list) > 0; list = c.idle[to] {
		conn := list[len(list)-1]
		c.idle[to] = list[:len(list)-1]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
	return nil
}

func (c *Client) release(to chestnutcleat.Address, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= maxIdlePerVM {
		go conn.Close()
		return
	}
	c.idle[to] = append(c.idle[to], conn)
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, list := range c.idle {
		for _, conn := range list {
			conn.Close()
		}
		delete(c.idle, to)
	}
}
