package accept

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// listener accepts what waits in its backlog before it closes; the kernel would reset those connections.
type listener struct {
	*net.TCPListener
	// last are connections that were accepted when the listener closed and that Accept has still to return.
	last []net.Conn
	// failed is the error of that.
	failed error
}

// Accept implements net.Listener; one goroutine calls it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	if os.IsTimeout(err) {
		// Only finish sets a deadline.
		l.failed = l.drain()
		err = net.ErrClosed
	}
	if len(l.last) == 0 {
		return nil, err
	}
	c, l.last = l.last[0], l.last[1:]
	return c, nil
}

// finish lets Accept return what waits in the backlog, and then net.ErrClosed.
func (l *listener) finish() error { return l.SetDeadline(time.Unix(1, 0)) }

// drain accepts what waits and closes at once after it found nothing: Accept does not look at the backlog once its deadline
// has passed, and connections go on arriving until the listener is closed.
func (l *listener) drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Join(err, l.Close())
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for {
			var c net.Conn
			if c, failed = acceptNow(int(fd)); c == nil {
				return
			}
			l.last = append(l.last, c)
		}
	})
	return errors.Join(err, failed, l.Close())
}

// acceptNow accepts a connection without waiting; it returns nil if none waits.
func acceptNow(fd int) (net.Conn, error) {
	n, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if errors.Is(err, syscall.EAGAIN) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	f := os.NewFile(uintptr(n), "connection")
	defer f.Close()
	return net.FileConn(f)
}
