package accept

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// listener accepts the connections in its backlog before it closes, as the kernel would reset them.
type listener struct {
	*net.TCPListener
	conns *connections
	// drained are the connections that were accepted when the listener closed and that Accept has yet to return.
	drained []*net.TCPConn
	// drainErr is the error of drain.
	drainErr error
}

// Accept implements net.Listener. It must not be called concurrently.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err == nil {
		return l.conns.add(c), nil
	}
	if os.IsTimeout(err) {
		// Only startDrain sets a deadline.
		l.drainErr = l.drain()
		err = net.ErrClosed
	}
	if len(l.drained) == 0 {
		return nil, err
	}
	c, l.drained = l.drained[0], l.drained[1:]
	return l.conns.add(c), nil
}

// startDrain makes Accept return the connections in the backlog and then net.ErrClosed.
func (l *listener) startDrain() error { return l.SetDeadline(time.Unix(1, 0)) }

// drain accepts the connections in the backlog and closes the listener as soon as the backlog is empty. It uses the system call,
// as Accept ignores the backlog once its deadline has passed. Connections keep arriving until the listener is closed.
func (l *listener) drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Join(err, l.Close())
	}
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		for {
			var c *net.TCPConn
			if c, acceptErr = acceptNow(int(fd)); c == nil {
				return
			}
			l.drained = append(l.drained, c)
		}
	})
	return errors.Join(err, acceptErr, l.Close())
}

// acceptNow accepts a connection without blocking. It returns nil if the backlog is empty.
func acceptNow(fd int) (*net.TCPConn, error) {
	n, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if errors.Is(err, syscall.EAGAIN) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	f := os.NewFile(uintptr(n), "connection")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return c.(*net.TCPConn), nil
}
