package pipe

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrRefused is returned by Dial after Close.
var ErrRefused = errors.New("connection refused")

// Listener accepts the connections that its Dial makes.
type Listener struct {
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{queue: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener once it accepts.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.queue <- server:
		return client, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{} }
