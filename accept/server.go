package accept

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// drainReserve is the part of a grace period that is left for requests in progress when the listener closes.
const drainReserve = 3500 * time.Millisecond

// ListenTime returns how long a server listens on in a grace period: as long as callers with an older list of addresses still connect,
// but not so long that too little is left for what they send.
func ListenTime(grace, staleLists time.Duration) time.Duration {
	return max(0, min(staleLists, grace-drainReserve))
}

// Server serves HTTP on one listener. Its Shutdown responds on all accepted connections. http.Server.Shutdown sends no response
// to a request that is read after the shutdown began, and closes its connection.
type Server struct {
	HTTP     *http.Server
	Listener *net.TCPListener

	listener *listener
	conns    *connections
	served   chan struct{}
}

// NewServer returns a server for a listener. It replaces the callbacks ConnState and ConnContext of h and wraps its handler.
func NewServer(l *net.TCPListener, h *http.Server) *Server {
	c := newConnections()
	s := &Server{HTTP: h, Listener: l, listener: &listener{TCPListener: l, conns: c}, conns: c, served: make(chan struct{})}
	h.ConnState = c.track
	h.ConnContext = withConn
	h.Handler = unlessClosed(h.Handler)
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// unlessClosed handles only requests that can be answered: one that was read together with the one before it may begin after its
// connection was closed as idle.
func unlessClosed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.state.Load() == stateClosed {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Serve accepts connections until Shutdown or Close is called.
func (s *Server) Serve() error {
	defer close(s.served)
	if err := s.HTTP.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve %s: %w", s.Listener.Addr(), err)
	}
	return nil
}

// Shutdown shuts down gracefully: it accepts the connections in the backlog, stops listening, waits until no response is due and
// closes all connections. If ctx ends first, it returns an error and leaves the connections with requests in progress to Close.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.listener.startDrain(); err != nil {
		return fmt.Errorf("stop listening at %s: %w", s.Listener.Addr(), err)
	}
	<-s.served
	s.disableKeepAlives()
	if err := s.awaitResponses(ctx); err != nil {
		return errors.Join(s.listener.drainErr, err)
	}
	return errors.Join(s.listener.drainErr, s.Close())
}

// disableKeepAlives makes every further response the last one on its connection. net/http also closes the connections that it takes
// for idle then, where a request may have begun.
func (s *Server) disableKeepAlives() {
	s.conns.closingIdle.Store(true)
	defer s.conns.closingIdle.Store(false)
	s.HTTP.SetKeepAlivesEnabled(false)
}

// awaitResponses closes the idle connections and waits until no response is due.
func (s *Server) awaitResponses(ctx context.Context) error {
	for {
		count, next := s.conns.closeIdle()
		if count == 0 {
			return nil
		}
		if next == 0 {
			next = firstByteTimeout
		}
		t := time.NewTimer(next)
		select {
		case <-s.conns.changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("%d connections without their answer: %w", count, ctx.Err())
		}
		t.Stop()
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	defer s.conns.closeAll()
	return s.HTTP.Close()
}
