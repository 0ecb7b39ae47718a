package vm

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/guard"
)

// Mux passes requests to their handlers.
type Mux struct {
	// Panicked receives what a handler panicked with, before its caller gets an error; nil ignores it.
	Panicked func(chestnutcleat.Method, error)

	handlers map[chestnutcleat.Method]func(context.Context, []byte) ([]byte, error)
}

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[chestnutcleat.Method]func(context.Context, []byte) ([]byte, error){}}
}

// Handle registers the handler of a method; all handlers are registered before the mux serves.
func Handle[Req, Resp any](m *Mux, method chestnutcleat.Method, f func(context.Context, Req) (Resp, error)) {
	m.handlers[method] = func(ctx context.Context, data []byte) ([]byte, error) {
		in, err := Decode[Req](data)
		if err != nil {
			return nil, err
		}
		out, err := f(ctx, in)
		if err != nil {
			return nil, err
		}
		return Encode(out)
	}
}

// serve answers one encoded request.
func (m *Mux) serve(ctx context.Context, method chestnutcleat.Method, data []byte) reply {
	f, ok := m.handlers[method]
	if !ok {
		return replyOf(nil, fmt.Errorf("method %q is not known", method))
	}
	var body []byte
	var err error
	if p := guard.Call(func() { body, err = f(ctx, data) }); p != nil {
		if m.Panicked != nil {
			m.Panicked(method, p)
		}
		return replyOf(nil, fmt.Errorf("method %q: %w", method, p))
	}
	return replyOf(body, err)
}

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(s drpc.Stream, rpc string) error {
	var data []byte
	if err := s.MsgRecv(&data, Encoding{}); err != nil {
		return fmt.Errorf("receive %s: %w", rpc, err)
	}
	r := m.serve(s.Context(), chestnutcleat.Method(rpc), data)
	if err := s.MsgSend(&r, Encoding{}); err != nil {
		return fmt.Errorf("answer %s: %w", rpc, err)
	}
	return nil
}
