package process

import (
	"net"
	"os"
	"sync"
	"time"
)

// backlogTime is how long a closing listener goes on accepting connections that the kernel has already completed.
const backlogTime = 50 * time.Millisecond

// backlogListener accepts what waits in its backlog before it closes; the kernel would reset those connections.
type backlogListener struct {
	*net.TCPListener
	once    sync.Once
	drained chan struct{}
}

func newBacklogListener(l *net.TCPListener) *backlogListener {
	return &backlogListener{TCPListener: l, drained: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *backlogListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	if os.IsTimeout(err) {
		// Only Finish sets a deadline.
		l.once.Do(func() { close(l.drained) })
		return nil, net.ErrClosed
	}
	return nil, err
}

// Finish accepts the backlog and closes. It is not Close, which http.Server calls with a lock that accepting needs.
func (l *backlogListener) Finish() error {
	if err := l.SetDeadline(time.Now().Add(backlogTime)); err != nil {
		return err
	}
	t := time.NewTimer(2 * backlogTime)
	defer t.Stop()
	select {
	case <-l.drained:
	case <-t.C:
	}
	return l.Close()
}
