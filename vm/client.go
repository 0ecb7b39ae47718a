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
	// dialTimeout bounds a connection attempt, so that a dead VM costs a request little.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is the number of idle connections kept per VM; each carries one request at a time.
	maxIdle = 8
)

// Client sends requests to other VMs over TCP.
type Client struct {
	mu   sync.Mutex
	idle map[chestnutcleat.Address][]*drpcconn.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{idle: map[chestnutcleat.Address][]*drpcconn.Conn{}}
}

// Call implements chestnutcleat.Peers.
func (c *Client) Call(ctx context.Context, to chestnutcleat.Address, method chestnutcleat.Method, request, answer any) error {
	data, err := Encoding{}.Marshal(request)
	if err != nil {
		return err
	}
	conn, err := c.take(ctx, to)
	if err != nil {
		return err
	}
	var r reply
	if err := conn.Invoke(ctx, string(method), Encoding{}, &data, &r); err != nil {
		conn.Close()
		return fmt.Errorf("%s to %s: %w", method, to, err)
	}
	c.put(to, conn)
	return r.open(answer)
}

func (c *Client) take(ctx context.Context, to chestnutcleat.Address) (*drpcconn.Conn, error) {
	if conn := c.pop(to); conn != nil {
		return conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, fmt.Errorf("connect to VM %s: %w", to, err)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) pop(to chestnutcleat.Address) *drpcconn.Conn {
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

func (c *Client) put(to chestnutcleat.Address, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= maxIdle {
		go conn.Close()
		return
	}
	c.idle[to] = append(c.idle[to], conn)
}

// Close closes the idle connections.
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
