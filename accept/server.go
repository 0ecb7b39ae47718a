package accept

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server serves HTTP on one listener. In place of http.Server.Shutdown, which closes connections without an answer if it
// reads their request after the shutdown began, Finish answers all that were accepted.
type Server struct {
	HTTP     *http.Server
	Listener *net.TCPListener

	listener *listener
	open     *connections
	served   chan struct{}
}

// NewServer returns a server for a listener; it takes over the ConnState function of h.
func NewServer(l *net.TCPListener, h *http.Server) *Server {
	s := &Server{HTTP: h, Listener: l, listener: &listener{TCPListener: l}, open: newConnections(), served: make(chan struct{})}
	h.ConnState = s.open.track
	return s
}

// Serve accepts connections until Finish or Close.
func (s *Server) Serve() error {
	defer close(s.served)
	if err := s.HTTP.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve %s: %w", s.Listener.Addr(), err)
	}
	return nil
}

// Finish accepts what waits in the backlog, stops listening, waits for the answers that are due and closes all connections.
func (s *Server) Finish(ctx context.Context) error {
	if err := s.listener.finish(); err != nil {
		return fmt.Errorf("stop listening at %s: %w", s.Listener.Addr(), err)
	}
	<-s.served
	s.HTTP.SetKeepAlivesEnabled(false)
	return errors.Join(s.listener.failed, s.await(ctx), s.Close())
}

// await waits until no answer is due.
func (s *Server) await(ctx context.Context) error {
	for {
		count, next := s.open.owed()
		if count == 0 {
			return nil
		}
		if next == 0 {
			next = firstByteTime
		}
		t := time.NewTimer(next)
		select {
		case <-s.open.changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("%d connections without their answer: %w", count, ctx.Err())
		}
		t.Stop()
	}
}

// Close ends all connections at once.
func (s *Server) Close() error { return s.HTTP.Close() }
